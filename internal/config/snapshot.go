package config

import (
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Snapshot is a document resolved for one location. It is immutable.
type Snapshot struct {
	Document *Document
	policies map[model.ServiceName]*model.Policy
}

// Policy returns the policy of a service, or nil if it is not declared.
func (s *Snapshot) Policy(name model.ServiceName) *model.Policy { return s.policies[name] }

// Holder publishes the snapshot in force by atomic swap. Revisions only rise.
type Holder struct {
	at      model.Location
	current atomic.Pointer[Snapshot]
}

// NewHolder returns a Holder without a document.
func NewHolder(at model.Location) *Holder { return &Holder{at: at} }

// Current returns the snapshot in force, or nil before the first document.
func (h *Holder) Current() *Snapshot { return h.current.Load() }

// Apply puts a document in force. It reports false, and changes nothing, if one
// of the same or a higher revision is in force already.
func (h *Holder) Apply(d *Document, now time.Time) bool {
	next := h.resolve(d, now)
	for {
		current := h.current.Load()
		if current != nil && current.Document.Revision >= d.Revision {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}

func (h *Holder) resolve(d *Document, now time.Time) *Snapshot {
	s := &Snapshot{Document: d, policies: make(map[model.ServiceName]*model.Policy, len(d.Services))}
	for name := range d.Services {
		s.policies[name], _ = d.Resolve(name, h.at, now)
	}
	return s
}
