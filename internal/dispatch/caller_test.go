package dispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// showsCaller responds with what tells a target who called.
func showsCaller(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	_, _ = fmt.Fprint(w, r.Header.Values("X-Owner"), r.Header.Values("Authorization"), r.Header["X_owner"], r.Header.Values("Other"))
}

// keyedConfig returns routes with one organisation for a key, with a public rule for /open/.
func keyedConfig(revision model.Revision, name model.OrganisationName, key string) route.Config {
	rule := func(prefix string, public bool) *route.Rule {
		return &route.Rule{
			Name: prefix, Host: "h", Prefix: prefix, Class: model.NonIdempotent, Objective: time.Minute, Timeout: time.Minute, MaxAttempts: 2,
			Backends: []route.Backend{{Service: "s", Weight: 1}}, Public: public,
		}
	}
	return route.Config{
		Revision: revision, KeysRequired: true, Services: []route.Service{{Name: "s"}},
		Rules:         []*route.Rule{rule("/a/", false), rule("/open/", true)},
		Organisations: []route.Organisation{{Name: name, Keys: []route.KeyDigest{route.DigestKey(key)}}},
	}
}

// newKeyedFixture is a fixture with routes that were just confirmed and whose key "secret"
// belongs to the organisation "org".
func newKeyedFixture(t *testing.T, behaviors ...http.HandlerFunc) *fixture {
	t.Helper()
	f := newFixtureWithBodyLimit(t, 0, model.NonIdempotent, behaviors...)
	protocol := *testProtocol
	protocol.Organisation = "X-Owner"
	f.Protocol = &protocol
	f.applyRoutes(t, keyedConfig(2, "org", "secret"))
	f.Routes.Confirm(route.FromStore, time.Now())
	return f
}

func (f *fixture) applyRoutes(t *testing.T, c route.Config) {
	t.Helper()
	table, err := route.NewTable(c)
	if err != nil {
		t.Fatal(err)
	}
	f.Routes.Apply(table)
}

// sendAs sends a request with the given values of Authorization and with forged fields of
// the organisation.
func (f *fixture) sendAs(target, body string, authorization ...string) *httpserver.Response {
	req := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	req.Host = "h"
	req.Header = http.Header{"Id": {"request-1"}, "X-Owner": {"forged", "twice"}, "X_owner": {"forged"}, "Other": {"kept"}}
	req.Header["X-OWNER"] = []string{"forged"}
	if len(authorization) > 0 {
		req.Header["Authorization"] = authorization
	}
	return f.Serve(context.Background(), &httpserver.Request{
		HTTP: req, RequestTarget: target, Path: target, ReceivedAt: time.Now(), BodyDeadline: func(time.Time) {},
	})
}

// TestOrganisationReplacesKeyAtTargets covers buffered, streamed and retried requests.
func TestOrganisationReplacesKeyAtTargets(t *testing.T) {
	for name, body := range map[string]string{"buffered": "letters", "streamed": strings.Repeat("x", maxBufferedBody+1)} {
		f := newKeyedFixture(t, declines, showsCaller)
		if name == "streamed" {
			f = newKeyedFixture(t, showsCaller)
		}
		if got := f.sendAs("/a/", body, "bEARER secret"); string(got.Body) != "[org] [] [] [kept]" {
			t.Errorf("%s: status %d, the target got %s", name, got.Status, got.Body)
		}
	}
}

func TestPublicRulesNeedNoKey(t *testing.T) {
	f := newKeyedFixture(t, showsCaller)
	for authorization, want := range map[string]string{"Bearer secret": "[org] [] [] [kept]", "Bearer other": "[] [] [] [kept]", "Basic x": "[] [] [] [kept]"} {
		if got := f.sendAs("/open/", "", authorization); string(got.Body) != want {
			t.Errorf("%s: the target got %s, want %s", authorization, got.Body, want)
		}
	}
	if got := f.sendAs("/open/", ""); string(got.Body) != "[] [] [] [kept]" {
		t.Errorf("without a key the target got %s", got.Body)
	}
}

func TestWithoutOrganisationsFieldsPassUnchanged(t *testing.T) {
	f := newKeyedFixture(t, showsCaller)
	c := keyedConfig(3, "org", "secret")
	c.KeysRequired, c.Organisations = false, nil
	f.applyRoutes(t, c)
	if got := f.sendAs("/a/", "", "Basic x"); string(got.Body) != "[forged twice forged] [Basic x] [forged] [kept]" && string(got.Body) != "[forged forged twice] [Basic x] [forged] [kept]" {
		t.Errorf("the target got %s", got.Body)
	}
}

// TestUnknownKeysAreDenied also checks that a route that doesn't exist is told before a
// missing key, and that old routes deny nothing for good.
func TestUnknownKeysAreDenied(t *testing.T) {
	f := newKeyedFixture(t, showsCaller)
	for _, authorization := range [][]string{
		nil, {""}, {"Bearer"}, {"Bearer "}, {"Bearer other"}, {"Bearer secret extra"}, {"Basic secret"}, {"secret"},
		{"Bearer secret", "Bearer secret"}, {"Bearer,secret"}, {"Bearer secret,"},
	} {
		if got := f.sendAs("/a/", "", authorization...); got.Status != http.StatusUnauthorized || got.Header.Get("WWW-Authenticate") != "Bearer" {
			t.Errorf("%q: status %d", authorization, got.Status)
		}
	}
	if got := f.sendAs("/none/", ""); got.Status != http.StatusNotFound {
		t.Errorf("status %d for a route that doesn't exist", got.Status)
	}
	if f.received[0].Load() != 0 {
		t.Error("a request without a valid key reached a target")
	}
	unconfirmed := newKeyedFixture(t, showsCaller)
	unconfirmed.Routes = route.NewHolder()
	unconfirmed.applyRoutes(t, keyedConfig(2, "org", "secret"))
	if got := unconfirmed.sendAs("/a/", "", "Bearer other"); got.Status != http.StatusServiceUnavailable || got.Header.Get("Retry-After") == "" {
		t.Errorf("status %d by routes that were never confirmed", got.Status)
	}
}

