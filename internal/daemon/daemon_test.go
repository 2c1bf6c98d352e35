package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

const testConfig = `{"revision":1,"defaults":{"deadline":"30s"},"services":{
	"nahled":{"class":"idempotent"},"odeslani":{"class":"nonIdempotent"},"prijem":{"class":"upload"}}}`

var praha = model.Location{Region: "praha", FailureDomain: "praha-a"}

// startInstance runs a complete instance against a fake platform, with one fake target
// for each service. It returns the instance's address for callers and the targets by
// service.
func startInstance(t *testing.T) (addr string, targets map[string]*standin.Target) {
	t.Helper()
	platform := standin.NewPlatform()
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	targets = make(map[string]*standin.Target)
	for _, service := range []string{"nahled", "odeslani", "prijem"} {
		targets[service] = standin.NewTarget(service+"-1", 2, 0)
		upstream := httptest.NewServer(targets[service])
		t.Cleanup(upstream.Close)
		list, err := json.Marshal([]model.Target{{
			ID:       model.TargetID(service + "-1"),
			Service:  model.ServiceName(service),
			Addr:     netip.MustParseAddrPort(upstream.Listener.Addr().String()),
			Location: praha,
			Slots:    2,
		}})
		if err != nil {
			t.Fatal(err)
		}
		platform.Objects.Write(store.TargetsPrefix+service, 0, list, false)
	}
	platform.Objects.Write(store.ConfigKey, 0, []byte(testConfig), false)

	ip := standin.LoopbackIP(1)
	s := &settings.Settings{
		Instance: "praha-a-1",
		Location: praha,
		Caller:   settings.Caller{Listen: net.JoinHostPort(ip, "8080")},
		Operator: settings.Operator{Listen: net.JoinHostPort(ip, "9090"), Token: "secret"},
		Platform: settings.Platform{URL: server.URL},
		Events:   settings.Events{Capacity: 64},
	}
	app := New(s, zap.NewNop())
	if err := app.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = app.Stop(context.Background()) })
	waitReady(t, "http://"+s.Operator.Listen+"/ready")
	return s.Caller.Listen, targets
}

// waitReady waits until a readiness check succeeds.
func waitReady(t *testing.T, url string) {
	t.Helper()
	for {
		resp, err := http.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		select {
		case <-t.Context().Done():
			t.Fatal("instance is not ready")
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// send sends a request, with an idempotency key unless it is empty, and returns the
// status and body of the response.
func send(t *testing.T, method, url, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(respBody)
}

func TestServesAllRequestClassesEndToEnd(t *testing.T) {
	addr, targets := startInstance(t)

	status, body := send(t, http.MethodGet, "http://"+addr+"/nahled/letters/7?draft=1", "", "")
	if status != http.StatusOK || !strings.Contains(body, "ran GET /letters/7?draft=1") {
		t.Errorf("preview: %d %q", status, body)
	}
	status, body = send(t, http.MethodPut, "http://"+addr+"/prijem/lists/1", "", strings.Repeat("x", 5<<20))
	if status != http.StatusOK || !strings.Contains(body, "with 5242880 bytes") {
		t.Errorf("upload: %d %q", status, body)
	}
	for range 2 {
		status, body = send(t, http.MethodPost, "http://"+addr+"/odeslani/batches", "batch-1", "letters")
		if status != http.StatusOK || !strings.Contains(body, "ran POST /batches with 7 bytes") {
			t.Errorf("print batch: %d %q", status, body)
		}
	}
	if runs := targets["odeslani"].Runs(); runs != 1 {
		t.Errorf("print batch sent twice with one key ran %d times", runs)
	}
	status, body = send(t, http.MethodPost, "http://"+addr+"/odeslani/batches", "", "letters")
	if status != http.StatusBadRequest || !strings.Contains(body, `"ran":"not-run"`) {
		t.Errorf("print batch without a key: %d %q", status, body)
	}
}
