package upstream

import (
	"context"
	"errors"
	"io"
	"strings"
	"syscall"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/responsehead"
)

type targetID = model.TargetID

// maxVerifiedAge is the longest time since a connection was verified within which its loss
// is taken for a crash of the target. Later, the target may have closed the connection
// because of an idle timeout.
const maxVerifiedAge = time.Second

// Reason is the kind of failure of an attempt that gave no complete response.
type Reason uint8

const (
	// Unreachable means that no connection could be opened.
	Unreachable Reason = iota
	// NotCommitted means that Call.Commit reported false.
	NotCommitted
	// ConnectionLost means that the connection ended during the exchange.
	ConnectionLost
	// TimedOut means that the context's deadline passed.
	TimedOut
	// Cancelled means that the context was cancelled.
	Cancelled
	// InvalidResponse means that the response is not the target's response to this
	// request.
	InvalidResponse
	// MalformedResponse means that what the target sent is no response of HTTP/1.1.
	MalformedResponse
)

var reasonNames = [...]string{
	Unreachable: "unreachable", NotCommitted: "not committed", ConnectionLost: "broken",
	TimedOut: "timed out", Cancelled: "cancelled", InvalidResponse: "foreign",
	MalformedResponse: "malformed",
}

// String returns the name of r.
func (r Reason) String() string { return reasonNames[r] }

// NotCommittedError reports that Call.Commit reported false.
type NotCommittedError struct{}

func (NotCommittedError) Error() string { return "the call was not committed" }

var errNotCommitted = NotCommittedError{}

// TooManyConnectionsError reports that no connection could be opened because of
// Client.MaxConnections.
type TooManyConnectionsError struct{}

func (TooManyConnectionsError) Error() string { return "too many connections to targets" }

// CallError reports an attempt that gave no complete response.
type CallError struct {
	Target model.TargetID
	Reason Reason
	// Sent is set if at least one byte of the request may have reached the target.
	Sent bool
	// Crashed is set if the target closed a recently verified connection after the
	// request was sent, so that the request may have crashed it.
	Crashed bool
	// Reused is set if the attempt ran on a connection that was used before.
	Reused bool
	Cause  error
}

func (e *CallError) Error() string {
	return "target " + string(e.Target) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// maxCauseBytes is the length in bytes of the text of a cause. net/http quotes what the target
// sent, and these texts are logged and kept as events.
const maxCauseBytes = 256

// shortenedError is an error whose text is cut.
type shortenedError struct {
	text  string
	cause error
}

func (e *shortenedError) Error() string { return e.text }

// Unwrap returns the error with the whole text.
func (e *shortenedError) Unwrap() error { return e.cause }

// shorten returns an error that has at most maxCauseBytes of the text of err.
func shorten(err error) error {
	text := err.Error()
	if len(text) <= maxCauseBytes {
		return err
	}
	return &shortenedError{text: strings.Clone(text[:maxCauseBytes]), cause: err}
}

// newCallError returns the error of an exchange that failed on cn. recentlyVerified tells
// whether the connection was verified within maxVerifiedAge.
func newCallError(ctx context.Context, target model.TargetID, cn *conn, recentlyVerified bool, cause error) *CallError {
	e := &CallError{Target: target, Reason: ConnectionLost, Sent: cn.trackedConn.written.Load(), Reused: cn.reused, Cause: shorten(cause)}
	var malformed *responsehead.MalformedError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = TimedOut
	case ctx.Err() != nil:
		e.Reason = Cancelled
	case errors.As(cause, &malformed):
		e.Reason = MalformedResponse
	default:
		e.Crashed = e.Sent && recentlyVerified && connectionLost(cause)
	}
	return e
}

// dialReason returns why no connection was opened.
func dialReason(ctx context.Context) Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return TimedOut
	case ctx.Err() != nil:
		return Cancelled
	default:
		return Unreachable
	}
}

// connectionLost reports whether err means that the target closed or reset the connection.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
