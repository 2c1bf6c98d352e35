package ledger

import (
	"redwingpoint.org/redwingpoint/internal/model"
)

// Attempt identifies one attempt to run a request; it is a random UUID.
type Attempt [16]byte

// OpKind is what an Op does.
type OpKind uint8

const (
	// OpClaim takes the key for an attempt.
	OpClaim OpKind = iota
	// OpDone records that the attempt ran, with its answer.
	OpDone
	// OpRelease gives the key back: the attempt has not sent and never will.
	OpRelease
	// OpUnknown records that the attempt was sent and its outcome is lost.
	OpUnknown
	// OpOpen creates the object of a slice and changes no key.
	OpOpen
)

// Op is one change to the record of a key. Applying it twice has the effect of
// applying it once.
type Op struct {
	Kind        OpKind           `cbor:"1,keyasint"`
	Key         KeyHash          `cbor:"2,keyasint"`
	Fingerprint [16]byte         `cbor:"3,keyasint"`
	Attempt     Attempt          `cbor:"4,keyasint"`
	Holder      model.InstanceID `cbor:"5,keyasint"`
	At          int64            `cbor:"6,keyasint"`
	Window      int64            `cbor:"7,keyasint"`
	Answer      *Answer          `cbor:"8,keyasint,omitempty"`
}

// VerdictKind is the effect of an Op.
type VerdictKind uint8

const (
	// Applied means that a claim is held by this attempt, or that an outcome is recorded.
	Applied VerdictKind = iota
	// Mismatch means that the key belongs to another request.
	Mismatch
	// Finished means that the key's request ran; Answer is set.
	Finished
	// Lost means that an attempt may have sent and its outcome is recorded as unknown.
	Lost
	// Held means that another attempt holds the key.
	Held
	// Given means that this attempt was given up before.
	Given
	// Swept means that the slice of the key is past its retention.
	Swept
)

// Verdict is the result of an Op and, for Held and Lost, whose attempt it met.
type Verdict struct {
	Kind    VerdictKind      `cbor:"1,keyasint"`
	Answer  *Answer          `cbor:"2,keyasint,omitempty"`
	Attempt Attempt          `cbor:"3,keyasint"`
	Holder  model.InstanceID `cbor:"4,keyasint,omitempty"`
	At      int64            `cbor:"5,keyasint,omitempty"`
	Window  int64            `cbor:"6,keyasint,omitempty"`
}

// final reports whether a later state of the shard cannot change the verdict on
// an op that left the shard as it was.
func (v Verdict) final(op Op) bool {
	return op.Kind == OpOpen || op.Kind == OpClaim && v.Kind != Held && v.Kind != Lost
}

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

// apply carries an op out on s and reports whether it changed s.
func (s *shard) apply(op Op) (Verdict, bool) {
	i, found := s.find(op.Key)
	if op.Kind == OpClaim {
		return s.claim(i, found, op)
	}
	if !found {
		return s.settleAbsent(i, op)
	}
	r := &s.Records[i]
	if r.Attempt != op.Attempt || !mayBecome(r.Phase, op.Kind) {
		return Verdict{Kind: Applied}, false
	}
	r.Phase = outcomePhase(op.Kind)
	r.Answer = op.Answer
	r.raw = nil
	return Verdict{Kind: Applied}, true
}

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

// settleAbsent records an outcome whose claim is not there. A claim that is
// still under way is then refused by the condition of its write.
func (s *shard) settleAbsent(i int, op Op) (Verdict, bool) {
	s.insert(i, op.record(outcomePhase(op.Kind)))
	return Verdict{Kind: Applied}, true
}

// mayBecome reports whether the outcome of an attempt may replace a phase.
func mayBecome(from recordPhase, kind OpKind) bool {
	switch from {
	case recordClaimed:
		return true
	case recordUnknown:
		return kind == OpDone
	default:
		return false
	}
}

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
