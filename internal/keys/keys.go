// Package keys creates and verifies the certificates of the peer protocol: one CA per
// fleet and one certificate per instance. A certificate identifies its fleet and instance
// by a URI in the subject alternative name; host names and addresses are not used.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// uriScheme is the scheme of the URI redwingpoint://fleet/instance.
	uriScheme = "redwingpoint"
	// uriRegion and uriDomain are the query parameters of the URI that tell the location.
	uriRegion = "region"
	uriDomain = "domain"

	// pemCertificate is the type of a certificate's PEM block.
	pemCertificate = "CERTIFICATE"
	// pemKey is the type of the PEM block of a PKCS #8 private key.
	pemKey = "PRIVATE KEY"

	// serialBits is the size of the random serial numbers in bits.
	serialBits = 128
	// maxClockSkew is how long before its creation a certificate becomes valid, so that
	// instances whose clocks are behind accept it.
	maxClockSkew = 5 * time.Minute
)

// Identity is what a certificate says of an instance.
type Identity struct {
	Fleet    string
	Instance model.InstanceID
	// Location is where the instance runs; the zero value if the certificate doesn't tell.
	Location model.Location
}

// KeyPair is a certificate and its private key, both in PEM format.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewCA creates the CA certificate and key of a fleet. The CA's common name is the
// fleet's name, which is part of the identity of every instance. It returns *NameError
// for a name that is not allowed.
func NewCA(fleet string, now time.Time, lifetime time.Duration) (KeyPair, error) {
	if err := validateName(fleet); err != nil {
		return KeyPair{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "generate CA key")
	}
	template, err := newTemplate(now, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.Subject = pkix.Name{CommonName: fleet}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, template, key, key)
}

// NewInstanceCert creates a certificate and key of one instance, signed by the fleet's CA.
// It returns *NameError for an ID that is not allowed and *FormatError if ca can't be
// parsed.
func NewInstanceCert(ca KeyPair, instance model.InstanceID, now time.Time, lifetime time.Duration) (KeyPair, error) {
	if err := validateName(string(instance)); err != nil {
		return KeyPair{}, err
	}
	parent, err := parseCert(ca.Cert)
	if err != nil {
		return KeyPair{}, err
	}
	parentKey, err := parseKey(ca.Key)
	if err != nil {
		return KeyPair{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "generate instance key")
	}
	template, err := newTemplate(now, lifetime)
	if err != nil {
		return KeyPair{}, err
	}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: parent.Subject.CommonName, Path: "/" + string(instance)}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	return sign(template, parent, key, parentKey)
}

// newTemplate returns a certificate template with a random serial number that is valid
// from maxClockSkew before now until lifetime after it.
func newTemplate(now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// sign creates a certificate and returns it with its key in PEM format.
func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "encode key")
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: keyDER}),
	}, nil
}

// parseCert parses a certificate in PEM format. It returns *FormatError.
func parseCert(raw []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != pemCertificate {
		return nil, &FormatError{What: "certificate"}
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		return nil, &FormatError{What: "certificate", Cause: err}
	}
	return cert, nil
}

// parseKey parses an ECDSA key in PEM-encoded PKCS #8 format. It returns *FormatError.
func parseKey(raw []byte) (*ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(raw)
	if block == nil || block.Type != pemKey {
		return nil, &FormatError{What: "private key"}
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, &FormatError{What: "private key", Cause: err}
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, &FormatError{What: "ECDSA private key"}
	}
	return key, nil
}

// validateName returns *NameError unless the name has 1 to 63 letters, digits, dots and
// hyphens, which need no escaping in a URI.
func validateName(name string) error {
	if name == "" || len(name) > 63 {
		return &NameError{Name: name}
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '.' && c != '-' {
			return &NameError{Name: name}
		}
	}
	return nil
}
