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

func write(t *testing.T, dir string, instance model.InstanceID) Files {
	t.Helper()
	ca, err := keys.NewCA("vltava", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := keys.NewInstance(ca, instance, time.Now(), time.Hour)
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

// serve answers over TLS and returns the address.
func serve(t *testing.T, s *Source) string {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	})}
	go func() { _ = server.Serve(s.Listen(inner)) }()
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

func holder(c *tls.Conn) string {
	return filepath.Base(c.ConnectionState().PeerCertificates[0].URIs[0].Path)
}

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

func TestReloadBySignalCutsNoConnection(t *testing.T) {
	dir := t.TempDir()
	source, err := Load(write(t, dir, "first"))
	if err != nil {
		t.Fatal(err)
	}
	addr := serve(t, source)
	old := dial(t, addr)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hangup, reports := make(chan os.Signal), make(chan error)
	go source.Watch(ctx, time.Hour, hangup, func(err error) { reports <- err })

	write(t, dir, "second")
	if got := holder(dial(t, addr)); got != "first" {
		t.Errorf("before the reload: %s", got)
	}
	hangup <- syscall.SIGHUP
	if err := <-reports; err != nil {
		t.Fatal(err)
	}
	if got := holder(dial(t, addr)); got != "second" {
		t.Errorf("after the reload: %s", got)
	}
	if err := get(old); err != nil {
		t.Errorf("the open connection was cut: %v", err)
	}

	if err := os.WriteFile(filepath.Join(dir, "k"), []byte("broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	hangup <- syscall.SIGHUP
	if err := <-reports; err == nil {
		t.Error("a broken key was accepted")
	}
	if got := holder(dial(t, addr)); got != "second" {
		t.Errorf("after a broken reload: %s", got)
	}
}

func TestReloadWhenAFileChanges(t *testing.T) {
	dir := t.TempDir()
	source, err := Load(write(t, dir, "first"))
	if err != nil {
		t.Fatal(err)
	}
	addr := serve(t, source)
	reports := make(chan error)
	go source.Watch(t.Context(), time.Millisecond, nil, func(err error) {
		select {
		case reports <- err:
		case <-t.Context().Done():
		}
	})
	write(t, dir, "second")
	future := time.Now().Add(time.Hour)
	if err := os.Chtimes(filepath.Join(dir, "k"), future, future); err != nil {
		t.Fatal(err)
	}
	for holder(dial(t, addr)) != "second" {
		<-reports
	}
}

// TestReloadOfFilesChangedBeforeTheWatch changes the files after they were read
// and before anybody watches them.
func TestReloadOfFilesChangedBeforeTheWatch(t *testing.T) {
	dir := t.TempDir()
	source, err := Load(write(t, dir, "first"))
	if err != nil {
		t.Fatal(err)
	}
	write(t, dir, "second")
	future := time.Now().Add(time.Hour)
	if err := os.Chtimes(filepath.Join(dir, "k"), future, future); err != nil {
		t.Fatal(err)
	}
	reports := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go source.Watch(ctx, time.Millisecond, nil, func(err error) { reports <- err })
	if err := <-reports; err != nil {
		t.Fatal(err)
	}
	cancel()
	if got := holder(dial(t, serve(t, source))); got != "second" {
		t.Errorf("the watch serves the certificate of %s", got)
	}
}
