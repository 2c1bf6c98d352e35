package store

import (
	"errors"
	"fmt"
	"time"
)

// NotFoundError reports an absent object.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("object %q not found", e.Key) }

// ConflictError reports a conditional update whose condition did not hold.
type ConflictError struct {
	Key     string
	Expect  Version
	Current Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d, not %d", e.Key, e.Current, e.Expect)
}

// LostAnswerError reports a write that may or may not have taken effect.
type LostAnswerError struct {
	Key   string
	Cause error
}

func (e *LostAnswerError) Error() string {
	return fmt.Sprintf("answer to the write of %q was lost: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *LostAnswerError) Unwrap() error { return e.Cause }

// UnavailableError reports a call without an answer; a write certainly had no effect.
type UnavailableError struct {
	Op    string
	Cause error
	// sent is set inside this package when the call reached a connection.
	sent bool
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("platform %s: %v", e.Op, e.Cause) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// BudgetError reports a call that was not made because the call budget is spent.
type BudgetError struct{ Op string }

func (e *BudgetError) Error() string { return "platform " + e.Op + ": call budget spent" }

// TooLargeError reports a value above MaxObjectBytes.
type TooLargeError struct {
	Key   string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("object %q: %d bytes exceed %d", e.Key, e.Bytes, MaxObjectBytes)
}

// CursorGoneError reports a watch cursor that the server no longer serves.
type CursorGoneError struct{ After Version }

func (e *CursorGoneError) Error() string { return fmt.Sprintf("watch cursor %d is gone", e.After) }

// StatusError reports an answer of the platform that the protocol does not define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected status %d", e.Status) }

// OutageError reports a call that was not made because the platform gave no
// answer to earlier ones.
type OutageError struct {
	// RetryAfter is the time until the next call is let through.
	RetryAfter time.Duration
}

func (e *OutageError) Error() string {
	return fmt.Sprintf("outage: next call in %v", e.RetryAfter)
}

// Uncertain reports whether a failed write may have taken effect or may still
// take effect later.
func Uncertain(err error) bool {
	var lost *LostAnswerError
	return errors.As(err, &lost)
}

// StaleError reports an answer of a replica that lags behind what was seen before.
type StaleError struct{ Have, Got Version }

func (e *StaleError) Error() string {
	return fmt.Sprintf("replica is at version %d, before %d", e.Got, e.Have)
}
