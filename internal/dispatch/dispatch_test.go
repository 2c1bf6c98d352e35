package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/callers"
	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// testProtocol has header names that differ from those of any real protocol.
var testProtocol = &upstream.Protocol{
	RequestID:      "Id",
	Deadline:       "Left",
	ExpectedTarget: "Only",
	Signature:      "Signed",
	TargetID:       "Target",
	NotRun:         func(_ int, h http.Header) bool { return h.Get("Declined") != "" },
	ParseLoad:      func(http.Header) (routing.LoadReport, bool) { return routing.LoadReport{}, false },
}

// succeeds responds with what it received. It and the functions below are handlers of test
// targets.
func succeeds(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "%s %s %s %s", r.Method, r.RequestURI, r.Host, body)
}

func declines(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// declinesWithoutRequestID declines without a request ID, so that the response can't be
// attributed to the request.
func declinesWithoutRequestID(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fails(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	w.WriteHeader(http.StatusInternalServerError)
}

func respondsToAnotherRequest(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "another")
	w.Header().Set("Signed", "yes")
}

func succeedsUnsigned(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
}

func truncates(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	standin.Truncate(w, r)
}

func hangs(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// orderedPicker offers the targets that were not tried, in a fixed order.
type orderedPicker struct {
	endpoints []*routing.Endpoint
	full      bool
	// free is the number of free slots, of six, that targets report.
	free atomic.Int32
}

func (p *orderedPicker) Pick(_ context.Context, req routing.ProbingRequest) ([]routing.Candidate, error) {
	var out []routing.Candidate
	for _, e := range p.endpoints {
		if !slices.Contains(req.Exclude, e.Target.ID) {
			out = append(out, routing.Candidate{Endpoint: e, Report: routing.LoadReport{Slots: 6}, Estimate: routing.Estimate{HasFreeSlot: !p.full, FreeSlots: int(p.free.Load())}})
		}
	}
	if len(out) == 0 {
		return nil, &routing.NoTargetError{Service: req.Service}
	}
	return out, nil
}

// fixture is a dispatcher in front of targets with the given handlers.
type fixture struct {
	*Dispatcher
	picker   *orderedPicker
	received []*atomic.Int32
	// account is that of the caller's connection, or nil.
	account *callers.Account
}

func newFixture(t *testing.T, class model.Class, behaviors ...http.HandlerFunc) *fixture {
	t.Helper()
	return newFixtureWithBodyLimit(t, 1000, class, behaviors...)
}

// newFixtureWithBodyLimit is like newFixture with the given limit on request bodies in bytes.
func newFixtureWithBodyLimit(t *testing.T, bodyLimit int64, class model.Class, behaviors ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{picker: new(orderedPicker)}
	f.picker.free.Store(6)
	for i, behavior := range behaviors {
		count := new(atomic.Int32)
		f.received = append(f.received, count)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			count.Add(1)
			behavior(w, r)
		}))
		t.Cleanup(server.Close)
		f.picker.endpoints = append(f.picker.endpoints, &routing.Endpoint{
			Target: model.Target{
				ID:   model.TargetID(fmt.Sprint("t", i)),
				Addr: netip.MustParseAddrPort(server.Listener.Addr().String()),
			},
			Load: new(routing.Load),
		})
	}
	routes := route.NewHolder()
	table, err := route.NewTable(route.Config{
		Revision: 1,
		Limits:   route.Limits{BodyBytes: bodyLimit},
		Services: []route.Service{{Name: "s"}},
		Rules: []*route.Rule{{
			Name: "r", Host: "h", Prefix: "/a/", Class: class, Objective: time.Minute, Timeout: time.Minute, MaxAttempts: 2,
			Backends: []route.Backend{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	routes.Apply(table)
	f.Dispatcher = New(Options{
		Routes: routes, Picker: f.picker, Upstream: upstream.NewClientWithProtocol(testProtocol), Protocol: testProtocol,
		RetryBudget: RetryBudget{Share: 0.2, Burst: 2}, Quarantine: new(quarantine.Registry), Log: zap.NewNop(), Metrics: NewMetrics(metrics.NewSet()),
	})
	for range 10 {
		// Earlier requests without a retry have filled the retry budget.
		f.serviceStates.get("s").countRequest()
	}
	return f
}

func (f *fixture) send(ctx context.Context, target, body string) *httpserver.Response {
	req := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	req.Host = "h"
	req.Header.Set("Id", "request-1")
	path, query, _ := strings.Cut(target, "?")
	return f.Serve(ctx, &httpserver.Request{
		HTTP: req, RequestTarget: target, Path: path, Query: query, ReceivedAt: time.Now(), BodyDeadline: func(time.Time) {},
	})
}

// deliveries returns how many requests each target received.
func (f *fixture) deliveries() string {
	var out []string
	for _, n := range f.received {
		out = append(out, fmt.Sprint(n.Load()))
	}
	return strings.Join(out, " ")
}

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, succeeds)
	a := f.send(context.Background(), "/a/%7Eb//c?x=%zz&y", "letters")
	if a.Status != http.StatusCreated || string(a.Body) != "POST /a/%7Eb//c?x=%zz&y h letters" || a.Header.Get("Signed") != "yes" {
		t.Errorf("%d %q %v", a.Status, a.Body, a.Header)
	}
}

// TestRetriesByClassAndFailure checks, by class and kind of failure, the caller's status
// and how many requests each target received.
func TestRetriesByClassAndFailure(t *testing.T) {
	const nonIdempotent, idempotent = model.NonIdempotent, model.Idempotent
	for _, c := range []struct {
		name       string
		class      model.Class
		first      http.HandlerFunc
		status     int
		deliveries string
	}{
		{"declined", nonIdempotent, declines, 201, "1 1"},
		{"declined", idempotent, declines, 201, "1 1"},
		{"declined", model.Upload, declines, 201, "1 1"},
		{"declined without request ID", nonIdempotent, declinesWithoutRequestID, 502, "1 0"},
		{"connection closed", nonIdempotent, standin.CloseConnection, 502, "1 0"},
		{"connection closed", idempotent, standin.CloseConnection, 201, "1 1"},
		{"connection closed", model.Upload, standin.CloseConnection, 502, "1 0"},
		{"response to another request", nonIdempotent, respondsToAnotherRequest, 502, "1 0"},
		{"response to another request", idempotent, respondsToAnotherRequest, 201, "1 1"},
		{"unsigned success", nonIdempotent, succeedsUnsigned, 502, "1 0"},
		{"unsigned success", idempotent, succeedsUnsigned, 201, "1 1"},
		{"truncated response", nonIdempotent, truncates, 502, "1 0"},
		{"truncated response", idempotent, truncates, 201, "1 1"},
		{"server error", nonIdempotent, fails, 500, "1 0"},
		{"server error", idempotent, fails, 201, "1 1"},
	} {
		f := newFixture(t, c.class, c.first, succeeds)
		a := f.send(context.Background(), "/a/", "x")
		if a.Status != c.status || f.deliveries() != c.deliveries {
			t.Errorf("%s, %s: status %d, deliveries %s, want %d, %s", c.class, c.name, a.Status, f.deliveries(), c.status, c.deliveries)
		}
	}
}

func TestUnreachableTargetUsesNoRetryBudget(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, succeeds, succeeds)
	f.picker.endpoints[0].Target.Addr = netip.MustParseAddrPort("127.0.0.1:1")
	for range 10 {
		if a := f.send(context.Background(), "/a/", "x"); a.Status != http.StatusCreated {
			t.Fatalf("status %d: refused connections used up the retry budget", a.Status)
		}
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	for _, class := range []model.Class{model.NonIdempotent, model.Idempotent} {
		f := newFixture(t, class, declines, succeeds)
		const requests = 100
		refused := 0
		for range requests {
			a := f.send(context.Background(), "/a/", "x")
			if a.Status == http.StatusServiceUnavailable && a.Header.Get("Retry-After") != "" {
				refused++
			}
		}
		// The share of 0.2 allows 20 retries, the budget filled by newFixture 2 more.
		if retries := f.received[1].Load(); retries > 22 || retries < 20 || refused != requests-int(retries) {
			t.Errorf("%s: %d retries and %d refusals for %d requests", class, retries, refused, requests)
		}
	}
}

// TestRestartingInstancesKeepTheSharedRetryBudget guards against instances that start
// with a full retry budget and exceed the fleet's allowance by restarting. Each instance
// spends what ten requests add, restarts twice and spends again. The platform allows 125
// instances 188 deliveries beyond a fifth of the requests.
func TestRestartingInstancesKeepTheSharedRetryBudget(t *testing.T) {
	const instances, slack = 125, 188
	requests, retries := 0, 0
	for range instances {
		for start := range 3 {
			var states serviceStates
			states.setRetryShare(0.2)
			states.burst = settings.DefaultGateway().RetryBudget.Burst
			s := states.get("s")
			for range 10 {
				if start == 0 {
					s.countRequest()
					requests++
				}
			}
			for s.spendRetry() {
				retries++
			}
		}
	}
	if allowed := requests/5 + slack; retries > allowed || retries == 0 {
		t.Errorf("%d retries for %d requests, allowed are %d", retries, requests, allowed)
	}
}

func TestFullTargetsGetNoRequestAndCallerGetsRetryAfter(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, succeeds)
	f.picker.full = true
	f.Routes.Current().Match("h", "/a/").Objective = time.Millisecond
	a := f.send(context.Background(), "/a/", "x")
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" || f.deliveries() != "0" {
		t.Errorf("status %d, Retry-After %q, deliveries %s", a.Status, a.Header.Get("Retry-After"), f.deliveries())
	}
}

