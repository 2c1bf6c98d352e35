package health

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// minPublishInterval is the shortest time between two facts about one target,
	// except for drains.
	minPublishInterval = time.Second
	// drainRenewInterval is the age at which the fact about a continuing drain is
	// published again.
	drainRenewInterval = probedDrainTTL / 3
	// factOverhead is the size of a fact without its key and value, in bytes.
	factOverhead = 48
	// provenFactTTL is how long the fact that a target is proven is kept.
	provenFactTTL = time.Minute
)

// HealthFact is the value of fleet.FactTargetHealth.
type HealthFact struct {
	State routing.TargetState `cbor:"1,keyasint"`
	// EjectionMillis is the length of an ejection in milliseconds.
	EjectionMillis int64 `cbor:"2,keyasint,omitempty"`
}

// DrainFact is the value of fleet.FactTargetDrain.
type DrainFact struct {
	Draining bool `cbor:"1,keyasint"`
	// Announced is set if a response of the target announced the drain.
	Announced bool `cbor:"2,keyasint,omitempty"`
}

// mergePeerFacts processes the facts that peers have published about a target since
// the last call. Evidence of this instance takes precedence. The caller must hold
// t.mu.
func (t *Table) mergePeerFacts(r *record, now time.Time) {
	if f, ok := t.newerPeerFact(fleet.FactTargetDrain, r, &r.seenDrain); ok {
		var drain DrainFact
		if cbor.Unmarshal(f.Value, &drain) == nil {
			t.mergeDrain(r, drain, f.Origin, now)
		}
	}
	if f, ok := t.newerPeerFact(fleet.FactTargetHealth, r, &r.seenHealth); ok {
		var health HealthFact
		if cbor.Unmarshal(f.Value, &health) == nil {
			t.mergeHealth(r, health, f.Origin, now)
		}
	}
}

// newerPeerFact returns the latest fact about a target and whether it came from a peer
// after the timestamp seen, which it updates.
func (t *Table) newerPeerFact(kind fleet.FactKind, r *record, seen *events.Timestamp) (fleet.Fact, bool) {
	f, ok := t.Facts.Lookup(kind, string(r.id))
	if !ok || f.Stamp <= *seen {
		return f, false
	}
	*seen = f.Stamp
	return f, f.Origin != t.Self
}

// mergeDrain applies a peer's drain fact to a record.
func (t *Table) mergeDrain(r *record, f DrainFact, from model.InstanceID, now time.Time) {
	if !f.Draining {
		r.drainAt.Store(0)
		r.drainAnnounced.Store(false)
		return
	}
	r.drainAt.Store(now.UnixNano())
	if f.Announced {
		r.drainAnnounced.Store(true)
	}
	r.publishedAt = now
	if r.state != routing.Draining {
		t.adoptPeerState(r, routing.Draining, from, now)
	}
}

// mergeHealth applies a peer's health fact to a record. An ejection is ignored if this
// instance has recent responses and no failures, or if too many of the service's targets
// fail.
func (t *Table) mergeHealth(r *record, f HealthFact, from model.InstanceID, now time.Time) {
	switch {
	case f.State == routing.Ejected && (r.state == routing.Proven || r.state == routing.Unproven):
		if r.answeredSince(now.Add(-recentResponseAge)) && history(r.history.Load()).failures() == 0 {
			return
		}
		if !t.outlier(r) {
			return
		}
		r.ejectionTime = min(time.Duration(f.EjectionMillis)*time.Millisecond, maxEjectionTime)
		r.ejectedByPeer = true
		t.adoptPeerState(r, routing.Ejected, from, now)
	case f.State == routing.Proven && (r.state == routing.Unproven || r.state == routing.Ejected && r.ejectedByPeer):
		if history(r.history.Load()).failures() == 0 {
			t.adoptPeerState(r, routing.Proven, from, now)
		}
	}
}

// adoptPeerState gives a target the state that a peer published.
func (t *Table) adoptPeerState(r *record, s routing.TargetState, from model.InstanceID, now time.Time) {
	t.setState(r, s, now)
	kind := events.TargetReadmitted
	switch s {
	case routing.Draining:
		kind = events.TargetDraining
	case routing.Ejected:
		kind = events.TargetEjected
	}
	t.Recorder.Record(events.Event{Kind: kind, Service: r.service, Target: r.id, Member: from, Detail: s.String() + ", told by a peer"})
}

// publish publishes the state of a target if it has changed by this instance's
// evidence and the control budget allows it. Otherwise a later evaluation tries
// again.
func (t *Table) publish(r *record, now time.Time) {
	if r.state == routing.Draining && now.Sub(r.publishedAt) > drainRenewInterval && now.UnixNano()-r.drainAt.Load() < int64(drainRenewInterval) {
		r.unpublished = true
	}
	if !r.unpublished || now.Sub(r.publishedAt) < minPublishInterval && r.state != routing.Draining {
		return
	}
	kind, value, ttl, priority := t.stateFact(r)
	if !t.ControlBudget.Take(factOverhead+len(r.id)+len(value), priority) {
		return
	}
	r.unpublished = false
	r.publishedAt = now
	t.Facts.Publish(kind, string(r.id), value, ttl)
}

// stateFact returns the fact that describes a record's state, with its time to live
// and the priority of its budget.
func (t *Table) stateFact(r *record) (fleet.FactKind, []byte, time.Duration, limit.Priority) {
	switch r.state {
	case routing.Draining:
		return fleet.FactTargetDrain, encode(DrainFact{Draining: true, Announced: r.drainAnnounced.Load()}), r.drainTTL(), limit.PriorityMembership
	case routing.Unproven:
		return fleet.FactTargetDrain, encode(DrainFact{}), probedDrainTTL, limit.PriorityProbe
	case routing.Ejected:
		return fleet.FactTargetHealth, encode(HealthFact{State: r.state, EjectionMillis: r.ejectionTime.Milliseconds()}), r.ejectionTime, limit.PriorityProbe
	default:
		return fleet.FactTargetHealth, encode(HealthFact{State: r.state}), provenFactTTL, limit.PriorityProbe
	}
}

// encode returns the CBOR encoding of a fact's value.
func encode(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // can't happen: both fact types are encodable
	}
	return raw
}
