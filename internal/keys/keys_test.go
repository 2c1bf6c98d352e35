package keys

import (
	"crypto/x509"
	"errors"
	"testing"
	"time"
)

const year = 365 * 24 * time.Hour

func newTestCA(t *testing.T, fleet string) KeyPair {
	t.Helper()
	ca, err := NewCA(fleet, time.Now(), year)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

func TestVerifyChecksFleet(t *testing.T) {
	now := time.Now()
	ca := newTestCA(t, "vltava")
	otherCA := newTestCA(t, "vltava")
	tests := []struct {
		name   string
		signer KeyPair
		issued time.Time
		ok     bool
	}{
		{"own fleet", ca, now, true},
		{"another CA that claims the same fleet", otherCA, now, false},
		{"expired", ca, now.Add(-2 * time.Hour), false},
		{"not yet valid", ca, now.Add(time.Hour), false},
	}
	own, err := NewInstanceCert(ca, "praha-a-1", now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := NewCredentials(ca.Cert, own, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	if want := (Identity{Fleet: "vltava", Instance: "praha-a-1"}); credentials.Self != want {
		t.Errorf("identity is %v, want %v", credentials.Self, want)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			pair, err := NewInstanceCert(test.signer, "praha-a-2", test.issued, time.Hour)
			if err != nil {
				t.Fatal(err)
			}
			cert, err := parseCert(pair.Cert)
			if err != nil {
				t.Fatal(err)
			}
			_, err = credentials.Verify([]*x509.Certificate{cert})
			var refused *IdentityError
			if test.ok != (err == nil) || (!test.ok && !errors.As(err, &refused)) {
				t.Errorf("Verify returned %v", err)
			}
		})
	}
}

func TestNewCredentialsRejectsCertificateOfAnotherFleet(t *testing.T) {
	pair, err := NewInstanceCert(newTestCA(t, "nordhavn"), "svea-lund-1", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := NewCredentials(newTestCA(t, "vltava").Cert, pair, time.Now); err == nil {
		t.Error("a certificate of another fleet was accepted")
	}
}

func TestNewCARejectsInvalidNames(t *testing.T) {
	for _, name := range []string{"", "a/b", "a b", "é"} {
		var refused *NameError
		if _, err := NewCA(name, time.Now(), year); !errors.As(err, &refused) {
			t.Errorf("NewCA(%q) returned %v", name, err)
		}
	}
}
