// Package ledger decides whether a non-idempotent request may be sent. It keeps
// one record per idempotency key in the shards of the Object API; a request is
// sent only by the attempt whose conditional update is confirmed, and only once.
// No decision to send rests on a lease, on clocks that agree or on who is
// believed to be alive. See docs/design/at-most-once.md.
package ledger

import (
	"context"
	"net/http"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Request describes one receipt of a non-idempotent request.
type Request struct {
	ID      model.RequestID
	Service model.ServiceName
	// Caller scopes Key: two callers may use the same key.
	Caller string
	Key    string
	// Fingerprint is a digest of method, path and body.
	Fingerprint [32]byte
	// Deadline is the instant, on this process's monotonic clock, after which
	// the attempt must not send.
	Deadline time.Time
	// Retention is how long the outcome of the key is kept.
	Retention time.Duration
}

// Answer is a target's answer that is small enough to be kept and replayed.
type Answer struct {
	Status int         `json:"status" cbor:"1,keyasint"`
	Header http.Header `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte      `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// Truncated is set when the body was too large to keep.
	Truncated bool `json:"truncated,omitempty" cbor:"4,keyasint,omitempty"`
}

// State is what the ledger knows of a key.
type State uint8

const (
	// Fresh means that this attempt holds the claim and may send.
	Fresh State = iota
	// Done means that the request ran and its answer is kept.
	Done
	// InProgress means that another attempt holds the claim and is alive.
	InProgress
	// OutcomeUnknown means that an attempt may have sent and its outcome is lost.
	OutcomeUnknown
)

// Decision is the result of Begin.
type Decision struct {
	State State
	// Claim is set when State is Fresh.
	Claim Claim
	// Answer is set when State is Done.
	Answer *Answer
	// Holder is the instance whose attempt holds the key, for InProgress and OutcomeUnknown.
	Holder model.InstanceID
}

// Claim is the right of one attempt to send once. It is safe for concurrent use.
type Claim interface {
	// Send reports whether the request may be sent now. It returns true at most
	// once, and never after the deadline or after Abandon. The caller bounds the
	// write of the request by the same deadline.
	Send() bool
	// Abandon gives the right to send up. It reports whether nothing was and
	// nothing will be sent for this attempt.
	Abandon() bool
	// Done records the answer. A failure leaves the outcome unknown to later receipts.
	Done(ctx context.Context, answer *Answer) error
	// NotRun releases the key after the target stated that it ran nothing, or
	// after Abandon. Later receipts may claim the key again. The right to send
	// is given up before anything is written.
	NotRun(ctx context.Context) error
	// Unknown records that the request was sent and its outcome is lost.
	Unknown(ctx context.Context) error
}

// Resender is a Claim whose request may go to another target after a send that
// provably ran nothing.
type Resender interface {
	Claim
	// Resend takes back a Send whose target provably received no byte, or said
	// that it did not start the request. It reports whether Send may be called
	// again; the deadline stays. It must not be called while bytes of the
	// earlier send may still leave.
	Resend() bool
}

// Presence tells whether an instance has left the fleet. A wrong opinion never
// affects safety: it only chooses between InProgress and OutcomeUnknown.
type Presence interface {
	Gone(model.InstanceID) bool
}

// Ledger begins attempts. Errors are *KeyError, *FingerprintError,
// *ExpiredError or *UnavailableError; each says that nothing ran.
type Ledger interface {
	Begin(ctx context.Context, req Request) (Decision, error)
}
