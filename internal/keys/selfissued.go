package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
)

// selfIssuedLifetime outlasts any process; the key ends with its process.
const selfIssuedLifetime = 10 * 365 * 24 * time.Hour

// NewSelfIssued returns credentials that an instance makes for itself at its start,
// where no files and no CA exist. They keep the inner protocol private and name the
// peer, but prove nothing of it: whoever reaches the peers' addresses is taken at
// its word. It returns *NameError.
func NewSelfIssued(fleet string, instance model.InstanceID, now func() time.Time) (*Credentials, error) {
	for _, name := range []string{fleet, string(instance)} {
		if err := checkName(name); err != nil {
			return nil, err
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate instance key")
	}
	template, err := newTemplate(now(), selfIssuedLifetime)
	if err != nil {
		return nil, err
	}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: fleet, Path: "/" + string(instance)}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "sign certificate")
	}
	return &Credentials{
		Self:       Identity{Fleet: fleet, Instance: instance},
		cert:       tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		now:        now,
		selfIssued: true,
	}, nil
}

// verifySelfIssued accepts any certificate that names an instance of the fleet. TLS
// has checked that the peer holds its key.
func (c *Credentials) verifySelfIssued(cert *x509.Certificate) (Identity, error) {
	id, err := identity(cert)
	if err != nil {
		return Identity{}, err
	}
	if id.Fleet != c.Self.Fleet {
		return Identity{}, &IdentityError{Reason: "of fleet " + id.Fleet}
	}
	return id, nil
}
