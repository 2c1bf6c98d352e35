package events

import (
	"cmp"
	"slices"
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Ring is a Recorder that keeps the newest events in a bounded amount of memory.
// Writers and readers never wait for each other: a writer takes the next slot by
// an atomic count and stores an immutable event there.
type Ring struct {
	instance model.InstanceID
	clock    *Clock
	next     atomic.Uint64
	slots    []atomic.Pointer[Event]
}

// NewRing returns a Ring that keeps size events of the given instance.
func NewRing(instance model.InstanceID, clock *Clock, size int) *Ring {
	return &Ring{instance: instance, clock: clock, slots: make([]atomic.Pointer[Event], size)}
}

// Record implements Recorder.
func (r *Ring) Record(e Event) {
	e.Time = r.clock.Now()
	e.Instance = r.instance
	slot := (r.next.Add(1) - 1) % uint64(len(r.slots))
	r.slots[slot].Store(&e)
}

// Snapshot returns the kept events, oldest first.
func (r *Ring) Snapshot() []Event {
	out := make([]Event, 0, len(r.slots))
	for i := range r.slots {
		if e := r.slots[i].Load(); e != nil {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Time, b.Time) })
	return out
}
