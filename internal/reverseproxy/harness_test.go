package reverseproxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

func init() { gin.SetMode(gin.ReleaseMode) }

const testDocument = `{"revision":1,"defaults":{"deadline":"30s"},"services":{
	"nahled":{"class":"idempotent"},"odeslani":{"class":"nonIdempotent"},"prijem":{"class":"upload"}}}`

var testLocation = model.Location{Region: "praha", FailureDomain: "praha-a"}

// testServer is a Server with its dependencies.
type testServer struct {
	*Server
	config   *config.SnapshotHolder
	table    *routing.Table
	client   *upstream.Client
	ledger   *memoryLedger
	events   *events.Ring
	facts    *fleet.FactReplica
	observed *observations
}

// newTestServer returns a Server with the given configuration document. If change
// is not nil, it may modify the options.
func newTestServer(document string, change func(*Options)) *testServer {
	clock := events.NewClock(time.Now)
	s := &testServer{
		config:   config.NewSnapshotHolder(testLocation),
		table:    routing.NewTable(testLocation),
		client:   upstream.NewClient(),
		ledger:   &memoryLedger{keys: make(map[string]*memoryClaim)},
		events:   events.NewRing("praha-a-1", clock, 4096),
		facts:    fleet.NewFactReplica("praha-a-1", clock, time.Now),
		observed: new(observations),
	}
	s.configure(document)
	o := Options{
		Config:     s.config,
		Picker:     routing.NewLeastInFlight(s.table),
		Upstream:   s.client,
		Ledger:     s.ledger,
		Recorder:   s.events,
		Quarantine: quarantine.New(s.facts, s.events),
		Observer:   s.observed,
	}
	if change != nil {
		change(&o)
	}
	s.Server = New(o)
	return s
}

func (s *testServer) configure(document string) {
	d := new(config.Document)
	if err := json.Unmarshal([]byte(document), d); err != nil {
		panic(err)
	}
	s.config.Apply(d, time.Now())
}

// serveTargets starts n targets of a service on loopback.
func (s *testServer) serveTargets(t testing.TB, service model.ServiceName, n int) []*standin.Target {
	t.Helper()
	targets := make([]*standin.Target, n)
	list := make([]model.Target, n)
	for i := range targets {
		id := string(service) + "-" + string(rune('a'+i))
		targets[i] = standin.NewTarget(id, 64, 0)
		server := httptest.NewUnstartedServer(targets[i])
		server.Config.ErrorLog = discardLog
		server.Start()
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		list[i] = model.Target{
			ID:       model.TargetID(id),
			Service:  service,
			Addr:     netip.MustParseAddrPort(server.Listener.Addr().String()),
			Location: testLocation,
			Slots:    64,
		}
	}
	s.table.SetTargets(service, list)
	return targets
}

// listTargets adds n targets without an address, for tests that replace the
// upstream client.
func (s *testServer) listTargets(service model.ServiceName, n, slots int) {
	list := make([]model.Target, n)
	for i := range list {
		id := model.TargetID(string(service) + "-" + string(rune('a'+i)))
		list[i] = model.Target{ID: id, Service: service, Location: testLocation, Slots: slots}
	}
	s.table.SetTargets(service, list)
}

func (s *testServer) countEvents(kind events.Kind) int {
	n := 0
	for _, e := range s.events.Snapshot() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// do passes a request to the handler without a connection.
func (s *testServer) do(req *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, req)
	return w
}

func get(path string) *http.Request { return httptest.NewRequest(http.MethodGet, path, nil) }

func post(path, key, body string) *http.Request {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if key != "" {
		req.Header.Set(upstream.HeaderIdempotencyKey, key)
	}
	return req
}

func problemOf(t testing.TB, w *httptest.ResponseRecorder) Problem {
	t.Helper()
	var p Problem
	if got := w.Header().Get("Content-Type"); got != "application/problem+json" {
		t.Fatalf("content type %q, status %d, body %q", got, w.Code, w.Body)
	}
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatal(err)
	}
	return p
}

