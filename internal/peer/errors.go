package peer

import (
	"fmt"

	"redwingpoint.org/redwingpoint/internal/model"
)

// CodecError reports a message that can't be encoded, read or decoded.
type CodecError struct {
	// Op is the failed step: "encode", "read" or "decode".
	Op    string
	Cause error
}

func (e *CodecError) Error() string { return "peer message: " + e.Op + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *CodecError) Unwrap() error { return e.Cause }

// FrameSizeError reports a frame above MaxFrameBytes. Bytes is its size.
type FrameSizeError struct{ Bytes int }

func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("peer frame of %d bytes exceeds %d", e.Bytes, MaxFrameBytes)
}

// NotConnectedError reports that there is no connection to a peer.
type NotConnectedError struct{ Peer model.InstanceID }

func (e *NotConnectedError) Error() string { return "no connection to peer " + string(e.Peer) }

// RefusedError reports a request that the peer refused or failed to handle.
type RefusedError struct {
	Peer   model.InstanceID
	Reason string
}

func (e *RefusedError) Error() string { return "peer " + string(e.Peer) + " refused: " + e.Reason }

// UnknownOpError reports a request with an operation that has no handler.
type UnknownOpError struct{ Op Op }

func (e *UnknownOpError) Error() string { return fmt.Sprintf("unknown operation %d", e.Op) }

// ConnectionError reports that a peer could not be dialed or that a call failed on the
// connection to it.
type ConnectionError struct {
	Peer  model.InstanceID
	Cause error
}

func (e *ConnectionError) Error() string { return "peer " + string(e.Peer) + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *ConnectionError) Unwrap() error { return e.Cause }
