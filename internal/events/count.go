package events

import (
	"fmt"
	"maps"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// Counted is a Recorder that passes events on and counts them by kind, as
// redwingpoint_events_total{kind="..."} in a set of metrics.
type Counted struct {
	next Recorder
	set  *metrics.Set
	// counters is replaced as a whole when a kind is counted for the first time.
	counters atomic.Pointer[map[Kind]*metrics.Counter]
}

// NewCounted returns a Recorder in front of next.
func NewCounted(next Recorder, set *metrics.Set) *Counted {
	c := &Counted{next: next, set: set}
	c.counters.Store(&map[Kind]*metrics.Counter{})
	return c
}

// Record implements Recorder.
func (c *Counted) Record(e Event) {
	c.next.Record(e)
	c.counter(e.Kind).Inc()
}

// counter returns the counter of a kind. Two callers that add one at the same
// time may lose an entry of the map, not a count: the set keeps the counter.
func (c *Counted) counter(kind Kind) *metrics.Counter {
	known := *c.counters.Load()
	if counter, ok := known[kind]; ok {
		return counter
	}
	counter := c.set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_events_total{kind=%q}", string(kind)))
	next := maps.Clone(known)
	next[kind] = counter
	c.counters.Store(&next)
	return counter
}
