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

	"redwingpoint.org/redwingpoint/internal/front"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// signals is a vocabulary of the test's own.
var signals = &upstream.Signals{
	RequestID: "Id",
	Deadline:  "Left",
	Expect:    "Only",
	Signature: "Signed",
	Instance:  "Target",
	NotRun:    func(_ int, h http.Header) bool { return h.Get("Declined") != "" },
	Load:      func(http.Header) (routing.LoadReport, bool) { return routing.LoadReport{}, false },
}

// behaviors of targets.
func works(w http.ResponseWriter, r *http.Request) {
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

// declinesAnother may say so of any request.
func declinesAnother(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Declined", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fails(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	w.WriteHeader(http.StatusInternalServerError)
}

func answersAnother(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Id", "another")
	w.Header().Set("Signed", "yes")
}

func unsigned(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) }

func cut(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Signed", "yes")
	standin.Truncate(w, r)
}

func hangs(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// inOrder offers targets in a fixed order, as far as they were not tried.
type inOrder struct {
	endpoints []*routing.Endpoint
	full      bool
}

func (p *inOrder) Pick(_ context.Context, req routing.FreshRequest) ([]routing.Candidate, error) {
	var out []routing.Candidate
	for _, e := range p.endpoints {
		if !slices.Contains(req.Exclude, e.Target.ID) {
			out = append(out, routing.Candidate{Endpoint: e, Estimate: routing.Estimate{Free: !p.full}})
		}
	}
	if len(out) == 0 {
		return nil, &routing.NoTargetError{Service: req.Service}
	}
	return out, nil
}

// fixture is a dispatcher in front of targets with given behaviors.
type fixture struct {
	*Dispatcher
	picker   *inOrder
	received []*atomic.Int32
}

func newFixture(t *testing.T, class model.Class, behaviors ...http.HandlerFunc) *fixture {
	t.Helper()
	f := &fixture{picker: new(inOrder)}
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
		Limits:   route.Limits{BodyBytes: 1000},
		Services: []route.Service{{Name: "s"}},
		Rules: []*route.Rule{{
			Name: "r", Host: "h", Prefix: "/a/", Class: class, Objective: time.Minute, Timeout: time.Minute, MaxAttempts: 2,
			Backends: []route.Backend{{Service: "s", Weight: 1}},
		}},
	})
	if err != nil {
		t.Fatal(err)
	}
	routes.Offer(table)
	f.Dispatcher = New(Options{
		Routes: routes, Picker: f.picker, Upstream: upstream.NewSignalsClient(signals), Signals: signals,
		Budget: Budget{Share: 0.2, Burst: 2}, Log: zap.NewNop(), Meters: NewMeters(metrics.NewSet()),
	})
	for range 10 {
		// The service has had requests that needed no further arrival.
		f.services.get("s").received()
	}
	return f
}

func (f *fixture) send(ctx context.Context, target, body string) *front.Answer {
	req := httptest.NewRequest(http.MethodPost, target, strings.NewReader(body))
	req.Host = "h"
	req.Header.Set("Id", "request-1")
	path, query, _ := strings.Cut(target, "?")
	return f.Serve(ctx, &front.Request{
		HTTP: req, Target: target, Path: path, Query: query, ReceivedAt: time.Now(), BodyDeadline: func(time.Time) {},
	})
}

// arrivals returns how many requests each target received.
func (f *fixture) arrivals() string {
	var out []string
	for _, n := range f.received {
		out = append(out, fmt.Sprint(n.Load()))
	}
	return strings.Join(out, " ")
}

func TestRequestAndAnswerTravelUnchanged(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, works)
	a := f.send(context.Background(), "/a/%7Eb//c?x=%zz&y", "letters")
	if a.Status != http.StatusCreated || string(a.Body) != "POST /a/%7Eb//c?x=%zz&y h letters" || a.Header.Get("Signed") != "yes" {
		t.Errorf("%d %q %v", a.Status, a.Body, a.Header)
	}
}

