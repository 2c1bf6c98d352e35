package fleet

import (
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

// MemberState is the standing of an instance in its fleet.
type MemberState uint8

// States of a member. Alive, Leaving and Left are stated by the instance
// itself, Suspect by one that has lost it. A suspect that does not contradict
// within SuspicionTimeout counts as dead.
const (
	MemberAlive MemberState = iota + 1
	MemberLeaving
	MemberLeft
	MemberSuspect
)

// MemberValue is the value of a FactMember.
type MemberValue struct {
	State MemberState `cbor:"1,keyasint"`
	// The rest is empty in a suspicion, which says nothing else of the member.
	Location     model.Location `cbor:"2,keyasint,omitzero"`
	PeerAddr     string         `cbor:"3,keyasint,omitempty"`
	OperatorAddr string         `cbor:"4,keyasint,omitempty"`
	// Refutes is set if the statement contradicts a suspicion.
	Refutes bool `cbor:"5,keyasint,omitempty"`
}

// isJoin reports whether a fact says no more than that a member is alive.
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

// CutValue is the value of a FactCut.
type CutValue struct {
	From model.Region `cbor:"1,keyasint"`
	To   model.Region `cbor:"2,keyasint"`
	Cut  bool         `cbor:"3,keyasint"`
}

// DecodeCut reads the value of a FactCut.
func DecodeCut(f Fact) (CutValue, error) {
	var v CutValue
	return v, peer.Decode(f.Value, &v)
}

// DecodeRevision reads the value of a FactRevision.
func DecodeRevision(f Fact) (RevisionValue, error) {
	var v RevisionValue
	return v, peer.Decode(f.Value, &v)
}

// encode returns a value of this package in CBOR; such values always encode.
func encode(v any) []byte {
	raw, err := peer.Encode(v)
	if err != nil {
		panic(err)
	}
	return raw
}
