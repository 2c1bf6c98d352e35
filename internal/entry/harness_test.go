package entry

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

var praha = model.Location{Region: "praha", FailureDomain: "praha-a"}

// bench is an entry server with its collaborators.
type bench struct {
	*Server
	config   *config.Holder
	table    *routing.Table
	client   *upstream.Client
	ledger   *memoryLedger
	events   *events.Ring
	board    *fleet.FactReplica
	observed *observations
}

// newBench returns an entry server over the given document; change adapts its options.
func newBench(document string, change func(*Options)) *bench {
	clock := events.NewClock(time.Now)
	b := &bench{
		config:   config.NewHolder(praha),
		table:    routing.NewTable(praha),
		client:   upstream.NewClient(),
		ledger:   &memoryLedger{keys: make(map[string]*memoryClaim)},
		events:   events.NewRing("praha-a-1", clock, 4096),
		board:    fleet.NewFactReplica("praha-a-1", clock, time.Now),
		observed: new(observations),
	}
	b.configure(document)
	o := Options{
		Config:     b.config,
		Picker:     routing.NewLeastInFlight(b.table),
		Upstream:   b.client,
		Ledger:     b.ledger,
		Recorder:   b.events,
		Quarantine: quarantine.New(b.board, b.events),
		Observer:   b.observed,
	}
	if change != nil {
		change(&o)
	}
	b.Server = New(o)
	return b
}

func (b *bench) configure(document string) {
	d := new(config.Document)
	if err := json.Unmarshal([]byte(document), d); err != nil {
		panic(err)
	}
	b.config.Apply(d, time.Now())
}

// serveTargets starts n targets of a service on loopback.
func (b *bench) serveTargets(t testing.TB, service model.ServiceName, n int) []*standin.Target {
	t.Helper()
	targets := make([]*standin.Target, n)
	list := make([]model.Target, n)
	for i := range targets {
		id := string(service) + "-" + string(rune('a'+i))
		targets[i] = standin.NewTarget(id, 64, 0)
		server := httptest.NewUnstartedServer(targets[i])
		server.Config.ErrorLog = quietLog
		server.Start()
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		list[i] = model.Target{
			ID:       model.TargetID(id),
			Service:  service,
			Addr:     netip.MustParseAddrPort(server.Listener.Addr().String()),
			Location: praha,
			Slots:    64,
		}
	}
	b.table.SetTargets(service, list)
	return targets
}

// listTargets lists n targets that are reached by a scripted exchanger only.
func (b *bench) listTargets(service model.ServiceName, n, slots int) {
	list := make([]model.Target, n)
	for i := range list {
		id := model.TargetID(string(service) + "-" + string(rune('a'+i)))
		list[i] = model.Target{ID: id, Service: service, Location: praha, Slots: slots}
	}
	b.table.SetTargets(service, list)
}

func (b *bench) count(kind events.Kind) int {
	n := 0
	for _, e := range b.events.Snapshot() {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

// do sends a request straight to the handler.
func (b *bench) do(req *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	b.Handler().ServeHTTP(w, req)
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

func wantProblem(t testing.TB, w *httptest.ResponseRecorder, status int, code Code, ran Ran) {
	t.Helper()
	p := problemOf(t, w)
	if w.Code != status || p.Code != code || p.Ran != ran {
		t.Errorf("got %d %s %s, want %d %s %s", w.Code, p.Code, p.Ran, status, code, ran)
	}
}

// settle lets what still runs in a bubble end, in virtual time.
func settle() { time.Sleep(time.Hour) }

// eventually waits until a condition holds; the test's own timeout bounds it.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for !holds() {
		select {
		case <-t.Context().Done():
			t.Fatal("never: " + what)
		case <-time.After(time.Millisecond):
		}
	}
}

// scripted is an Exchanger that answers by a function.
type scripted func(ctx context.Context, call upstream.Call) (*upstream.Response, error)

func (f scripted) Do(ctx context.Context, call upstream.Call) (*upstream.Response, error) {
	return f(ctx, call)
}

func answerWith(status int, body string) *upstream.Response {
	return &upstream.Response{Status: status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
}

func brokenAt(call upstream.Call) *upstream.CallError {
	return &upstream.CallError{Target: call.Endpoint.Target.ID, Reason: upstream.Broken, Sent: true, Cause: io.EOF}
}

// pause waits in virtual time and reports how the context ended.
func pause(ctx context.Context, call upstream.Call, d time.Duration) error {
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

// observations collects what the observer is told.
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

// memoryLedger keeps claims in memory, by caller and key.
type memoryLedger struct {
	mu   sync.Mutex
	keys map[string]*memoryClaim
}

func (l *memoryLedger) Begin(_ context.Context, req ledger.Request) (ledger.Decision, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := req.Caller + "\x00" + req.Key
	if c := l.keys[id]; c != nil && c.state != "not-run" {
		return c.decide(), nil
	}
	c := &memoryClaim{receiptClaim: receiptClaim{deadline: req.Deadline}, ledger: l, state: "claimed"}
	l.keys[id] = c
	return ledger.Decision{State: ledger.Claimed, Claim: c}, nil
}

// state returns how the only key in the ledger stands.
func (l *memoryLedger) state() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.keys {
		return c.state
	}
	return ""
}

type memoryClaim struct {
	receiptClaim
	ledger *memoryLedger
	state  string
	answer *ledger.Response
}

func (c *memoryClaim) decide() ledger.Decision {
	switch c.state {
	case "done":
		return ledger.Decision{State: ledger.Done, Response: c.answer}
	case "unknown":
		return ledger.Decision{State: ledger.OutcomeUnknown}
	default:
		return ledger.Decision{State: ledger.InProgress, Holder: "praha-a-1"}
	}
}

func (c *memoryClaim) set(state string, answer *ledger.Response) error {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	c.state, c.answer = state, answer
	return nil
}

func (c *memoryClaim) RecordDone(_ context.Context, a *ledger.Response) error {
	return c.set("done", a)
}
func (c *memoryClaim) RecordNotRun(context.Context) error  { return c.set("not-run", nil) }
func (c *memoryClaim) RecordUnknown(context.Context) error { return c.set("unknown", nil) }
