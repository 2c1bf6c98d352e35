package entry

import (
	"io"
	"sync"
	"sync/atomic"
)

// chunkBytes is the size of one read of an upload's body.
const chunkBytes = 32 << 10

// heldBody is the body of an upload. A goroutine reads it from the caller, at
// most limit bytes ahead. It keeps what was read as long as that fits into the
// limit, so that another attempt can send it again from the start; once an
// attempt took more, the body can't be sent again.
type heldBody struct {
	src   io.Reader
	limit int
	// onRead is called with the number of bytes of each read.
	onRead func(bytes int)
	// reading is set while a read of the caller's body is blocked.
	reading atomic.Bool
	start   sync.Once

	mu       sync.Mutex
	held     []byte
	pending  []byte // read, but beyond the limit
	released bool   // an attempt took what is not held
	closed   bool
	err      error
	changed  chan struct{} // closed and replaced at each change
}

// bodyReader reads a heldBody for one attempt.
type bodyReader struct {
	body        *heldBody
	pos         int
	interrupted chan struct{}
	once        sync.Once
}

// DetachedError reports a read for an attempt that was given up.
type DetachedError struct{}

func (DetachedError) Error() string { return "the attempt was given up" }

// CallerBodyError reports that the caller's body could not be read to its end.
type CallerBodyError struct{ Cause error }

func (e *CallerBodyError) Error() string { return "read the caller's body: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallerBodyError) Unwrap() error { return e.Cause }

func newHeldBody(src io.Reader, limit int, onRead func(int)) *heldBody {
	return &heldBody{src: src, limit: limit, onRead: onRead, changed: make(chan struct{})}
}

// attach returns a reader from the start. At most one is in use at a time.
func (b *heldBody) attach() *bodyReader {
	return &bodyReader{body: b, interrupted: make(chan struct{})}
}

// close ends the reading; a read that is blocked has to be freed by other means.
func (b *heldBody) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.notify()
}

// failed returns the error that ended the caller's body early, or nil.
func (b *heldBody) failed() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// ended reports whether the caller's body was read to its end.
func (b *heldBody) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == io.EOF
}

// notify wakes everyone who waits for a change. The caller holds mu.
func (b *heldBody) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// pump reads the caller's body until it ends or the upload is over.
func (b *heldBody) pump() {
	buf := make([]byte, chunkBytes)
	for {
		b.reading.Store(true)
		n, err := b.src.Read(buf)
		b.reading.Store(false)
		if n > 0 {
			b.onRead(n)
		}
		if !b.accept(buf[:n], err) {
			return
		}
	}
}

// accept stores one read and waits until there is room for the next. It reports
// whether to go on.
func (b *heldBody) accept(chunk []byte, err error) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.released && len(b.held)+len(chunk) <= b.limit {
		b.held = append(b.held, chunk...)
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

// interrupt ends the attempt's reads, also one that is blocked.
func (r *bodyReader) interrupt() { r.once.Do(func() { close(r.interrupted) }) }

// detach ends the attempt's reads. It reports whether the whole body so far is
// still held, so that another attempt may start.
func (r *bodyReader) detach() bool {
	r.interrupt()
	r.body.mu.Lock()
	defer r.body.mu.Unlock()
	return !r.body.released && (r.body.err == nil || r.body.err == io.EOF)
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	r.body.start.Do(func() { go r.body.pump() })
	for {
		n, changed, err := r.take(p)
		if changed == nil {
			return n, err
		}
		select {
		case <-changed:
		case <-r.interrupted:
			return 0, DetachedError{}
		}
	}
}

// take serves a read from what is there. If nothing is, it returns the channel
// that announces the next change.
func (r *bodyReader) take(p []byte) (int, <-chan struct{}, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-r.interrupted:
		return 0, nil, DetachedError{}
	default:
	}
	switch {
	case r.pos < len(b.held):
		n := copy(p, b.held[r.pos:])
		r.pos += n
		return n, nil, nil
	case len(b.pending) > 0:
		return r.takePending(p), nil, nil
	case b.err != nil:
		return 0, nil, b.err
	default:
		return 0, b.changed, nil
	}
}

// takePending takes bytes that are not held; from then on the body can't be sent
// again. The caller holds mu.
func (r *bodyReader) takePending(p []byte) int {
	b := r.body
	b.released = true
	b.held = nil
	r.pos = 0
	n := copy(p, b.pending)
	b.pending = b.pending[n:]
	if len(b.pending) == 0 {
		b.notify()
	}
	return n
}
