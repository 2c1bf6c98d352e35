package ledger

import "fmt"

// KeyError reports an idempotency key that is missing or malformed.
type KeyError struct{ Reason string }

func (e *KeyError) Error() string { return "idempotency key: " + e.Reason }

// FingerprintError reports a key that was used before with a different request.
type FingerprintError struct{ Key string }

func (e *FingerprintError) Error() string {
	return fmt.Sprintf("idempotency key %q was used with another request", e.Key)
}

// ExpiredError reports a key older than the retention of outcomes.
type ExpiredError struct{ Key string }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("idempotency key %q is older than the retention", e.Key)
}

// UnavailableError reports that a claim or an outcome could not be confirmed in
// time. If Begin returns it, nothing has been or will be sent for the attempt.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return "ledger unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// FullError reports a shard that would exceed the size limit of an object.
type FullError struct{ Object string }

func (e *FullError) Error() string { return fmt.Sprintf("ledger shard %q is full", e.Object) }

// OverloadError reports a shard whose write queue is full.
type OverloadError struct{ Object string }

func (e *OverloadError) Error() string { return fmt.Sprintf("ledger shard %q is overloaded", e.Object) }

// AbandonedError reports a claim whose own attempt was abandoned before it was written.
type AbandonedError struct{}

func (*AbandonedError) Error() string { return "the attempt was given up" }

// UnconfirmedError reports an op that may have been written, but whose write was
// not confirmed in time. StoreLedger abandons the attempt of such a claim and
// releases the claim once the store responds.
type UnconfirmedError struct{ Cause error }

func (e *UnconfirmedError) Error() string { return "claim not confirmed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnconfirmedError) Unwrap() error { return e.Cause }
