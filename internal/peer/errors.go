package peer

import (
	"fmt"

	"redwingpoint.org/redwingpoint/internal/model"
)

// CodecError reports bytes that are no valid message.
type CodecError struct {
	Op    string
	Cause error
}

func (e *CodecError) Error() string { return "peer message: " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CodecError) Unwrap() error { return e.Cause }

// FrameSizeError reports a frame above MaxFrameBytes.
type FrameSizeError struct{ Bytes int }

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("peer frame of %d bytes exceeds %d", e.Bytes, MaxFrameBytes)
}

// NotLinkedError reports a peer without a connection.
type NotLinkedError struct{ Peer model.InstanceID }

func (e *NotLinkedError) Error() string { return "no connection to peer " + string(e.Peer) }

// RefusedError reports a request that the peer did not answer.
type RefusedError struct {
	Peer   model.InstanceID
	Reason string
}

func (e *RefusedError) Error() string { return "peer " + string(e.Peer) + " refused: " + e.Reason }

// UnknownOpError reports a request of a kind that this instance does not serve.
type UnknownOpError struct{ Op Op }

func (e *UnknownOpError) Error() string { return fmt.Sprintf("unknown operation %d", e.Op) }

// ConnectionError reports a failure of the connection to a peer.
type ConnectionError struct {
	Peer  model.InstanceID
	Cause error
}

func (e *ConnectionError) Error() string { return "peer " + string(e.Peer) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Cause }
