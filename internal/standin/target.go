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

// Target is a scripted upstream server with a bounded number of slots.
type Target struct {
	ID string
	// Work is how long a request occupies a slot.
	Work time.Duration

	slots    chan struct{}
	inFlight atomic.Int32
	runs     atomic.Int64
	// Draining makes the target announce that it is leaving.
	Draining atomic.Bool
	// Rejecting makes the target shed every request at once.
	Rejecting atomic.Bool
}

// NewTarget returns a target with the given number of slots.
func NewTarget(id string, slots int, work time.Duration) *Target {
	return &Target{ID: id, Work: work, slots: make(chan struct{}, slots)}
}

// Runs returns the number of requests that were run.
func (t *Target) Runs() int64 { return t.runs.Load() }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	held := t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	w.Header().Set(upstream.HeaderInFlight, strconv.Itoa(int(held)))
	if t.Draining.Load() {
		w.Header().Set(upstream.HeaderDraining, "true")
	}
	if t.Rejecting.Load() {
		w.Header().Set(upstream.HeaderShed, upstream.ShedUnstarted)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	t.runs.Add(1)
	time.Sleep(t.Work)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = fmt.Fprintf(w, "%s ran %s %s with %d bytes for request %s\n",
		t.ID, r.Method, r.URL.RequestURI(), n, r.Header.Get(upstream.HeaderRequestID))
}
