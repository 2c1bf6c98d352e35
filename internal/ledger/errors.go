package ledger

import "fmt"

// KeyError reports an idempotency key that is missing or malformed.
type KeyError struct{ Reason string }

func (e *KeyError) Error() string { return "idempotency key: " + e.Reason }

// FingerprintError reports a key that was used before with another request.
type FingerprintError struct{ Key string }

func (e *FingerprintError) Error() string {
	return fmt.Sprintf("idempotency key %q was used with another request", e.Key)
}

// ExpiredError reports a key older than the retention of outcomes.
type ExpiredError struct{ Key string }

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("idempotency key %q is older than the retention", e.Key)
}

// UnavailableError reports that the claim could not be confirmed in time;
// nothing was and nothing will be sent.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string { return "ledger unavailable: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// FullError reports a shard without room for another claim.
type FullError struct{ Object string }

func (e *FullError) Error() string { return fmt.Sprintf("ledger shard %q is full", e.Object) }

// OverloadError reports a shard with too many claims waiting to be written.
type OverloadError struct{ Object string }

func (e *OverloadError) Error() string { return fmt.Sprintf("ledger shard %q is overloaded", e.Object) }

// AbandonedError reports a claim that its own attempt gave up before it was written.
type AbandonedError struct{}

func (*AbandonedError) Error() string { return "the attempt was given up" }

// UndecidedError reports a claim whose write was not confirmed in time. The
// attempt is given up and its claim is released when the store answers.
type UndecidedError struct{ Cause error }

func (e *UndecidedError) Error() string { return "claim not confirmed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Cause }
