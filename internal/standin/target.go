package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/upstream"
)

// Behavior handles a request in place of a target's normal handling.
type Behavior func(w http.ResponseWriter, r *http.Request)

// Target is a fake target with a limited number of slots and an adjustable behavior. It
// is safe for concurrent use.
type Target struct {
	ID string
	// Work is the time that a request occupies a slot.
	Work time.Duration

	slots     chan struct{}
	inFlight  atomic.Int32
	received  atomic.Int64
	runs      atomic.Int64
	cancelled atomic.Int64
	behavior  atomic.Pointer[Behavior]
	// Draining makes the target announce in responses and health checks that it drains.
	Draining atomic.Bool
	// Rejecting makes the target shed every request immediately.
	Rejecting atomic.Bool
}

// NewTarget returns a target with the given number of slots.
func NewTarget(id string, slots int, work time.Duration) *Target {
	return &Target{ID: id, Work: work, slots: make(chan struct{}, slots)}
}

// Received returns the number of requests that reached the target.
func (t *Target) Received() int64 { return t.received.Load() }

// Runs returns the number of requests that the target began to run.
func (t *Target) Runs() int64 { return t.runs.Load() }

// Cancelled returns the number of requests that their sender cancelled before they
// completed.
func (t *Target) Cancelled() int64 { return t.cancelled.Load() }

// SetBehavior sets the handling of later requests; nil restores the normal handling.
func (t *Target) SetBehavior(b Behavior) {
	if b == nil {
		t.behavior.Store(nil)
		return
	}
	t.behavior.Store(&b)
}

// ServeHTTP implements http.Handler. It answers health checks, sheds requests or runs
// them.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == upstream.HealthPath {
		t.health(w)
		return
	}
	t.received.Add(1)
	inFlight := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	w.Header().Set(upstream.HeaderInFlight, strconv.Itoa(int(inFlight)))
	if t.Draining.Load() {
		w.Header().Set(upstream.HeaderDraining, "true")
	}
	if t.Rejecting.Load() {
		Shed(w, r)
		return
	}
	if behavior := t.behavior.Load(); behavior != nil {
		(*behavior)(w, r)
		return
	}
	t.run(w, r)
}

// health answers health checks. It reports draining, and 200 in all cases.
func (t *Target) health(w http.ResponseWriter) {
	if t.Draining.Load() {
		w.Header().Set(upstream.HeaderDraining, "true")
	}
	w.WriteHeader(http.StatusOK)
}

// run waits for a free slot, reads the body, occupies the slot for t.Work and responds.
func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	bodyBytes, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		t.cancelled.Add(1)
		return
	}
	t.runs.Add(1)
	select {
	case <-time.After(t.Work):
	case <-r.Context().Done():
		t.cancelled.Add(1)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "%s ran %s %s with %d bytes for request %s\n",
		t.ID, r.Method, r.URL.RequestURI(), bodyBytes, r.Header.Get(upstream.HeaderRequestID))
}

// Shed is a Behavior that refuses a request and states that it was not started.
func Shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(upstream.HeaderShed, upstream.ShedUnstarted)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Crash is a Behavior that reads a request and closes its connection without a response.
func Crash(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	CloseConnection(w, r)
}

// CloseConnection is a Behavior that closes the connection without reading the body.
func CloseConnection(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Truncate is a Behavior that sends fewer bytes than its Content-Length and aborts.
func Truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, "the beginning")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
