package events

import (
	"cmp"
	"slices"
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/model"
)

// stateChangeDivisor determines the number of slots for state changes: a Ring's size
// divided by it.
const stateChangeDivisor = 4

// Ring is a Recorder that stores the newest events in a fixed number of slots. State
// changes, which are the kinds in logLevels, have their own slots, so that the events of
// many requests don't displace a drain or a change of configuration. Ring is lock-free: a
// writer gets the next slot from an atomic counter and stores a pointer to an immutable
// event there. It is safe for concurrent use.
type Ring struct {
	instance     model.InstanceID
	clock        *Clock
	requests     ringBuffer
	stateChanges ringBuffer
}

// ringBuffer is a lock-free ring buffer of events.
type ringBuffer struct {
	// next counts the events stored; modulo the number of slots, it is the next slot.
	next  atomic.Uint64
	slots []atomic.Pointer[Event]
}

// NewRing returns a Ring with size slots for the events of requests and a quarter as many
// for state changes. The size must be positive.
func NewRing(instance model.InstanceID, clock *Clock, size int) *Ring {
	return &Ring{
		instance:     instance,
		clock:        clock,
		requests:     ringBuffer{slots: make([]atomic.Pointer[Event], size)},
		stateChanges: ringBuffer{slots: make([]atomic.Pointer[Event], (size+stateChangeDivisor-1)/stateChangeDivisor)},
	}
}

// Record implements Recorder.
func (r *Ring) Record(e Event) {
	e.Time = r.clock.Now()
	e.Instance = r.instance
	if _, ok := logLevels[e.Kind]; ok {
		r.stateChanges.put(&e)
		return
	}
	r.requests.put(&e)
}

// Snapshot returns a copy of the stored events, oldest first.
func (r *Ring) Snapshot() []Event {
	out := make([]Event, 0, len(r.requests.slots)+len(r.stateChanges.slots))
	out = r.requests.appendTo(out)
	out = r.stateChanges.appendTo(out)
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Time, b.Time) })
	return out
}

// put stores an event in place of the oldest one. The event must not change afterwards.
func (b *ringBuffer) put(e *Event) {
	slot := (b.next.Add(1) - 1) % uint64(len(b.slots))
	b.slots[slot].Store(e)
}

// appendTo appends the stored events to out in the order of the slots.
func (b *ringBuffer) appendTo(out []Event) []Event {
	for i := range b.slots {
		if e := b.slots[i].Load(); e != nil {
			out = append(out, *e)
		}
	}
	return out
}