func wantProblem(t testing.TB, w *httptest.ResponseRecorder, status int, code Code, runState RunState) {
	t.Helper()
	p := problemOf(t, w)
	if w.Code != status || p.Code != code || p.RunState != runState {
		t.Errorf("got %d %s %s, want %d %s %s", w.Code, p.Code, p.RunState, status, code, runState)
	}
}

// finishBackground lets the remaining goroutines of a synctest bubble finish, in
// virtual time.
func finishBackground() { time.Sleep(time.Hour) }

// eventually polls until holds reports true. It fails the test when the test's
// context ends.
func eventually(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatal("condition not met: " + condition)
		case <-time.After(time.Millisecond):
		}
	}
}

// clientFunc implements UpstreamClient by a function.
type clientFunc func(ctx context.Context, call upstream.Call) (*upstream.Response, error)

func (f clientFunc) Do(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	return f(ctx, call)
}

// newResponse returns a response without header fields.
func newResponse(status int, body string) *upstream.Response {
	return &upstream.Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

// brokenConnection returns the error for a connection that breaks after sending.
func brokenConnection(call upstream.Call) *upstream.CallError {
	return &upstream.CallError{Target: call.Endpoint.Target.ID, Reason: upstream.ConnectionLost, Sent: true, Cause: io.EOF}
}

// sleepContext sleeps for d. If the context ends first, it returns the matching
// *upstream.CallError.
func sleepContext(ctx context.Context, call upstream.Call, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		reason := upstream.Cancelled
		if ctx.Err() == context.DeadlineExceeded {
			reason = upstream.TimedOut
		}
		return &upstream.CallError{Target: call.Endpoint.Target.ID, Reason: reason, Sent: true, Cause: ctx.Err()}
	}
}

// observations collects the observations that a Server reports.
type observations struct {
	mu  sync.Mutex
	all []health.Observation
}

func (o *observations) Observe(obs health.Observation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.all = append(o.all, obs)
}

func (o *observations) count(outcome health.Outcome) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for _, obs := range o.all {
		if obs.Outcome == outcome {
			n++
		}
	}
	return n
}

// memoryLedger is a ledger in memory, keyed by caller and idempotency key.
type memoryLedger struct {
	mu   sync.Mutex
	keys map[string]*memoryClaim
}

func (l *memoryLedger) Begin(_ context.Context, req ledger.Request) (ledger.Decision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := req.Caller + "\x00" + req.Key
	if c := l.keys[id]; c != nil && c.state != "not-run" {
		return c.decision(), nil
	}
	c := &memoryClaim{unkeyedClaim: unkeyedClaim{deadline: req.Deadline}, ledger: l, state: "claimed"}
	l.keys[id] = c
	return ledger.Decision{State: ledger.Claimed, Claim: c}, nil
}

// state returns the state of the only key in the ledger, or "" if there is none.
func (l *memoryLedger) state() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.keys {
		return c.state
	}
	return ""
}

type memoryClaim struct {
	unkeyedClaim
	ledger   *memoryLedger
	state    string
	response *ledger.Response
}

func (c *memoryClaim) decision() ledger.Decision {
	switch c.state {
	case "done":
		return ledger.Decision{State: ledger.Done, Response: c.response}
	case "unknown":
		return ledger.Decision{State: ledger.OutcomeUnknown}
	default:
		return ledger.Decision{State: ledger.InProgress, Holder: "praha-a-1"}
	}
}

func (c *memoryClaim) set(state string, response *ledger.Response) error {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.state, c.response = state, response
	return nil
}

func (c *memoryClaim) RecordDone(_ context.Context, response *ledger.Response) error {
	return c.set("done", response)
}
func (c *memoryClaim) RecordNotRun(context.Context) error  { return c.set("not-run", nil) }
func (c *memoryClaim) RecordUnknown(context.Context) error { return c.set("unknown", nil) }
