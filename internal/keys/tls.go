package keys

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Credentials contain the certificate and key with which an instance authenticates
// itself and the roots by which it verifies peers. They are immutable and safe for
// concurrent use.
type Credentials struct {
	// Self is the identity of this instance.
	Self  Identity
	cert  tls.Certificate
	roots *x509.CertPool
	now   func() time.Time
	// selfSigned is set if instances use self-signed certificates; roots is then nil.
	selfSigned bool
}

// LoadCredentials reads credentials from PEM files with the fleet's CA certificate, the
// instance's certificate and its key. Apart from errors of reading, it returns the
// errors of NewCredentials.
func LoadCredentials(caFile, certFile, keyFile string, now func() time.Time) (*Credentials, error) {
	var raw [3][]byte
	for i, path := range []string{caFile, certFile, keyFile} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read credentials")
		}
		raw[i] = data
	}
	return NewCredentials(raw[0], KeyPair{Cert: raw[1], Key: raw[2]}, now)
}

// NewCredentials returns the credentials of an instance from its certificate and key.
// The function now provides the time at which certificates must be valid.
// NewCredentials returns *FormatError if a certificate or key can't be parsed, and
// *IdentityError if the instance's certificate does not pass Verify.
func NewCredentials(caCert []byte, pair KeyPair, now func() time.Time) (*Credentials, error) {
	ca, err := parseCert(caCert)
	if err != nil {
		return nil, err
	}
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, &FormatError{What: "instance certificate", Cause: err}
	}
	c := &Credentials{cert: cert, roots: x509.NewCertPool(), now: now}
	c.roots.AddCert(ca)
	c.Self.Fleet = ca.Subject.CommonName
	c.Self, err = c.Verify([]*x509.Certificate{cert.Leaf})
	return c, err
}

// Verify verifies a peer's certificate, the first of chain, and returns its identity. It
// returns *IdentityError if the certificate is missing, expired, not signed by the
// fleet's CA or of another fleet. Credentials from NewSelfSigned check only the fleet.
func (c *Credentials) Verify(chain []*x509.Certificate) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, &IdentityError{Reason: "missing"}
	}
	if c.selfSigned {
		return c.verifySelfSigned(chain[0])
	}
	options := x509.VerifyOptions{
		Roots:       c.roots,
		CurrentTime: c.now(),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	if _, err := chain[0].Verify(options); err != nil {
		return Identity{}, &IdentityError{Reason: "refused", Cause: err}
	}
	id, err := parseIdentity(chain[0])
	if err != nil {
		return Identity{}, err
	}
	if id.Fleet != c.Self.Fleet {
		return Identity{}, &IdentityError{Reason: "of fleet " + id.Fleet}
	}
	return id, nil
}

// parseIdentity returns the identity in a certificate's URI. It returns *IdentityError.
func parseIdentity(cert *x509.Certificate) (Identity, error) {
	if len(cert.URIs) != 1 || cert.URIs[0].Scheme != uriScheme {
		return Identity{}, &IdentityError{Reason: "names no instance"}
	}
	uri := cert.URIs[0]
	instance := strings.TrimPrefix(uri.Path, "/")
	if validateName(uri.Host) != nil || validateName(instance) != nil {
		return Identity{}, &IdentityError{Reason: "names no instance"}
	}
	query := uri.Query()
	return Identity{Fleet: uri.Host, Instance: model.InstanceID(instance), Location: model.Location{
		Region:        model.Region(query.Get(uriRegion)),
		FailureDomain: model.FailureDomain(query.Get(uriDomain)),
	}}, nil
}

// TLS returns the TLS configuration for both ends of the peer protocol: TLS 1.3 with
// mutual authentication and the given ALPN protocols in order of preference.
func (c *Credentials) TLS(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// The default verification by host name is replaced by VerifyConnection.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := c.Verify(state.PeerCertificates)
			return err
		},
		NextProtos:             protocols,
		SessionTicketsDisabled: true,
		Time:                   c.now,
	}
}
