package certs

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
)

// writeFiles writes a new certificate and key of an instance to dir.
func writeFiles(t *testing.T, dir string, instance model.InstanceID) Files {
	t.Helper()
	ca, err := keys.NewCA("vltava", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := keys.NewInstanceCert(ca, instance, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	files := Files{Cert: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k")}
	for path, content := range map[string][]byte{files.Cert: pair.Cert, files.Key: pair.Key} {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// startServer starts an HTTPS server with the given configuration until the test ends and
// returns its address.
func startServer(t *testing.T, config *ReloadableConfig) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	})}
	go func() { _ = server.Serve(config.NewListener(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

func dial(t *testing.T, addr string) *tls.Conn {
	t.Helper()
	conn, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// servedInstance returns the instance ID in the server's certificate.
func servedInstance(c *tls.Conn) string {
	return filepath.Base(c.ConnectionState().PeerCertificates[0].URIs[0].Path)
}

// get sends a request over an established connection and reads the response.
func get(c *tls.Conn) error {
	if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(resp.Body)
	return err
}

func TestReloadBySignalKeepsConnections(t *testing.T) {
	dir := t.TempDir()
	config, err := Load(writeFiles(t, dir, "first"))
	if err != nil {
		t.Fatal(err)
	}
	addr := startServer(t, config)
	old := dial(t, addr)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	signals, reports := make(chan os.Signal), make(chan error)
	go config.Watch(ctx, time.Hour, signals, func(err error) { reports <- err })

	writeFiles(t, dir, "second")
	if got := servedInstance(dial(t, addr)); got != "first" {
		t.Errorf("before the reload: %s", got)
	}
	signals <- syscall.SIGHUP
	if err := <-reports; err != nil {
		t.Fatal(err)
	}
	if got := servedInstance(dial(t, addr)); got != "second" {
		t.Errorf("after the reload: %s", got)
	}
	if err := get(old); err != nil {
		t.Errorf("the open connection was closed: %v", err)
	}

	if err := os.WriteFile(filepath.Join(dir, "k"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	signals <- syscall.SIGHUP
	if err := <-reports; err == nil {
		t.Error("an invalid key was accepted")
	}
	if got := servedInstance(dial(t, addr)); got != "second" {
		t.Errorf("after a failed reload: %s", got)
	}
}

func TestReloadOnFileChange(t *testing.T) {
	dir := t.TempDir()
	config, err := Load(writeFiles(t, dir, "first"))
	if err != nil {
		t.Fatal(err)
	}
	addr := startServer(t, config)
	reports := make(chan error)
	go config.Watch(t.Context(), time.Millisecond, nil, func(err error) {
		select {
		case reports <- err:
		case <-t.Context().Done():
		}
	})
	writeFiles(t, dir, "second")
	future := time.Now().Add(time.Hour)
	if err := os.Chtimes(filepath.Join(dir, "k"), future, future); err != nil {
		t.Fatal(err)
	}
	for servedInstance(dial(t, addr)) != "second" {
		<-reports
	}
}

// TestReloadOfFilesChangedBeforeWatch checks that Watch detects a change made after Load
// read the files and before Watch was called.
func TestReloadOfFilesChangedBeforeWatch(t *testing.T) {
	dir := t.TempDir()
	config, err := Load(writeFiles(t, dir, "first"))
	if err != nil {
		t.Fatal(err)
	}
	writeFiles(t, dir, "second")
	future := time.Now().Add(time.Hour)
	if err := os.Chtimes(filepath.Join(dir, "k"), future, future); err != nil {
		t.Fatal(err)
	}
	reports := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go config.Watch(ctx, time.Millisecond, nil, func(err error) { reports <- err })
	if err := <-reports; err != nil {
		t.Fatal(err)
	}
	cancel()
	if got := servedInstance(dial(t, startServer(t, config))); got != "second" {
		t.Errorf("the server presents the certificate of %s", got)
	}
}
