package dispatch

import (
	"errors"
	"io"
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/contain"
	"redwingpoint.org/redwingpoint/internal/httpserver"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// streamedBody is a request body that is too large to be buffered. Attempts read it one
// after the other; only one that has read nothing can be followed by another, since the
// bytes read are not kept.
type streamedBody struct {
	src io.Reader
	// inbound is the body of the caller's request, on which src reads. Closing it makes a
	// pending read fail.
	inbound io.Closer
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
	return b.current == nil || b.current.release()
}

// err returns the error that ended the body, or nil if there is none or it is io.EOF.
func (b *streamedBody) err() error {
	if p := b.failure.Load(); p != nil {
		return *p
	}
	return nil
}

// endedBy reports whether an attempt that failed for the given reason did so because of the
// caller's body: it broke, or was still awaited at the deadline.
func (b *streamedBody) endedBy(reason upstream.Reason) bool {
	err := b.err()
	var closed httpserver.BodyEndedError
	if errors.As(err, &closed) {
		return reason == upstream.TimedOut
	}
	return err != nil
}

// States of a streamReader.
const (
	streamUnread int32 = iota
	streamReading
	streamReleased
)

// streamReader reads a streamedBody for one attempt. Read, release and stop may be called
// concurrently.
type streamReader struct {
	body  *streamedBody
	state atomic.Int32
}

// release makes later reads fail. It reports false if the attempt has read before.
func (r *streamReader) release() bool {
	return r.state.CompareAndSwap(streamUnread, streamReleased) || r.state.Load() == streamReleased
}

// stop ends the attempt's use of the body: a pending read and later ones fail. It is called
// when the connection to the target closes.
func (r *streamReader) stop() {
	if !r.release() {
		_ = r.body.inbound.Close()
	}
}

// StreamReleasedError reports a read of the body by an attempt that has ended.
type StreamReleasedError struct{}

func (StreamReleasedError) Error() string { return "the attempt that reads the body has ended" }

// Read implements io.Reader. It returns StreamReleasedError after a successful release.
func (r *streamReader) Read(p []byte) (n int, err error) {
	defer contain.Panic("request body", "", func() {
		err = httpserver.PanicError{}
		r.body.failure.Store(&err)
	})
	if !r.state.CompareAndSwap(streamUnread, streamReading) && r.state.Load() == streamReleased {
		return 0, StreamReleasedError{}
	}
	n, err = r.body.src.Read(p)
	if err != nil && err != io.EOF {
		r.body.failure.Store(&err)
	}
	return n, err
}
