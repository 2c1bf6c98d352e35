// Package ledger ensures that a non-idempotent request runs at most once. It
// stores one record per idempotency key in shards, which are objects of the
// Object API. Only the attempt whose conditional update is confirmed may send
// the request, and only once. Safety does not depend on leases, synchronized
// clocks or failure detection. See docs/design/at-most-once.md.
package ledger

import (
	"context"
	"net/http"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Request describes a non-idempotent request as one instance received it.
type Request struct {
	ID      model.RequestID
	Service model.ServiceName
	// Caller is the namespace of Key: two callers may use the same key.
	Caller string
	Key    string
	// Fingerprint is a digest of method, path and body.
	Fingerprint [32]byte
	// Deadline is the time, on this process's monotonic clock, after which the
	// attempt must not send.
	Deadline time.Time
	// Retention is how long the outcome of the key is stored; 0 selects the default.
	Retention time.Duration
}

// Response is a target's stored response, which is replayed to repeated requests.
type Response struct {
	Status int         `json:"status" cbor:"1,keyasint"`
	Header http.Header `json:"header,omitempty" cbor:"2,keyasint,omitempty"`
	Body   []byte      `json:"body,omitempty" cbor:"3,keyasint,omitempty"`
	// Truncated is set if the header and body were too large to store.
	Truncated bool `json:"truncated,omitempty" cbor:"4,keyasint,omitempty"`
}

// State is the state of a key as seen by one attempt.
type State uint8

const (
	// Claimed means that this attempt holds the claim and may send.
	Claimed State = iota
	// Done means that the request ran and its response is stored.
	Done
	// InProgress means that another attempt holds the claim and its instance is
	// not known to have failed.
	InProgress
	// OutcomeUnknown means that an attempt may have sent the request and its outcome is lost.
	OutcomeUnknown
)

// Decision is the result of Begin.
type Decision struct {
	State State
	// Claim is set if State is Claimed.
	Claim Claim
	// Response is set if State is Done.
	Response *Response
	// Holder is the instance whose attempt holds the key, for InProgress and OutcomeUnknown.
	Holder model.InstanceID
}

// Claim is the permission of one attempt to send its request once. It is safe
// for concurrent use.
type Claim interface {
	// MarkSent marks the request as sent. It reports whether it may be sent now. It
	// returns true at most once, and never after the deadline or after Abandon.
	// The code that sends must bound the write of the request by the same deadline.
	MarkSent() bool
	// Abandon revokes the permission to send. It reports whether nothing has
	// been or will be sent for this attempt.
	Abandon() bool
	// RecordDone records the response. If it returns an error, the outcome may stay
	// unknown to later requests with the key.
	RecordDone(ctx context.Context, response *Response) error
	// RecordNotRun releases the key after the target reported that it ran nothing, or
	// after Abandon. Later requests may claim the key again. The permission to
	// send is revoked before anything is written.
	RecordNotRun(ctx context.Context) error
	// RecordUnknown records that the request was sent and its outcome is lost.
	RecordUnknown(ctx context.Context) error
}

// ResendableClaim is a Claim whose request may be sent to another target after a send
// that provably ran nothing.
type ResendableClaim interface {
	Claim
	// AllowResend allows another send after one whose target provably received no
	// byte, or reported that it did not start the request. It reports whether
	// MarkSent may be called again; the deadline does not change. It must not be
	// called while bytes of the earlier send may still be written.
	AllowResend() bool
}

// Membership reports fleet membership. Implementations are safe for concurrent
// use. A wrong answer never affects safety: it only selects between InProgress
// and OutcomeUnknown.
type Membership interface {
	// HasLeft reports whether an instance has left the fleet.
	HasLeft(model.InstanceID) bool
}

// Ledger begins attempts. Implementations are safe for concurrent use.
type Ledger interface {
	// Begin claims the key of a request for a new attempt. Its errors are
	// *KeyError, *FingerprintError, *ExpiredError and *UnavailableError; each
	// means that nothing was sent for this attempt.
	Begin(ctx context.Context, req Request) (Decision, error)
}
