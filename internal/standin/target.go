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

// Behavior replaces the way in which a target handles a request.
type Behavior func(w http.ResponseWriter, r *http.Request)

// Target is a scripted upstream server with a bounded number of slots.
type Target struct {
	ID string
	// Work is how long a request occupies a slot.
	Work time.Duration

	slots     chan struct{}
	inFlight  atomic.Int32
	received  atomic.Int64
	runs      atomic.Int64
	cancelled atomic.Int64
	behavior  atomic.Pointer[Behavior]
	// Draining makes the target announce that it is leaving.
	Draining atomic.Bool
	// Rejecting makes the target shed every request at once.
	Rejecting atomic.Bool
}

// NewTarget returns a target with the given number of slots.
func NewTarget(id string, slots int, work time.Duration) *Target {
	return &Target{ID: id, Work: work, slots: make(chan struct{}, slots)}
}

// Received returns the number of requests that reached the target.
func (t *Target) Received() int64 { return t.received.Load() }

// Runs returns the number of requests that were run.
func (t *Target) Runs() int64 { return t.runs.Load() }

// Cancelled returns the number of requests whose sender gave up before they ended.
func (t *Target) Cancelled() int64 { return t.cancelled.Load() }

// SetBehavior sets what happens to requests from now on; nil restores the usual work.
func (t *Target) SetBehavior(s Behavior) {
	if s == nil {
		t.behavior.Store(nil)
		return
	}
	t.behavior.Store(&s)
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == upstream.HealthPath {
		t.health(w)
		return
	}
	t.received.Add(1)
	held := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	w.Header().Set(upstream.HeaderInFlight, strconv.Itoa(int(held)))
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

// health answers probes; the endpoint knows of drains and calls everything else healthy.
func (t *Target) health(w http.ResponseWriter) {
	if t.Draining.Load() {
		w.Header().Set(upstream.HeaderDraining, "true")
	}
	w.WriteHeader(http.StatusOK)
}

func (t *Target) run(w http.ResponseWriter, r *http.Request) {
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	n, err := io.Copy(io.Discard, r.Body)
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
		t.ID, r.Method, r.URL.RequestURI(), n, r.Header.Get(upstream.HeaderRequestID))
}

// Shed is a Behavior that refuses a request unstarted.
func Shed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(upstream.HeaderShed, upstream.ShedUnstarted)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Crash is a Behavior that reads a request and ends its connection without an answer.
func Crash(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	HangUp(w, r)
}

// HangUp is a Behavior that ends the connection at once.
func HangUp(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Truncate is a Behavior that announces more bytes than it sends.
func Truncate(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "1000")
	_, _ = io.WriteString(w, "the beginning")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
