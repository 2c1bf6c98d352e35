package fleet

import (
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

// MemberState is the state of an instance as a member of its fleet.
type MemberState uint8

// States of a member. An instance publishes MemberAlive, MemberLeaving and MemberLeft
// about itself; MemberSuspect is published by another instance that lost its connection
// to it. A suspect that does not refute the suspicion within SuspicionTimeout is
// considered dead.
const (
	// MemberAlive is the state of a running instance.
	MemberAlive MemberState = iota + 1
	// MemberLeaving is the state of an instance that will stop and owns no more jobs.
	MemberLeaving
	// MemberLeft is the state of an instance that has stopped.
	MemberLeft
	// MemberSuspect is the state of an instance that may have failed.
	MemberSuspect
)

// MemberValue is the value of a FactMember.
type MemberValue struct {
	State MemberState `cbor:"1,keyasint"`
	// The remaining fields are empty in a suspicion, which carries only the state.
	Location     model.Location `cbor:"2,keyasint,omitzero"`
	PeerAddr     string         `cbor:"3,keyasint,omitempty"`
	OperatorAddr string         `cbor:"4,keyasint,omitempty"`
	// Refutes is set if the member publishes the fact to refute a suspicion.
	Refutes bool `cbor:"5,keyasint,omitempty"`
}

// isJoin reports whether a fact announces a member as alive without refuting a
// suspicion.
func isJoin(f *Fact) bool {
	var v MemberValue
	return f.Kind == FactMember && peer.Decode(f.Value, &v) == nil && v.State == MemberAlive && !v.Refutes
}

// RevisionValue is the value of a FactRevision: the configuration revision in
// force at an instance.
type RevisionValue struct {
	Revision model.Revision `cbor:"1,keyasint"`
	Location model.Location `cbor:"2,keyasint"`
}

// PartitionValue is the value of a FactPartition: whether the instances of region From are
// partitioned from region To.
type PartitionValue struct {
	From model.Region `cbor:"1,keyasint"`
	To   model.Region `cbor:"2,keyasint"`
	// Partitioned is false if an earlier report of the partition is withdrawn.
	Partitioned bool `cbor:"3,keyasint"`
}

// DecodePartition decodes the value of a FactPartition. It returns *peer.CodecError.
func DecodePartition(f Fact) (PartitionValue, error) {
	var v PartitionValue
	return v, peer.Decode(f.Value, &v)
}

// DecodeRevision decodes the value of a FactRevision. It returns *peer.CodecError.
func DecodeRevision(f Fact) (RevisionValue, error) {
	var v RevisionValue
	return v, peer.Decode(f.Value, &v)
}

// encode returns the CBOR encoding of one of this package's messages or values. It
// panics on error, since these types can always be encoded.
func encode(v any) []byte {
	raw, err := peer.Encode(v)
	if err != nil {
		panic(err)
	}
	return raw
}
