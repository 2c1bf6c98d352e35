package store

import (
	"errors"
	"fmt"
	"time"
)

// NotFoundError reports that an object doesn't exist.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q not found", e.Key) }

// ConflictError reports a conditional write whose expected version did not match.
type ConflictError struct {
	Key     string
	Expect  Version
	Current Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d, not %d", e.Key, e.Current, e.Expect)
}

// UnknownOutcomeError reports a write that may or may not have taken effect.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("answer to the write of %q was lost: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// UnavailableError reports a call without a usable response; a write had no effect.
type UnavailableError struct {
	Op    string
	Cause error
	// sent is set if the request may have reached the server.
	sent bool
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RateLimitError reports a call that was not made because of the client's rate limit.
type RateLimitError struct{ Op string }

func (e *RateLimitError) Error() string { return "platform " + e.Op + ": call budget spent" }

// TooLargeError reports a value larger than MaxObjectBytes.
type TooLargeError struct {
	Key   string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("object %q: %d bytes exceed %d", e.Key, e.Bytes, MaxObjectBytes)
}

// ResponseTooLargeError reports a response whose body is larger than any list.
type ResponseTooLargeError struct{}

func (ResponseTooLargeError) Error() string { return "response body is too large" }

// CursorGoneError reports a watch cursor that is too old for the server.
type CursorGoneError struct{ After Version }

func (e *CursorGoneError) Error() string { return fmt.Sprintf("watch cursor %d is gone", e.After) }

// StatusError reports an HTTP status that the protocol doesn't define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// OutageError reports a call that was not made because earlier calls failed and the
// next probe isn't due.
type OutageError struct {
	// RetryAfter is the time until the next probe; it is zero while one is running.
	RetryAfter time.Duration
}

func (e *OutageError) Error() string {
	return fmt.Sprintf("outage: next call in %v", e.RetryAfter)
}

// IsUnknownOutcome reports whether a failed write may have taken effect, or may still
// take effect later.
func IsUnknownOutcome(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}

// StaleError reports a read that returned an older version than was seen before.
type StaleError struct{ Have, Got Version }

func (e *StaleError) Error() string {
	return fmt.Sprintf("replica is at version %d, before %d", e.Got, e.Have)
}
