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
	// OpCreate creates the object of a shard and changes no key.
	OpCreate
)

// Op is a change to the record of a key. It is idempotent: an op that is applied
// again has no further effect.
type Op struct {
	Kind        OpKind           `cbor:"1,keyasint"`
	Key         KeyHash          `cbor:"2,keyasint"`
	Fingerprint [16]byte         `cbor:"3,keyasint"`
	Attempt     Attempt          `cbor:"4,keyasint"`
	Holder      model.InstanceID `cbor:"5,keyasint"`
	// ClaimedAtMillis is the time of the claim by the clock of Holder, in Unix milliseconds.
	ClaimedAtMillis int64 `cbor:"6,keyasint"`
	// TimeoutMillis is the time from the claim to the attempt's deadline, in milliseconds.
	TimeoutMillis int64     `cbor:"7,keyasint"`
	Response      *Response `cbor:"8,keyasint,omitempty"`
}

// ResultKind is the kind of result of an Op.
type ResultKind uint8

const (
	// ResultApplied means that this attempt holds the claim or, for other ops, that
	// the op was applied or no longer has an effect.
	ResultApplied ResultKind = iota
	// ResultMismatch means that the key was used with a different request.
	ResultMismatch
	// ResultDone means that the request of the key ran; Response is set if one was stored.
	ResultDone
	// ResultUnknown means that an attempt may have sent the request and its outcome
	// is recorded as unknown.
	ResultUnknown
	// ResultHeld means that another attempt holds the key.
	ResultHeld
	// ResultSuperseded means that this attempt already has an outcome, or, for
	// OpCreate, that the object exists already.
	ResultSuperseded
	// ResultSwept means that the bucket of the key may have been swept after its retention.
	ResultSwept
)

// Result is the result of an Op. If a claim found a record of the key, Attempt,
// Holder, ClaimedAtMillis and TimeoutMillis are those of the record.
type Result struct {
	Kind            ResultKind       `cbor:"1,keyasint"`
	Response        *Response        `cbor:"2,keyasint,omitempty"`
	Attempt         Attempt          `cbor:"3,keyasint"`
	Holder          model.InstanceID `cbor:"4,keyasint,omitempty"`
	ClaimedAtMillis int64            `cbor:"5,keyasint,omitempty"`
	TimeoutMillis   int64            `cbor:"6,keyasint,omitempty"`
}

// isFinal reports whether the result of an op that changed nothing stays the
// same in every later state of the shard, so that a cached state suffices.
func (res Result) isFinal(op Op) bool {
	return op.Kind == OpCreate || op.Kind == OpClaim && res.Kind != ResultHeld && res.Kind != ResultUnknown
}

// record returns a record with the fields of op.
func (op Op) record(phase recordPhase) record {
	return record{
		Key:             op.Key,
		Fingerprint:     op.Fingerprint,
		Attempt:         op.Attempt,
		Holder:          op.Holder,
		ClaimedAtMillis: op.ClaimedAtMillis,
		TimeoutMillis:   op.TimeoutMillis,
		Phase:           phase,
		Response:        op.Response,
	}
}

// apply applies an op to s. It returns the result and whether s was changed.
func (s *shard) apply(op Op) (Result, bool) {
	i, found := s.find(op.Key)
	if op.Kind == OpClaim {
		return s.claim(i, found, op)
	}
	if !found {
		return s.recordWithoutClaim(i, op)
	}
	r := &s.Records[i]
	if r.Attempt != op.Attempt || !canTransition(r.Phase, op.Kind) {
		return Result{Kind: ResultApplied}, false
	}
	r.Phase = outcomePhase(op.Kind)
	r.Response = op.Response
	r.encoded = nil
	return Result{Kind: ResultApplied}, true
}

// claim applies an op of kind OpClaim; i and found are the result of find.
func (s *shard) claim(i int, found bool, op Op) (Result, bool) {
	if !found {
		s.insert(i, op.record(phaseClaimed))
		return Result{Kind: ResultApplied}, true
	}
	r := &s.Records[i]
	res := Result{Attempt: r.Attempt, Holder: r.Holder, ClaimedAtMillis: r.ClaimedAtMillis, TimeoutMillis: r.TimeoutMillis, Response: r.Response}
	switch {
	case r.Attempt == op.Attempt && r.Phase == phaseClaimed:
		res.Kind = ResultApplied
	case r.Attempt == op.Attempt:
		res.Kind = ResultSuperseded
	case r.Fingerprint != op.Fingerprint:
		res.Kind = ResultMismatch
	case r.Phase == phaseReleased:
		*r = op.record(phaseClaimed)
		return Result{Kind: ResultApplied}, true
	case r.Phase == phaseDone:
		res.Kind = ResultDone
	case r.Phase == phaseUnknown:
		res.Kind = ResultUnknown
	default:
		res.Kind = ResultHeld
	}
	return res, false
}

// recordWithoutClaim records an outcome for which there is no record of the
// claim. If the write of the claim is still in flight, its version condition
// fails afterwards.
func (s *shard) recordWithoutClaim(i int, op Op) (Result, bool) {
	s.insert(i, op.record(outcomePhase(op.Kind)))
	return Result{Kind: ResultApplied}, true
}

// canTransition reports whether an op of the holding attempt may replace a phase.
func canTransition(from recordPhase, kind OpKind) bool {
	switch from {
	case phaseClaimed:
		return true
	case phaseUnknown:
		return kind == OpDone
	default:
		return false
	}
}

// outcomePhase returns the phase that an outcome leads to.
func outcomePhase(kind OpKind) recordPhase {
	switch kind {
	case OpDone:
		return phaseDone
	case OpRelease:
		return phaseReleased
	default:
		return phaseUnknown
	}
}
