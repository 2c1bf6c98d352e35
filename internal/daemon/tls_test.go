package daemon

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/standin"
)

// writeCertificate writes a new certificate for an instance and its key to a directory,
// replacing earlier ones, and returns the files.
func writeCertificate(t *testing.T, dir string, name model.InstanceID) settings.TLS {
	t.Helper()
	ca, err := keys.NewCA("vltava", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	pair, err := keys.NewInstanceCert(ca, name, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	files := settings.TLS{Cert: filepath.Join(dir, "c"), Key: filepath.Join(dir, "k")}
	for path, content := range map[string][]byte{files.Cert: pair.Cert, files.Key: pair.Key} {
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// certificateName returns the instance name in the certificate that a server presents.
func certificateName(t *testing.T, addr string) string {
	t.Helper()
	conn, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return filepath.Base(conn.ConnectionState().PeerCertificates[0].URIs[0].Path)
}

// TestServersUseTLSAndReloadOnSIGHUP checks both servers of an instance, for callers and
// for operators.
func TestServersUseTLSAndReloadOnSIGHUP(t *testing.T) {
	store := httptest.NewServer(standin.NewPlatform().Handler())
	t.Cleanup(store.Close)
	dir, ip := t.TempDir(), standin.LoopbackIP(229)
	files := writeCertificate(t, dir, "first")
	s := &settings.Settings{
		Instance: "praha-a-1",
		Location: praha,
		Caller:   settings.Caller{Listen: ip + ":8443", TLS: files},
		Operator: settings.Operator{Listen: ip + ":9443", Token: "secret", TLS: files},
		Platform: settings.Platform{URL: store.URL},
		Events:   settings.Events{Capacity: 64},
	}
	app := New(s, zap.NewNop())
	if err := app.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = app.Stop(context.Background()) })
	for _, addr := range []string{s.Caller.Listen, s.Operator.Listen} {
		if got := certificateName(t, addr); got != "first" {
			t.Errorf("%s presents %s", addr, got)
		}
	}
	if resp, err := http.Get("http://" + s.Operator.Listen + "/ready"); err == nil && resp.StatusCode != http.StatusBadRequest {
		t.Errorf("plain HTTP got status %d", resp.StatusCode)
	}
	writeCertificate(t, dir, "second")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for _, addr := range []string{s.Caller.Listen, s.Operator.Listen} {
		for certificateName(t, addr) != "second" {
			select {
			case <-t.Context().Done():
				t.Fatal("a server did not reload its certificate")
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
}
