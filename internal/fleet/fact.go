// Package fleet makes the instances act as one: who is a member, which instance
// does a shared job, and small facts that every instance should know.
package fleet

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
)

// FactKind groups facts by what they are about.
type FactKind uint8

// Kinds of facts.
const (
	// FactMember is an instance's own statement about itself; key: instance ID.
	FactMember FactKind = iota + 1
	// FactTargetHealth is the standing of a target; key: target ID.
	FactTargetHealth
	// FactTargetDrain says that a target is leaving; key: target ID.
	FactTargetDrain
	// FactQuarantine is a request fingerprint that crashed targets; key: fingerprint.
	FactQuarantine
	// FactRevision is the configuration revision in force at an instance; key: instance ID.
	FactRevision
	// FactLoadHint is an instance's load on targets of its region; key: instance ID.
	FactLoadHint
	// FactCrash is a request fingerprint that crashed one target; key: fingerprint.
	FactCrash
	// FactCut is a region's statement that it can't reach another region; key:
	// both regions.
	FactCut
)

// MaxValueBytes is the largest value of a fact that spreads.
const MaxValueBytes = 700

// urgent reports whether facts of a kind are passed on at once.
func (k FactKind) urgent() bool { return k != FactRevision && k != FactLoadHint }

// lasting reports whether facts of a kind take part in anti-entropy.
func (k FactKind) lasting() bool { return k != FactLoadHint }

// regional reports whether facts of a kind stay within their region.
func (k FactKind) regional() bool { return k == FactLoadHint }

// priority returns what facts of a kind are worth within the measuring budget.
func (k FactKind) priority() limit.Priority {
	if k == FactLoadHint {
		return limit.PriorityHint
	}
	return limit.PriorityMembership
}

// Fact is one small statement that spreads to every instance. Of two facts with
// the same kind and key the one with the higher stamp wins, then the one with
// the higher origin.
type Fact struct {
	Kind   FactKind         `cbor:"1,keyasint"`
	Key    string           `cbor:"2,keyasint"`
	Stamp  events.Timestamp `cbor:"3,keyasint"`
	Origin model.InstanceID `cbor:"4,keyasint,omitempty"`
	// Expires is the wall time after which the fact is forgotten, in Unix
	// milliseconds; zero means never.
	Expires int64 `cbor:"5,keyasint,omitempty"`
	// Value is CBOR; its type is fixed by Kind.
	Value []byte `cbor:"6,keyasint,omitempty"`
}

// ExpiredAt reports whether the fact is forgotten at a time.
func (f *Fact) ExpiredAt(now time.Time) bool {
	return f.Expires != 0 && now.UnixMilli() >= f.Expires
}

// newer reports whether f wins over old.
func (f *Fact) newer(old *Fact) bool {
	if f.Stamp != old.Stamp {
		return f.Stamp > old.Stamp
	}
	return f.Origin > old.Origin
}

// Board is the set of facts that an instance knows. It is safe for concurrent use.
type Board interface {
	// Publish states a fact of this instance; it spreads to the others. A ttl of
	// zero means forever.
	Publish(kind FactKind, key string, value []byte, ttl time.Duration)
	// Lookup returns the newest unexpired fact of a key.
	Lookup(kind FactKind, key string) (Fact, bool)
	// Each calls f for every unexpired fact of a kind.
	Each(kind FactKind, f func(Fact))
	// Subscribe calls f for every fact of a kind that is new to this instance,
	// own facts included. Calls come one at a time and must not block.
	Subscribe(kind FactKind, f func(Fact))
}