func TestHangingTargetGivesGatewayTimeout(t *testing.T) {
	for _, class := range []model.Class{model.NonIdempotent, model.Idempotent} {
		f := newFixture(t, class, hangs, succeeds)
		f.Routes.Current().Match("h", "/a/").Timeout = 30 * time.Millisecond
		if a := f.send(context.Background(), "/a/", "x"); a.Status != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d", class, a.Status)
		}
	}
}

func TestCallerDisconnectCancelsIdempotentRequest(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	f := newFixture(t, model.Idempotent, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	}, succeeds)
	ctx, disconnect := context.WithCancel(context.Background())
	go func() { <-started; disconnect() }()
	if a := f.send(ctx, "/a/", "x"); a != nil {
		t.Errorf("status %d for a caller that has disconnected", a.Status)
	}
	<-ended
	if f.deliveries() != "1 0" {
		t.Errorf("deliveries %s", f.deliveries())
	}
}

func TestRefusalsBeforeTargetChoice(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, succeeds)
	if a := f.send(context.Background(), "/b/", "x"); a.Status != http.StatusNotFound {
		t.Errorf("no rule: status %d", a.Status)
	}
	if a := f.send(context.Background(), "/a/", strings.Repeat("x", 1001)); a.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("large body: status %d", a.Status)
	}
	f.Routes = route.NewHolder()
	if a := f.send(context.Background(), "/a/", "x"); a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" {
		t.Errorf("no routes yet: status %d", a.Status)
	}
	if f.deliveries() != "0" {
		t.Errorf("deliveries %s", f.deliveries())
	}
}
