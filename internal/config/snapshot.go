package config

import (
	"context"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

// Snapshot is a document with the policies resolved for one location. It is
// immutable and safe for concurrent use.
type Snapshot struct {
	Document *Document
	policies map[model.ServiceName]*model.Policy
	// expiry is when the next exception expires; zero means never.
	expiry time.Time
}

// Policy returns the policy of a service, or nil if the service is not declared.
func (s *Snapshot) Policy(name model.ServiceName) *model.Policy { return s.policies[name] }

// Expiry returns when the next exception expires; the zero time means never.
func (s *Snapshot) Expiry() time.Time { return s.expiry }

// SnapshotHolder holds the snapshot in force and replaces it atomically. The revision
// never decreases, and within a revision policies change only when an exception
// expires. It is safe for concurrent use; readers never block.
type SnapshotHolder struct {
	location model.Location
	current  atomic.Pointer[Snapshot]
	// changed notifies Run of a new snapshot.
	changed chan struct{}
}

// NewSnapshotHolder returns a SnapshotHolder that resolves policies for a location. It
// has no document yet.
func NewSnapshotHolder(location model.Location) *SnapshotHolder {
	return &SnapshotHolder{location: location, changed: make(chan struct{}, 1)}
}

// Current returns the snapshot in force, or nil before the first document.
func (h *SnapshotHolder) Current() *Snapshot { return h.current.Load() }

// Revision returns the revision in force, or 0 before the first document.
func (h *SnapshotHolder) Revision() model.Revision {
	if s := h.current.Load(); s != nil {
		return s.Document.Revision
	}
	return 0
}

// Apply puts a document in force. It returns false and does nothing if the revision
// in force is the same or higher.
func (h *SnapshotHolder) Apply(d *Document, now time.Time) bool {
	if current := h.current.Load(); current != nil && current.Document.Revision >= d.Revision {
		return false
	}
	next := h.resolve(d, now)
	for {
		current := h.current.Load()
		if current != nil && current.Document.Revision >= d.Revision {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			h.notify()
			return true
		}
	}
}

// Expire resolves the document in force again if one of its exceptions has expired,
// and reports whether it did. An expired exception stays expired if the clock is set
// back.
func (h *SnapshotHolder) Expire(now time.Time) bool {
	for {
		current := h.current.Load()
		if current == nil || current.expiry.IsZero() || now.Before(current.expiry) {
			return false
		}
		if h.current.CompareAndSwap(current, h.resolve(current.Document, now)) {
			h.notify()
			return true
		}
	}
}

// notify wakes Run without blocking.
func (h *SnapshotHolder) notify() {
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// maxExpiryWait is the longest that Run sleeps before it reads the wall clock again,
// so that it notices a clock that was set forward.
const maxExpiryWait = time.Minute

// Run calls Expire when exceptions expire and records an event for it, until ctx ends.
func (h *SnapshotHolder) Run(ctx context.Context, recorder events.Recorder) {
	for {
		timer := time.NewTimer(h.untilExpiry(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-h.changed:
			timer.Stop()
		case <-timer.C:
		}
		if h.Expire(time.Now()) {
			recorder.Record(events.Event{Kind: events.ExceptionExpired, Revision: h.Revision()})
		}
	}
}

// untilExpiry returns how long Run waits before it calls Expire.
func (h *SnapshotHolder) untilExpiry(now time.Time) time.Duration {
	s := h.current.Load()
	if s == nil || s.expiry.IsZero() {
		return maxExpiryWait
	}
	return min(max(s.expiry.Sub(now), 0), maxExpiryWait)
}

func (h *SnapshotHolder) resolve(d *Document, now time.Time) *Snapshot {
	s := &Snapshot{
		Document: d,
		policies: make(map[model.ServiceName]*model.Policy, len(d.Services)),
		expiry:   d.nextExpiry(now),
	}
	for name := range d.Services {
		s.policies[name], _ = d.Resolve(name, h.location, now)
	}
	return s
}

// nextExpiry returns the earliest expiry of an exception after now, or the zero time
// if there is none.
func (d *Document) nextExpiry(now time.Time) time.Time {
	var next time.Time
	for i := range d.Exceptions {
		e := &d.Exceptions[i]
		if e.Expires == nil || e.expired(now) {
			continue
		}
		if next.IsZero() || e.Expires.Before(next) {
			next = *e.Expires
		}
	}
	return next
}
