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

// Credentials are what an instance proves its identity with and checks others
// by. They are immutable.
type Credentials struct {
	Self  Identity
	cert  tls.Certificate
	roots *x509.CertPool
	now   func() time.Time
	// selfIssued is set where every instance makes its own certificate.
	selfIssued bool
}

// Load reads credentials from the PEM files of the fleet's CA certificate, the
// instance's certificate and its key.
func Load(caFile, certFile, keyFile string, now func() time.Time) (*Credentials, error) {
	var raw [3][]byte
	for i, path := range []string{caFile, certFile, keyFile} {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, eris.Wrap(err, "read credentials")
		}
		raw[i] = data
	}
	return New(raw[0], Pair{Cert: raw[1], Key: raw[2]}, now)
}

// New returns the credentials of an instance. It returns *FormatError or
// *IdentityError if the pair is not of the fleet that caCert stands for.
func New(caCert []byte, pair Pair, now func() time.Time) (*Credentials, error) {
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

// Verify checks a peer's certificates and returns its identity. It returns
// *IdentityError for one that is expired, not signed by the fleet's CA or names
// another fleet.
func (c *Credentials) Verify(chain []*x509.Certificate) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, &IdentityError{Reason: "missing"}
	}
	if c.selfIssued {
		return c.verifySelfIssued(chain[0])
	}
	options := x509.VerifyOptions{
		Roots:       c.roots,
		CurrentTime: c.now(),
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	}
	if _, err := chain[0].Verify(options); err != nil {
		return Identity{}, &IdentityError{Reason: "refused", Cause: err}
	}
	id, err := identity(chain[0])
	if err != nil {
		return Identity{}, err
	}
	if id.Fleet != c.Self.Fleet {
		return Identity{}, &IdentityError{Reason: "of fleet " + id.Fleet}
	}
	return id, nil
}

func identity(cert *x509.Certificate) (Identity, error) {
	if len(cert.URIs) != 1 || cert.URIs[0].Scheme != uriScheme {
		return Identity{}, &IdentityError{Reason: "names no instance"}
	}
	uri := cert.URIs[0]
	instance := strings.TrimPrefix(uri.Path, "/")
	if checkName(uri.Host) != nil || checkName(instance) != nil {
		return Identity{}, &IdentityError{Reason: "names no instance"}
	}
	return Identity{Fleet: uri.Host, Instance: model.InstanceID(instance)}, nil
}

// TLS returns the configuration of both ends of the inner protocol: TLS 1.3,
// certificates on both sides, and the given application protocols, the
// preferred one first.
func (c *Credentials) TLS(protocols []string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// Peers are checked by VerifyConnection: by fleet, not by host name.
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
