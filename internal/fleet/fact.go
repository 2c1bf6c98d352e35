// Package fleet implements the gossip-based membership of a fleet of instances:
// failure detection, assignment of shared jobs to members, and replication of
// small facts to every instance.
package fleet

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
)

// FactKind is the type of a fact. It determines the meaning of the key and the
// encoding of the value.
type FactKind uint8

// Kinds of facts.
const (
	// FactMember is the state of a member (MemberValue), published by the member
	// itself or by an instance that suspects it; key: instance ID.
	FactMember FactKind = iota + 1
	// FactTargetHealth is the health state of a target; key: target ID.
	FactTargetHealth
	// FactTargetDrain marks a target as draining; key: target ID.
	FactTargetDrain
	// FactQuarantine is the fingerprint of a request that crashed several targets;
	// key: fingerprint.
	FactQuarantine
	// FactRevision is the configuration revision in force at an instance; key: instance
	// ID.
	FactRevision
	// FactLoadHint is the load that an instance puts on the targets of its region;
	// key: instance ID.
	FactLoadHint
	// FactCrash is the fingerprint of a request that crashed one target; key:
	// fingerprint.
	FactCrash
	// FactPartition reports that one region can't reach another; key: "from>to".
	FactPartition
)

// MaxValueBytes is the largest value, in bytes, of a fact that is forwarded to peers.
const MaxValueBytes = 700

// urgent reports whether facts of the kind are forwarded immediately rather than
// with the next periodic flush.
func (k FactKind) urgent() bool { return k != FactRevision && k != FactLoadHint }

// reconciled reports whether facts of the kind take part in anti-entropy.
func (k FactKind) reconciled() bool { return k != FactLoadHint }

// regional reports whether facts of the kind are sent only within their region.
func (k FactKind) regional() bool { return k == FactLoadHint }

// priority returns the priority of the kind within the budget for control traffic.
func (k FactKind) priority() limit.Priority {
	if k == FactLoadHint {
		return limit.PriorityHint
	}
	return limit.PriorityMembership
}

// Fact is a small key-value record that is replicated to every instance. Conflicts
// between facts with the same kind and key are resolved by last writer wins: the
// higher stamp wins, and for equal stamps the higher origin.
type Fact struct {
	Kind   FactKind         `cbor:"1,keyasint"`
	Key    string           `cbor:"2,keyasint"`
	Stamp  events.Timestamp `cbor:"3,keyasint"`
	Origin model.InstanceID `cbor:"4,keyasint,omitempty"`
	// Expires is the wall-clock time from which the fact is ignored and may be
	// deleted, in Unix milliseconds; zero means never.
	Expires int64 `cbor:"5,keyasint,omitempty"`
	// Value is CBOR; its type depends on Kind.
	Value []byte `cbor:"6,keyasint,omitempty"`
}

// ExpiredAt reports whether the fact has expired at the given time.
func (f *Fact) ExpiredAt(now time.Time) bool {
	return f.Expires != 0 && now.UnixMilli() >= f.Expires
}

// supersedes reports whether f wins over old, a fact of the same kind and key.
func (f *Fact) supersedes(old *Fact) bool {
	if f.Stamp != old.Stamp {
		return f.Stamp > old.Stamp
	}
	return f.Origin > old.Origin
}

// FactStore stores the facts that an instance knows. It is safe for concurrent use.
type FactStore interface {
	// Publish stores a fact with this instance as its origin and forwards it to the
	// other instances. The fact expires after ttl; a ttl of zero means never.
	Publish(kind FactKind, key string, value []byte, ttl time.Duration)
	// Lookup returns the fact of a kind and key. It returns false if the fact is
	// unknown or has expired.
	Lookup(kind FactKind, key string) (Fact, bool)
	// Each calls f for every unexpired fact of a kind.
	Each(kind FactKind, f func(Fact))
	// Subscribe registers f to be called for every fact of a kind that is stored
	// from now on, facts published by this instance included. Calls are serialized;
	// f must not block.
	Subscribe(kind FactKind, f func(Fact))
}
