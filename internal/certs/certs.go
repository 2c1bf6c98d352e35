// Package certs provides TLS server configurations that are reloaded from files. New
// handshakes use the current configuration; established connections are not affected by
// a reload.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Files are the paths of a server's PEM files.
type Files struct {
	Cert string
	Key  string
	// ClientCA contains the CA certificates for client certificates. If it is empty,
	// clients are not asked for a certificate.
	ClientCA string
}

// NoCertificateError reports a CA file without a certificate.
type NoCertificateError struct{ Path string }

func (e *NoCertificateError) Error() string { return e.Path + " contains no certificate in PEM format" }

// ReloadableConfig holds the current TLS server configuration, which is replaced
// atomically when the files are reloaded. It is safe for concurrent use, except that
// Watch may be called only once.
type ReloadableConfig struct {
	files   Files
	current atomic.Pointer[tls.Config]
	// loaded are the modification times of the files, taken before they were last
	// read. It is accessed without synchronization, first by Load and then by Watch.
	loaded modTimes
}

// modTimes are the modification times of the certificate, key and client CA files; zero
// for a file that can't be accessed.
type modTimes [3]time.Time

// Load returns a ReloadableConfig with the configuration read from the files, or the error
// of Reload.
func Load(files Files) (*ReloadableConfig, error) {
	c := &ReloadableConfig{files: files}
	c.loaded = c.currentModTimes()
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files and replaces the configuration. On error, which may be
// *NoCertificateError, the previous configuration stays in use.
func (c *ReloadableConfig) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	next := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{"http/1.1"},
	}
	if c.files.ClientCA != "" {
		if next.ClientCAs, err = loadCertPool(c.files.ClientCA); err != nil {
			return err
		}
		next.ClientAuth = tls.VerifyClientCertIfGiven
	}
	c.current.Store(next)
	return nil
}

// loadCertPool reads the CA certificates from a file.
func loadCertPool(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "load client CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, &NoCertificateError{Path: path}
	}
	return pool, nil
}

// NewListener returns a TLS listener on top of inner that uses the current
// configuration for each handshake.
func (c *ReloadableConfig) NewListener(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.current.Load(), nil
		},
	})
}

// Watch reloads the files when a signal is received or when one of them was modified
// since it was last read, which it checks at the given interval. It calls report with
// the result of each reload and returns when ctx is done. It must be called at most
// once.
func (c *ReloadableConfig) Watch(ctx context.Context, interval time.Duration, signal <-chan os.Signal, report func(error)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signal:
			signalled = true
		case <-ticker.C:
		}
		current := c.currentModTimes()
		if current == c.loaded && !signalled {
			continue
		}
		c.loaded = current
		report(c.Reload())
	}
}

// currentModTimes returns the current modification times of the files.
func (c *ReloadableConfig) currentModTimes() modTimes {
	var out modTimes
	for i, path := range []string{c.files.Cert, c.files.Key, c.files.ClientCA} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}
