package ledger

import (
	"redwingpoint.org/redwingpoint/internal/model"
)

// Attempt identifies one attempt to run a request. It is a random UUID.
type Attempt [16]byte

// OpKind is the kind of change that an Op makes.
type OpKind uint8

const (
	// OpClaim claims the key for an attempt.
	OpClaim OpKind = iota
	// OpDone records that the attempt ran, with its response.
	OpDone
	// OpRelease releases the key: the target ran nothing for the attempt and never will.
	OpRelease
	// OpUnknown records that the request was sent and its outcome is lost.
	OpUnknown
	// OpOpen creates the object of a shard and changes no key.
	OpOpen
)

// Op is a change to the record of a key. It is idempotent: an op that is applied
// again has no further effect.
type Op struct {
	Kind        OpKind           `cbor:"1,keyasint"`
	Key         KeyHash          `cbor:"2,keyasint"`
	Fingerprint [16]byte         `cbor:"3,keyasint"`
	Attempt     Attempt          `cbor:"4,keyasint"`
	Holder      model.InstanceID `cbor:"5,keyasint"`
	// At is the time of the claim by the clock of Holder, in Unix milliseconds.
	At int64 `cbor:"6,keyasint"`
	// Window is the time from the claim to the attempt's deadline, in milliseconds.
	Window int64   `cbor:"7,keyasint"`
	Answer *Answer `cbor:"8,keyasint,omitempty"`
}

// VerdictKind is the kind of result of an Op.
type VerdictKind uint8

const (
	// Applied means that this attempt holds the claim, or, for other ops, that
	// nothing is left to write: the op was applied or no longer applies.
	Applied VerdictKind = iota
	// Mismatch means that the key was used with a different request.
	Mismatch
	// Finished means that the request of the key ran; Answer is set if one was stored.
	Finished
	// Lost means that an attempt may have sent the request and its outcome is recorded as unknown.
	Lost
	// Held means that another attempt holds the key.
	Held
	// Given means that this attempt already has an outcome, or, for OpOpen, that
	// the object exists already.
	Given
	// Swept means that the bucket of the key may have been swept after its retention.
	Swept
)

// Verdict is the result of an Op. If a claim found a record of the key, Attempt,
// Holder, At and Window are those of the record.
type Verdict struct {
	Kind    VerdictKind      `cbor:"1,keyasint"`
	Answer  *Answer          `cbor:"2,keyasint,omitempty"`
	Attempt Attempt          `cbor:"3,keyasint"`
	Holder  model.InstanceID `cbor:"4,keyasint,omitempty"`
	At      int64            `cbor:"5,keyasint,omitempty"`
	Window  int64            `cbor:"6,keyasint,omitempty"`
}

// isFinal reports whether the result of an op that changed nothing stays the
// same in every later state of the shard, so that a cached state suffices.
func (v Verdict) isFinal(op Op) bool {
	return op.Kind == OpOpen || op.Kind == OpClaim && v.Kind != Held && v.Kind != Lost
}

// record returns a record with the fields of op.
func (op Op) record(phase recordPhase) record {
	return record{
		Key:         op.Key,
		Fingerprint: op.Fingerprint,
		Attempt:     op.Attempt,
		Holder:      op.Holder,
		At:          op.At,
		Window:      op.Window,
		Phase:       phase,
		Answer:      op.Answer,
	}
}

// apply applies an op to s. It returns the result and whether s was changed.
func (s *shard) apply(op Op) (Verdict, bool) {
	i, found := s.find(op.Key)
	if op.Kind == OpClaim {
		return s.claim(i, found, op)
	}
	if !found {
		return s.recordWithoutClaim(i, op)
	}
	r := &s.Records[i]
	if r.Attempt != op.Attempt || !canTransition(r.Phase, op.Kind) {
		return Verdict{Kind: Applied}, false
	}
	r.Phase = outcomePhase(op.Kind)
	r.Answer = op.Answer
	r.encoded = nil
	return Verdict{Kind: Applied}, true
}

// claim applies an op of kind OpClaim; i and found are the result of find.
func (s *shard) claim(i int, found bool, op Op) (Verdict, bool) {
	if !found {
		s.insert(i, op.record(recordClaimed))
		return Verdict{Kind: Applied}, true
	}
	r := &s.Records[i]
	v := Verdict{Attempt: r.Attempt, Holder: r.Holder, At: r.At, Window: r.Window, Answer: r.Answer}
	switch {
	case r.Attempt == op.Attempt && r.Phase == recordClaimed:
		v.Kind = Applied
	case r.Attempt == op.Attempt:
		v.Kind = Given
	case r.Fingerprint != op.Fingerprint:
		v.Kind = Mismatch
	case r.Phase == recordReleased:
		*r = op.record(recordClaimed)
		return Verdict{Kind: Applied}, true
	case r.Phase == recordDone:
		v.Kind = Finished
	case r.Phase == recordUnknown:
		v.Kind = Lost
	default:
		v.Kind = Held
	}
	return v, false
}

// recordWithoutClaim records an outcome for which there is no record of the
// claim. If the write of the claim is still in flight, its version condition
// fails afterwards.
func (s *shard) recordWithoutClaim(i int, op Op) (Verdict, bool) {
	s.insert(i, op.record(outcomePhase(op.Kind)))
	return Verdict{Kind: Applied}, true
}

// canTransition reports whether an op of the holding attempt may replace a phase.
func canTransition(from recordPhase, kind OpKind) bool {
	switch from {
	case recordClaimed:
		return true
	case recordUnknown:
		return kind == OpDone
	default:
		return false
	}
}

// outcomePhase returns the phase that an outcome leads to.
func outcomePhase(kind OpKind) recordPhase {
	switch kind {
	case OpDone:
		return recordDone
	case OpRelease:
		return recordReleased
	default:
		return recordUnknown
	}
}
