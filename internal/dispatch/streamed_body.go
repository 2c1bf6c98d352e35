package dispatch

import (
	"io"
	"sync/atomic"
)

// streamedBody is a request body that is too large to be buffered. Attempts read it one
// after the other; only one that has read nothing can be followed by another, since the
// bytes read are not kept.
type streamedBody struct {
	src io.Reader
	// failure holds the error that ended src, other than io.EOF.
	failure atomic.Pointer[error]
	current *streamReader
}

// newReader returns the reader of the next attempt.
func (b *streamedBody) newReader() *streamReader {
	b.current = &streamReader{body: b}
	return b.current
}

// release ends the current attempt's reader. It reports whether that reader has read
// nothing and never will, so that another attempt may send the whole body.
func (b *streamedBody) release() bool {
	return b.current == nil || b.current.state.CompareAndSwap(streamUnread, streamReleased)
}

// err returns the error that ended the body, or nil if there is none or it is io.EOF.
func (b *streamedBody) err() error {
	if p := b.failure.Load(); p != nil {
		return *p
	}
	return nil
}

// States of a streamReader.
const (
	streamUnread int32 = iota
	streamReading
	streamReleased
)

// streamReader reads a streamedBody for one attempt. Read and streamedBody.release may be
// called concurrently: net/http may still read the body when an attempt has ended.
type streamReader struct {
	body  *streamedBody
	state atomic.Int32
}

// StreamReleasedError reports a read of the body by an attempt that has ended.
type StreamReleasedError struct{}

func (StreamReleasedError) Error() string { return "the attempt that reads the body has ended" }

// Read implements io.Reader. It returns StreamReleasedError after a successful release.
func (r *streamReader) Read(p []byte) (int, error) {
	if !r.state.CompareAndSwap(streamUnread, streamReading) && r.state.Load() == streamReleased {
		return 0, StreamReleasedError{}
	}
	n, err := r.body.src.Read(p)
	if err != nil && err != io.EOF {
		r.body.failure.Store(&err)
	}
	return n, err
}
