package events

import (
	"fmt"
	"maps"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// CountingRecorder is a Recorder that forwards events to another Recorder and counts them
// by kind in the metric redwingpoint_events_total{kind="..."}. It is safe for concurrent
// use.
type CountingRecorder struct {
	next Recorder
	set  *metrics.Set
	// counters is immutable; it is replaced when a kind is counted for the first time.
	counters atomic.Pointer[map[Kind]*metrics.Counter]
}

// NewCountingRecorder returns a CountingRecorder that forwards events to next and
// registers its counters in set.
func NewCountingRecorder(next Recorder, set *metrics.Set) *CountingRecorder {
	c := &CountingRecorder{next: next, set: set}
	c.counters.Store(&map[Kind]*metrics.Counter{})
	return c
}

// Record implements Recorder.
func (c *CountingRecorder) Record(e Event) {
	c.next.Record(e)
	c.counter(e.Kind).Inc()
}

// counter returns the counter of a kind. If two goroutines add a kind at the same time,
// one entry of the map may be lost, but no count: the next call gets the same counter
// from the set.
func (c *CountingRecorder) counter(kind Kind) *metrics.Counter {
	current := *c.counters.Load()
	if counter, ok := current[kind]; ok {
		return counter
	}
	counter := c.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_events_total{kind=%q}", string(kind)))
	next := maps.Clone(current)
	next[kind] = counter
	c.counters.Store(&next)
	return counter
}
