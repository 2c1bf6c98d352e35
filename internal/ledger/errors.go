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