// TestKeysAreNotLogged checks the log lines of served, denied and malformed requests.
func TestKeysAreNotLogged(t *testing.T) {
	f := newKeyedFixture(t, declines, showsCaller)
	core, lines := observer.New(zap.DebugLevel)
	f.Log = zap.New(core)
	f.sendAs("/a/", "", "Bearer secret")
	f.sendAs("/a/", "", "Bearer secret", "Bearer secret")
	f.Reject(http.StatusBadRequest, errors.New(`malformed MIME header line: "Authorization Bearer secret"`))
	all := lines.TakeAll()
	if len(all) < 3 {
		t.Errorf("%d log lines", len(all))
	}
	for _, line := range all {
		if strings.Contains(fmt.Sprint(line.Message, line.ContextMap()), "secret") {
			t.Errorf("key in log line %q %v", line.Message, line.ContextMap())
		}
	}
}

// hookedPicker calls onPick before each pick.
type hookedPicker struct {
	Picker
	onPick func()
}

func (p *hookedPicker) Pick(ctx context.Context, req routing.ProbingRequest) ([]routing.Candidate, error) {
	p.onPick()
	return p.Picker.Pick(ctx, req)
}

// TestWithdrawnKeysSendNothing covers routes that weren't confirmed for too long, at the
// arrival of a request or only after it has waited for a target, and a key that was withdrawn
// meanwhile. All are refused as not run.
func TestWithdrawnKeysSendNothing(t *testing.T) {
	const within = 300 * time.Millisecond
	for name, c := range map[string]struct {
		confirmedBefore time.Duration
		whileWaiting    func(f *fixture)
		status          int
	}{
		"confirmed":                       {confirmedBefore: 10 * time.Millisecond, status: http.StatusOK},
		"confirmed long ago":              {confirmedBefore: within, status: http.StatusServiceUnavailable},
		"long ago after a wait":           {whileWaiting: func(*fixture) { time.Sleep(within) }, status: http.StatusServiceUnavailable},
		"key withdrawn during a wait":     {whileWaiting: func(f *fixture) { f.applyRoutes(t, keyedConfig(3, "org", "other")) }, status: http.StatusUnauthorized},
		"key handed on during a wait":     {whileWaiting: func(f *fixture) { f.applyRoutes(t, keyedConfig(3, "heir", "secret")) }, status: http.StatusServiceUnavailable},
		"other changes during a wait":     {whileWaiting: func(f *fixture) { f.applyRoutes(t, keyedConfig(3, "org", "secret")) }, status: http.StatusOK},
		"confirmed again during the wait": {confirmedBefore: 10 * time.Millisecond, whileWaiting: func(f *fixture) { f.Routes.Confirm(route.FromStore, time.Now()) }, status: http.StatusOK},
	} {
		f := newKeyedFixture(t, showsCaller)
		f.WithdrawKeysWithin = within
		f.Routes = route.NewHolder()
		f.applyRoutes(t, keyedConfig(2, "org", "secret"))
		f.Routes.Confirm(route.FromStore, time.Now().Add(-c.confirmedBefore))
		if c.whileWaiting != nil {
			f.Picker = &hookedPicker{Picker: f.picker, onPick: func() { c.whileWaiting(f) }}
		}
		got := f.sendAs("/a/", "", "Bearer secret")
		if sent := f.received[0].Load() > 0; got.Status != c.status || sent != (c.status == http.StatusOK) {
			t.Errorf("%s: status %d, sent: %t", name, got.Status, sent)
		}
	}
}

// TestKeysThatBecomeRequiredStopWaitingRequests checks that a request that was accepted when no
// keys were needed is not sent with its key once they are.
func TestKeysThatBecomeRequiredStopWaitingRequests(t *testing.T) {
	f := newKeyedFixture(t, showsCaller)
	open := keyedConfig(3, "org", "secret")
	open.KeysRequired, open.Organisations = false, nil
	f.applyRoutes(t, open)
	f.Picker = &hookedPicker{Picker: f.picker, onPick: func() { f.applyRoutes(t, keyedConfig(4, "org", "secret")) }}
	if got := f.sendAs("/a/", "", "Bearer secret"); got.Status != http.StatusServiceUnavailable || f.received[0].Load() > 0 {
		t.Errorf("status %d", got.Status)
	}
}

// TestRetriesStopWhenKeysAreWithdrawn checks that the reply to a request that may have run
// doesn't promise that it did not.
func TestRetriesStopWhenKeysAreWithdrawn(t *testing.T) {
	f := newKeyedFixture(t, hangsUp, showsCaller)
	f.Routes.Current().Match("h", "/a/").Class = model.Idempotent
	picks := 0
	f.Picker = &hookedPicker{Picker: f.picker, onPick: func() {
		if picks++; picks == 2 {
			f.applyRoutes(t, keyedConfig(3, "org", "other"))
		}
	}}
	if got := f.sendAs("/a/", "", "Bearer secret"); got.Status != http.StatusBadGateway || f.deliveries() != "1 0" {
		t.Errorf("status %d, deliveries %s", got.Status, f.deliveries())
	}
}

// hangsUp reads a request and closes the connection.
func hangsUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
