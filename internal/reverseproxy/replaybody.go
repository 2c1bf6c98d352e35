package reverseproxy

import (
	"io"
	"sync"
	"sync/atomic"
)

// bodyChunkBytes is the buffer size for reads of an upload's body.
const bodyChunkBytes = 32 << 10

// replayBody is the body of an upload. A goroutine reads it from the caller, at
// most maxBuffered bytes and one chunk ahead of the attempt. What was read stays
// buffered as long as it fits into maxBuffered, so that another attempt can send
// the body from the start. Once an attempt has read beyond the buffer, the body
// can't be replayed.
type replayBody struct {
	src         io.Reader
	maxBuffered int
	// onRead is called with the number of bytes of each read from src.
	onRead func(bytes int)
	// reading is set while a read from src is in progress.
	reading   atomic.Bool
	startOnce sync.Once

	mu        sync.Mutex
	buffered  []byte
	pending   []byte // read, but doesn't fit into buffered
	discarded bool   // an attempt has read from pending
	closed    bool
	err       error
	changed   chan struct{} // closed and replaced at each change
}

// bodyReader reads a replayBody for one attempt.
type bodyReader struct {
	body          *replayBody
	pos           int
	interrupted   chan struct{}
	interruptOnce sync.Once
}

// AttemptEndedError reports a read of the body by an attempt that has ended.
type AttemptEndedError struct{}

func (AttemptEndedError) Error() string { return "the upload attempt has ended" }

// CallerBodyError reports that the caller's body could not be read completely.
type CallerBodyError struct{ Cause error }

func (e *CallerBodyError) Error() string { return "read request body from caller: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerBodyError) Unwrap() error { return e.Cause }

func newReplayBody(src io.Reader, maxBuffered int, onRead func(int)) *replayBody {
	return &replayBody{src: src, maxBuffered: maxBuffered, onRead: onRead, changed: make(chan struct{})}
}

// newReader returns a reader that begins at the start of the body. Only one
// reader may be in use at a time.
func (b *replayBody) newReader() *bodyReader {
	return &bodyReader{body: b, interrupted: make(chan struct{})}
}

// close stops the read loop. It doesn't unblock a read from src that is in
// progress.
func (b *replayBody) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.notify()
}

// readError returns the error that ended the read of the caller's body, or nil if
// there is none or it is io.EOF.
func (b *replayBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// reachedEOF reports whether the caller's body was read completely.
func (b *replayBody) reachedEOF() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// notify wakes all goroutines that wait for a change. The caller must hold mu.
func (b *replayBody) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// readLoop reads the caller's body until it ends or the replayBody is closed.
func (b *replayBody) readLoop() {
	buf := make([]byte, bodyChunkBytes)
	for {
		b.reading.Store(true)
		n, err := b.src.Read(buf)
		b.reading.Store(false)
		if n > 0 {
			b.onRead(n)
		}
		if !b.store(buf[:n], err) {
			return
		}
	}
}

// store adds the result of one read and blocks until the next chunk may be read.
// It reports whether to continue.
func (b *replayBody) store(chunk []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.discarded && len(b.buffered)+len(chunk) <= b.maxBuffered {
		b.buffered = append(b.buffered, chunk...)
	} else {
		b.pending = chunk
	}
	if err != nil && err != io.EOF {
		err = &CallerBodyError{Cause: err}
	}
	b.err = err
	b.notify()
	for len(b.pending) > 0 && !b.closed {
		changed := b.changed
		b.mu.Unlock()
		<-changed
		b.mu.Lock()
	}
	return err == nil && !b.closed
}

// interrupt fails the reads of this reader, including one that is blocked.
func (r *bodyReader) interrupt() { r.interruptOnce.Do(func() { close(r.interrupted) }) }

// detach interrupts the reader. It reports whether the body can still be replayed
// from the start.
func (r *bodyReader) detach() bool {
	r.interrupt()
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	return !r.body.discarded && (r.body.err == nil || r.body.err == io.EOF)
}

// Read implements io.Reader. It returns AttemptEndedError after interrupt.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.body.startOnce.Do(func() { go r.body.readLoop() })
	for {
		n, changed, err := r.tryRead(p)
		if changed == nil {
			return n, err
		}
		select {
		case <-changed:
		case <-r.interrupted:
			return 0, AttemptEndedError{}
		}
	}
}

// tryRead reads without blocking. If no data is available, it returns a channel
// that is closed at the next change.
func (r *bodyReader) tryRead(p []byte) (int, <-chan struct{}, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-r.interrupted:
		return 0, nil, AttemptEndedError{}
	default:
	}
	switch {
	case r.pos < len(b.buffered):
		n := copy(p, b.buffered[r.pos:])
		r.pos += n
		return n, nil, nil
	case len(b.pending) > 0:
		return r.readPending(p), nil, nil
	case b.err != nil:
		return 0, nil, b.err
	default:
		return 0, b.changed, nil
	}
}

// readPending reads from pending, after which the body can't be replayed. The
// caller must hold mu.
func (r *bodyReader) readPending(p []byte) int {
	b := r.body
	b.discarded = true
	b.buffered = nil
	r.pos = 0
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	if len(b.pending) == 0 {
		b.notify()
	}
	return n
}