// TestWhatMayFollowAFailure is the table of what a caller gets and which targets a
// request reaches, by class.
func TestWhatMayFollowAFailure(t *testing.T) {
	const once, idempotent = model.NonIdempotent, model.Idempotent
	for _, c := range []struct {
		name     string
		class    model.Class
		first    http.HandlerFunc
		status   int
		arrivals string
	}{
		{"declined", once, declines, 201, "1 1"},
		{"declined", idempotent, declines, 201, "1 1"},
		{"declined", model.Upload, declines, 201, "1 1"},
		{"declined for nobody knows whom", once, declinesAnother, 502, "1 0"},
		{"hung up", once, standin.CloseConnection, 502, "1 0"},
		{"hung up", idempotent, standin.CloseConnection, 201, "1 1"},
		{"hung up", model.Upload, standin.CloseConnection, 502, "1 0"},
		{"an answer to another request", once, answersAnother, 502, "1 0"},
		{"an answer to another request", idempotent, answersAnother, 201, "1 1"},
		{"an unsigned success", once, unsigned, 502, "1 0"},
		{"an unsigned success", idempotent, unsigned, 201, "1 1"},
		{"a cut answer", once, cut, 502, "1 0"},
		{"a cut answer", idempotent, cut, 201, "1 1"},
		{"a failure of the target", once, fails, 500, "1 0"},
		{"a failure of the target", idempotent, fails, 201, "1 1"},
	} {
		f := newFixture(t, c.class, c.first, works)
		a := f.send(context.Background(), "/a/", "x")
		if a.Status != c.status || f.arrivals() != c.arrivals {
			t.Errorf("%s, %s: status %d, arrivals %s, want %d, %s", c.class, c.name, a.Status, f.arrivals(), c.status, c.arrivals)
		}
	}
}

func TestAnUnreachableTargetIsNoArrival(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, works, works)
	f.picker.endpoints[0].Target.Addr = netip.MustParseAddrPort("127.0.0.1:1")
	for range 10 {
		if a := f.send(context.Background(), "/a/", "x"); a.Status != http.StatusCreated {
			t.Fatalf("status %d: a refused connection used the budget up", a.Status)
		}
	}
}

func TestTheBudgetBoundsFurtherArrivals(t *testing.T) {
	for _, class := range []model.Class{model.NonIdempotent, model.Idempotent} {
		f := newFixture(t, class, declines, works)
		const requests = 100
		refused := 0
		for range requests {
			a := f.send(context.Background(), "/a/", "x")
			if a.Status == http.StatusServiceUnavailable && a.Header.Get("Retry-After") != "" {
				refused++
			}
		}
		// A share of 0.2 and two in advance.
		if extra := f.received[1].Load(); extra > 22 || extra < 20 || refused != requests-int(extra) {
			t.Errorf("%s: %d further arrivals and %d refusals of %d requests", class, extra, refused, requests)
		}
	}
}

// TestFleetsThatRestartKeepTheCommonBudget lets every instance of a fleet spend what
// ten requests earn, restart twice and spend again. The platform allows 188 arrivals
// beyond a fifth of the requests to 125 instances.
func TestFleetsThatRestartKeepTheCommonBudget(t *testing.T) {
	const instances, slack = 125, 188
	requests, extra := 0, 0
	for range instances {
		for start := range 3 {
			var all services
			all.setShare(0.2)
			all.burst = settings.DefaultGateway().Resend.Burst
			s := all.get("s")
			for range 10 {
				if start == 0 {
					s.received()
					requests++
				}
			}
			for s.spend() {
				extra++
			}
		}
	}
	if allowed := requests/5 + slack; extra > allowed || extra == 0 {
		t.Errorf("%d further arrivals of %d requests, allowed are %d", extra, requests, allowed)
	}
}

func TestFullTargetsAreLeftAloneAndTheCallerToldWhenToComeBack(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, works)
	f.picker.full = true
	f.Routes.Current().Match("h", "/a/").Objective = time.Millisecond
	a := f.send(context.Background(), "/a/", "x")
	if a.Status != http.StatusServiceUnavailable || a.Header.Get("Retry-After") == "" || f.arrivals() != "0" {
		t.Errorf("status %d, Retry-After %q, arrivals %s", a.Status, a.Header.Get("Retry-After"), f.arrivals())
	}
}

func TestATargetThatHangsIsAnsweredForAtTheTimeout(t *testing.T) {
	for _, class := range []model.Class{model.NonIdempotent, model.Idempotent} {
		f := newFixture(t, class, hangs, works)
		f.Routes.Current().Match("h", "/a/").Timeout = 30 * time.Millisecond
		if a := f.send(context.Background(), "/a/", "x"); a.Status != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d", class, a.Status)
		}
	}
}

func TestACallerThatLeavesEndsWorkThatMayRepeat(t *testing.T) {
	ended := make(chan struct{})
	started := make(chan struct{})
	f := newFixture(t, model.Idempotent, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	}, works)
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-started; leave() }()
	if a := f.send(ctx, "/a/", "x"); a != nil {
		t.Errorf("status %d for a caller that has left", a.Status)
	}
	<-ended
	if f.arrivals() != "1 0" {
		t.Errorf("arrivals %s", f.arrivals())
	}
}

func TestRefusalsBeforeAnyTarget(t *testing.T) {
	f := newFixture(t, model.NonIdempotent, works)
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
	if f.arrivals() != "0" {
		t.Errorf("arrivals %s", f.arrivals())
	}
}
