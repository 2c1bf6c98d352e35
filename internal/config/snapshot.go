package config

import (
	"context"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

// Snapshot is a document resolved for one location. It is immutable.
type Snapshot struct {
	Document *Document
	policies map[model.ServiceName]*model.Policy
	// expiry is when the next exception ends; zero means never.
	expiry time.Time
}

// Policy returns the policy of a service, or nil if it is not declared.
func (s *Snapshot) Policy(name model.ServiceName) *model.Policy { return s.policies[name] }

// Expiry returns when the next exception ends; zero means never.
func (s *Snapshot) Expiry() time.Time { return s.expiry }

// Holder publishes the snapshot in force by atomic swap. Revisions only rise,
// and within a revision policies change only when an exception expires. It is
// safe for concurrent use; readers never wait.
type Holder struct {
	at      model.Location
	current atomic.Pointer[Snapshot]
	// applied wakes Run after a swap.
	applied chan struct{}
}

// NewHolder returns a Holder without a document.
func NewHolder(at model.Location) *Holder {
	return &Holder{at: at, applied: make(chan struct{}, 1)}
}

// Current returns the snapshot in force, or nil before the first document.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Revision returns the revision in force, or 0 before the first document.
func (h *Holder) Revision() model.Revision {
	if s := h.current.Load(); s != nil {
		return s.Document.Revision
	}
	return 0
}

// Apply puts a document in force. It reports false, and changes nothing, if one
// of the same or a higher revision is in force already.
func (h *Holder) Apply(d *Document, now time.Time) bool {
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
			h.wake()
			return true
		}
	}
}

// Expire resolves the document in force again if one of its exceptions has
// ended, and reports whether it did. A clock that was set back doesn't bring an
// ended exception back.
func (h *Holder) Expire(now time.Time) bool {
	for {
		current := h.current.Load()
		if current == nil || current.expiry.IsZero() || now.Before(current.expiry) {
			return false
		}
		if h.current.CompareAndSwap(current, h.resolve(current.Document, now)) {
			h.wake()
			return true
		}
	}
}

func (h *Holder) wake() {
	select {
	case h.applied <- struct{}{}:
	default:
	}
}

// maxExpiryWait bounds one wait for an expiry, so that a wall clock that was set
// forward is noticed.
const maxExpiryWait = time.Minute

// Run ends exceptions at their expiry until ctx ends.
func (h *Holder) Run(ctx context.Context, recorder events.Recorder) {
	for {
		timer := time.NewTimer(h.untilExpiry(time.Now()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-h.applied:
			timer.Stop()
		case <-timer.C:
		}
		if h.Expire(time.Now()) {
			recorder.Record(events.Event{Kind: events.ExceptionExpired, Revision: h.Revision()})
		}
	}
}

func (h *Holder) untilExpiry(now time.Time) time.Duration {
	s := h.current.Load()
	if s == nil || s.expiry.IsZero() {
		return maxExpiryWait
	}
	return min(max(s.expiry.Sub(now), 0), maxExpiryWait)
}

func (h *Holder) resolve(d *Document, now time.Time) *Snapshot {
	s := &Snapshot{
		Document: d,
		policies: make(map[model.ServiceName]*model.Policy, len(d.Services)),
		expiry:   d.nextExpiry(now),
	}
	for name := range d.Services {
		s.policies[name], _ = d.Resolve(name, h.at, now)
	}
	return s
}

// nextExpiry returns the earliest end of an exception after a time.
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
