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
	// tellInterval is the least time between two facts about one target.
	tellInterval = time.Second
	// renewInterval is the age at which a fact about a drain that goes on is renewed.
	renewInterval = drainMemory / 3
	// factOverhead is what a fact costs besides its key and value, in bytes.
	factOverhead = 48
	// provenLifetime is how long the fact that a target is proven again is kept.
	provenLifetime = time.Minute
)

// HealthFact is the value of fleet.FactTargetHealth.
type HealthFact struct {
	Standing routing.Standing `cbor:"1,keyasint"`
	// HoldMillis is the length of an ejection.
	HoldMillis int64 `cbor:"2,keyasint,omitempty"`
}

// DrainFact is the value of fleet.FactTargetDrain.
type DrainFact struct {
	Draining bool `cbor:"1,keyasint"`
	// Said is set if an answer of the target announced the drain.
	Said bool `cbor:"2,keyasint,omitempty"`
}

// takeFacts takes in what peers have told of a target since the last call. Own
// evidence goes before it.
func (t *Table) takeFacts(r *record, now time.Time) {
	if f, ok := t.fresh(fleet.FactTargetDrain, r, &r.heardDrain); ok {
		var drain DrainFact
		if cbor.Unmarshal(f.Value, &drain) == nil {
			t.takeDrain(r, drain, f.Origin, now)
		}
	}
	if f, ok := t.fresh(fleet.FactTargetHealth, r, &r.heardHealth); ok {
		var health HealthFact
		if cbor.Unmarshal(f.Value, &health) == nil {
			t.takeHealth(r, health, f.Origin, now)
		}
	}
}

// fresh returns a peer's fact about a target if it is newer than heard.
func (t *Table) fresh(kind fleet.FactKind, r *record, heard *events.Timestamp) (fleet.Fact, bool) {
	f, ok := t.Board.Lookup(kind, string(r.id))
	if !ok || f.Stamp <= *heard {
		return f, false
	}
	*heard = f.Stamp
	return f, f.Origin != t.Self
}

func (t *Table) takeDrain(r *record, f DrainFact, from model.InstanceID, now time.Time) {
	if !f.Draining {
		r.drainAt.Store(0)
		r.drainSaid.Store(false)
		return
	}
	r.drainAt.Store(now.UnixNano())
	if f.Said {
		r.drainSaid.Store(true)
	}
	r.toldAt = now
	if r.standing != routing.Draining {
		t.follow(r, routing.Draining, from, now)
	}
}

func (t *Table) takeHealth(r *record, f HealthFact, from model.InstanceID, now time.Time) {
	switch {
	case f.Standing == routing.Ejected && (r.standing == routing.Proven || r.standing == routing.Unproven):
		if r.answeredSince(now.Add(-recentAnswer)) && history(r.history.Load()).failures() == 0 {
			return
		}
		if !t.outlier(r) {
			return
		}
		r.hold = min(time.Duration(f.HoldMillis)*time.Millisecond, maxHold)
		r.hearsay = true
		t.follow(r, routing.Ejected, from, now)
	case f.Standing == routing.Proven && (r.standing == routing.Unproven || r.standing == routing.Ejected && r.hearsay):
		if history(r.history.Load()).failures() == 0 {
			t.follow(r, routing.Proven, from, now)
		}
	}
}

// follow gives a target the standing that a peer told of.
func (t *Table) follow(r *record, s routing.Standing, from model.InstanceID, now time.Time) {
	t.apply(r, s, now)
	kind := events.TargetReadmitted
	switch s {
	case routing.Draining:
		kind = events.TargetDraining
	case routing.Ejected:
		kind = events.TargetEjected
	}
	t.Recorder.Record(events.Event{Kind: kind, Service: r.service, Target: r.id, Member: from, Detail: s.String() + ", told by a peer"})
}

// tell publishes a standing that this instance vouches for, once it has changed
// and the measuring budget allows it. What can't be told now is told at a later tick.
func (t *Table) tell(r *record, now time.Time) {
	if r.standing == routing.Draining && now.Sub(r.toldAt) > renewInterval && now.UnixNano()-r.drainAt.Load() < int64(renewInterval) {
		r.untold = true
	}
	if !r.untold || now.Sub(r.toldAt) < tellInterval && r.standing != routing.Draining {
		return
	}
	kind, value, ttl, priority := t.fact(r)
	if !t.Measuring.Take(factOverhead+len(r.id)+len(value), priority) {
		return
	}
	r.untold = false
	r.toldAt = now
	t.Board.Publish(kind, string(r.id), value, ttl)
}

// fact returns the fact that states a record's standing.
func (t *Table) fact(r *record) (fleet.FactKind, []byte, time.Duration, limit.Priority) {
	switch r.standing {
	case routing.Draining:
		return fleet.FactTargetDrain, encode(DrainFact{Draining: true, Said: r.drainSaid.Load()}), r.drainLifetime(), limit.PriorityMembership
	case routing.Unproven:
		return fleet.FactTargetDrain, encode(DrainFact{}), drainMemory, limit.PriorityProbe
	case routing.Ejected:
		return fleet.FactTargetHealth, encode(HealthFact{Standing: r.standing, HoldMillis: r.hold.Milliseconds()}), r.hold, limit.PriorityProbe
	default:
		return fleet.FactTargetHealth, encode(HealthFact{Standing: r.standing}), provenLifetime, limit.PriorityProbe
	}
}

// encode returns the CBOR form of a fact's value.
func encode(v any) []byte {
	raw, err := cbor.Marshal(v)
	if err != nil {
		panic(err) // the types above always encode
	}
	return raw
}
