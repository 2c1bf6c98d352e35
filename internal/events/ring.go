package events

import (
	"sync"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Ring is a Recorder that keeps the newest events in a fixed amount of memory.
type Ring struct {
	instance model.InstanceID
	clock    *Clock

	mu   sync.Mutex
	buf  []Event
	next int
	full bool
}

// NewRing returns a Ring that keeps size events of the given instance.
func NewRing(instance model.InstanceID, clock *Clock, size int) *Ring {
	return &Ring{instance: instance, clock: clock, buf: make([]Event, size)}
}

// Record implements Recorder.
func (r *Ring) Record(e Event) {
	e.Time = r.clock.Now()
	e.Instance = r.instance
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buf[r.next] = e
	r.next++
	if r.next == len(r.buf) {
		r.next = 0
		r.full = true
	}
}

// Snapshot returns the kept events, oldest first.
func (r *Ring) Snapshot() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Event(nil), r.buf[:r.next]...)
	}
	out := make([]Event, 0, len(r.buf))
	out = append(out, r.buf[r.next:]...)
	return append(out, r.buf[:r.next]...)
}
