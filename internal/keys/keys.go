// Package keys makes and checks the certificates of the inner protocol: one CA
// for a fleet and one certificate for each instance. A certificate names its
// fleet and instance in a URI; host names and addresses play no part.
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

	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"

	serialBits = 128
	// clockSkew is how far in the past a certificate starts to be valid.
	clockSkew = 5 * time.Minute
)

// Identity is what a certificate states about its holder.
type Identity struct {
	Fleet    string
	Instance model.InstanceID
}

// Pair is a certificate and its private key, both in PEM form.
type Pair struct {
	Cert []byte
	Key  []byte
}

// NewCA makes the CA of a fleet. The fleet's name is part of every identity.
func NewCA(fleet string, now time.Time, lifetime time.Duration) (Pair, error) {
	if err := checkName(fleet); err != nil {
		return Pair{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "generate CA key")
	}
	template, err := newTemplate(now, lifetime)
	if err != nil {
		return Pair{}, err
	}
	template.Subject = pkix.Name{CommonName: fleet}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, template, key, key)
}

// NewInstance makes the certificate of one instance, signed by the fleet's CA.
func NewInstance(ca Pair, instance model.InstanceID, now time.Time, lifetime time.Duration) (Pair, error) {
	if err := checkName(string(instance)); err != nil {
		return Pair{}, err
	}
	parent, err := parseCert(ca.Cert)
	if err != nil {
		return Pair{}, err
	}
	parentKey, err := parseKey(ca.Key)
	if err != nil {
		return Pair{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "generate instance key")
	}
	template, err := newTemplate(now, lifetime)
	if err != nil {
		return Pair{}, err
	}
	template.URIs = []*url.URL{{Scheme: uriScheme, Host: parent.Subject.CommonName, Path: "/" + string(instance)}}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	return sign(template, parent, key, parentKey)
}

func newTemplate(now time.Time, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "draw serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (Pair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, key.Public(), parentKey)
	if err != nil {
		return Pair{}, eris.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "encode key")
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: pemCertificate, Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: pemKey, Bytes: keyDER}),
	}, nil
}

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

// checkName accepts letters, digits, dots and hyphens: what a URI carries unescaped.
func checkName(name string) error {
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
