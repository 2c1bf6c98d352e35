package upstream

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

type targetID = model.TargetID

// recentlyProven is the age below which a connection that breaks was broken by
// the target and not by an idle timeout.
const recentlyProven = time.Second

// Reason says why an attempt gave no whole answer.
type Reason uint8

const (
	// Unreachable means that no connection was made.
	Unreachable Reason = iota
	// NotCommitted means that Call.Commit refused.
	NotCommitted
	// Broken means that the connection ended in the middle of the exchange.
	Broken
	// TimedOut means that the context's deadline passed.
	TimedOut
	// Cancelled means that this side gave the exchange up.
	Cancelled
	// Foreign means that what came is no answer of the target to this request.
	Foreign
)

var reasonNames = [...]string{
	Unreachable: "unreachable", NotCommitted: "not committed", Broken: "broken",
	TimedOut: "timed out", Cancelled: "cancelled", Foreign: "foreign",
}

// String returns the name of r.
func (r Reason) String() string { return reasonNames[r] }

// NotCommittedError reports that Call.Commit refused.
type NotCommittedError struct{}

func (NotCommittedError) Error() string { return "the call was not committed" }

var errNotCommitted = NotCommittedError{}

// CallError reports an attempt without a whole answer.
type CallError struct {
	Target model.TargetID
	Reason Reason
	// Sent is set when at least one byte of the request may have reached the target.
	Sent bool
	// Crashed is set when the target ended a connection that was known to be
	// alive while it ran the request.
	Crashed bool
	// Reused is set when the attempt ran on a connection used before.
	Reused bool
	Cause  error
}

func (e *CallError) Error() string {
	return "target " + string(e.Target) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

func newCallError(ctx context.Context, target model.TargetID, cn *conn, recent bool, cause error) *CallError {
	e := &CallError{Target: target, Reason: Broken, Sent: cn.wire.written.Load(), Reused: cn.reused, Cause: cause}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e.Reason = TimedOut
	case ctx.Err() != nil:
		e.Reason = Cancelled
	default:
		e.Crashed = e.Sent && recent && connectionLost(cause)
	}
	return e
}

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

func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
