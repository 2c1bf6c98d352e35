package events

import (
	"cmp"
	"slices"
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/model"
)

// noteworthyShare is the part of a Ring's size that is added for noteworthy
// kinds, as a divisor.
const noteworthyShare = 4

// Ring is a Recorder that keeps the newest events in a bounded amount of memory.
// Noteworthy kinds have slots of their own, so that a second of busy requests
// doesn't wash a drain or a change of configuration away. Writers and readers
// never wait for each other: a writer takes the next slot by an atomic count and
// stores an immutable event there.
type Ring struct {
	instance   model.InstanceID
	clock      *Clock
	requests   slots
	noteworthy slots
}

// slots hold the newest events of some kinds.
type slots struct {
	next atomic.Uint64
	kept []atomic.Pointer[Event]
}

// NewRing returns a Ring that keeps size events that single requests bring
// about, and a quarter as many of the noteworthy kinds.
func NewRing(instance model.InstanceID, clock *Clock, size int) *Ring {
	return &Ring{
		instance:   instance,
		clock:      clock,
		requests:   slots{kept: make([]atomic.Pointer[Event], size)},
		noteworthy: slots{kept: make([]atomic.Pointer[Event], (size+noteworthyShare-1)/noteworthyShare)},
	}
}

// Record implements Recorder.
func (r *Ring) Record(e Event) {
	e.Time = r.clock.Now()
	e.Instance = r.instance
	if _, ok := noteworthy[e.Kind]; ok {
		r.noteworthy.put(&e)
		return
	}
	r.requests.put(&e)
}

// Snapshot returns the kept events, oldest first.
func (r *Ring) Snapshot() []Event {
	out := make([]Event, 0, len(r.requests.kept)+len(r.noteworthy.kept))
	out = r.requests.collect(out)
	out = r.noteworthy.collect(out)
	slices.SortFunc(out, func(a, b Event) int { return cmp.Compare(a.Time, b.Time) })
	return out
}

func (s *slots) put(e *Event) {
	slot := (s.next.Add(1) - 1) % uint64(len(s.kept))
	s.kept[slot].Store(e)
}

func (s *slots) collect(out []Event) []Event {
	for i := range s.kept {
		if e := s.kept[i].Load(); e != nil {
			out = append(out, *e)
		}
	}
	return out
}
