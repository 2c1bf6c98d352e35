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

// writeCertificate puts a new certificate of an instance into a directory.
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

// presented returns the name in the certificate that a server presents.
func presented(t *testing.T, addr string) string {
	t.Helper()
	conn, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return filepath.Base(conn.ConnectionState().PeerCertificates[0].URIs[0].Path)
}

func TestBothEndpointsServeTLSAndReloadOnHangup(t *testing.T) {
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
		Events:   settings.Events{Keep: 64},
	}
	app := New(s, zap.NewNop())
	if err := app.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = app.Stop(context.Background()) })
	for _, addr := range []string{s.Caller.Listen, s.Operator.Listen} {
		if got := presented(t, addr); got != "first" {
			t.Errorf("%s presents %s", addr, got)
		}
	}
	if resp, err := http.Get("http://" + s.Operator.Listen + "/ready"); err == nil && resp.StatusCode != http.StatusBadRequest {
		t.Errorf("plain HTTP is answered with %d", resp.StatusCode)
	}
	writeCertificate(t, dir, "second")
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for _, addr := range []string{s.Caller.Listen, s.Operator.Listen} {
		for presented(t, addr) != "second" {
			select {
			case <-t.Context().Done():
				t.Fatal("not reloaded")
			case <-time.After(5 * time.Millisecond):
			}
		}
	}
}
