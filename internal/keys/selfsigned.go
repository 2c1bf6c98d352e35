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
)

// selfSignedLifetime is longer than any process runs. The key exists only in the memory of
// its process, so the certificate needs no shorter lifetime.
const selfSignedLifetime = 10 * 365 * 24 * time.Hour

// NewSelfSigned returns credentials with a self-signed certificate, which an instance
// generates at its start for deployments without a CA. They encrypt the peer protocol,
// but don't authenticate peers: anyone who can reach a peer's address can claim any
// identity in the fleet. It returns *NameError for a name that is not allowed.
func NewSelfSigned(self Identity, now func() time.Time) (*Credentials, error) {
	for _, name := range []string{self.Fleet, string(self.Instance)} {
		if err := validateName(name); err != nil {
			return nil, err
		}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "generate instance key")
	}
	template, err := newTemplate(now(), selfSignedLifetime)
	if err != nil {
		return nil, err
	}
	location := url.Values{uriRegion: {string(self.Location.Region)}, uriDomain: {string(self.Location.FailureDomain)}}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: self.Fleet, Path: "/" + string(self.Instance), RawQuery: location.Encode()}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "sign certificate")
	}
	return &Credentials{
		Self:       self,
		cert:       tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key},
		now:        now,
		selfSigned: true,
	}, nil
}

// verifySelfSigned accepts any certificate that identifies an instance of the fleet. TLS
// has verified that the peer has the private key.
func (c *Credentials) verifySelfSigned(cert *x509.Certificate) (Identity, error) {
	id, err := parseIdentity(cert)
	if err != nil {
		return Identity{}, err
	}
	if id.Fleet != c.Self.Fleet {
		return Identity{}, &IdentityError{Reason: "of fleet " + id.Fleet}
	}
	return id, nil
}
