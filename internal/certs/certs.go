// Package certs serves TLS with files that may be replaced while connections go
// on: new handshakes use the new files, connections in use keep their own.
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

// Files are the PEM files of a server.
type Files struct {
	Cert string
	Key  string
	// ClientCA is the authority of client certificates; empty asks for none.
	ClientCA string
}

// NoCertificateError reports an authority file without a certificate.
type NoCertificateError struct{ Path string }

func (e *NoCertificateError) Error() string { return e.Path + " holds no certificate in PEM form" }

// Source publishes the server configuration by atomic swap. It is safe for
// concurrent use.
type Source struct {
	files   Files
	current atomic.Pointer[tls.Config]
	// seen is the files' stamp before they were read last; it belongs to Load,
	// then to Watch.
	seen stamp
}

// stamp holds the modification times of the files.
type stamp [3]time.Time

// Load reads the files.
func Load(files Files) (*Source, error) {
	s := &Source{files: files}
	s.seen = s.stamp()
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. If they can't be used the old ones stay in use.
func (s *Source) Reload() error {
	pair, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	next := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{"http/1.1"},
	}
	if s.files.ClientCA != "" {
		if next.ClientCAs, err = readPool(s.files.ClientCA); err != nil {
			return err
		}
		next.ClientAuth = tls.VerifyClientCertIfGiven
	}
	s.current.Store(next)
	return nil
}

func readPool(path string) (*x509.CertPool, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "load authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(raw) {
		return nil, &NoCertificateError{Path: path}
	}
	return pool, nil
}

// Listen returns a listener that takes the configuration of the moment for each
// handshake.
func (s *Source) Listen(inner net.Listener) net.Listener {
	return tls.NewListener(inner, &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.current.Load(), nil
		},
	})
}

// Watch reloads when a file has changed since it was read, looked for at the
// given interval, or when signal delivers, and reports each reload, until ctx
// ends. It is called once.
func (s *Source) Watch(ctx context.Context, interval time.Duration, signal <-chan os.Signal, report func(error)) {
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
		now := s.stamp()
		if now == s.seen && !signalled {
			continue
		}
		s.seen = now
		report(s.Reload())
	}
}

// stamp changes when one of the files does.
func (s *Source) stamp() stamp {
	var out stamp
	for i, path := range []string{s.files.Cert, s.files.Key, s.files.ClientCA} {
		if info, err := os.Stat(path); err == nil {
			out[i] = info.ModTime()
		}
	}
	return out
}
