package httpserver

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// BodyEndedError reports a read of a request body that was closed before its end.
type BodyEndedError struct{}

func (BodyEndedError) Error() string { return "the request body is no longer read" }

// MalformedBodyError reports a request body that breaks the protocol.
type MalformedBodyError struct{ Cause error }

func (e *MalformedBodyError) Error() string { return "malformed request body: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedBodyError) Unwrap() error { return e.Cause }

// bodyState is the state of a request body. The first change from bodyOpen is final.
type bodyState uint8

const (
	// bodyOpen means that the body's readers own the connection's input.
	bodyOpen bodyState = iota
	// bodyComplete means that the body was read to its end. The connection owns the input,
	// and the next request follows.
	bodyComplete
	// bodyAbandoned means that the rest of the body is not read. The connection owns the
	// input once no read is pending, and closes after the response.
	bodyAbandoned
)

// body is the body of one request and owns the input of its connection until its state
// changes. Reads may come from several goroutines, one after the other; all methods are safe
// for concurrent use.
type body struct {
	conn   *conn
	source io.Reader
	// expectsContinue is set if the caller waits for 100 Continue, which the first read
	// sends. Only Read uses it.
	expectsContinue bool
	// done is closed when the body was read to its end before the handler returned.
	done chan struct{}

	mu    sync.Mutex
	state bodyState
	// late is set if the handler returned before the body was read to its end.
	late bool
	// reading is set while a read of source is pending; idle is signalled when it ends.
	reading bool
	idle    sync.Cond
}

// newBody returns the body of a request that was read from c.
func newBody(c *conn, req *http.Request) *body {
	b := &body{conn: c, source: req.Body, expectsContinue: hasExpectContinue(req), done: make(chan struct{})}
	b.idle.L = &b.mu
	if req.Body == nil || req.Body == http.NoBody {
		b.source, b.state = http.NoBody, bodyComplete
		close(b.done)
	}
	return b
}

// Read implements io.Reader. Its errors are io.EOF, BodyEndedError, *MalformedBodyError and
// those of the connection.
func (b *body) Read(p []byte) (int, error) {
	if err := b.beginRead(); err != nil {
		return 0, err
	}
	n, err := b.read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading = false
	b.idle.Broadcast()
	if b.state == bodyAbandoned {
		return 0, BodyEndedError{}
	}
	if err == io.EOF {
		b.state = bodyComplete
		if !b.late {
			close(b.done)
		}
	}
	return n, err
}

// beginRead waits for a pending read. It returns an error if nothing more may be read.
func (b *body) beginRead() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.reading {
		b.idle.Wait()
	}
	switch b.state {
	case bodyComplete:
		return io.EOF
	case bodyAbandoned:
		return BodyEndedError{}
	}
	b.reading = true
	return nil
}

// read reads from source. Only the read between beginRead and the end of Read may call it.
func (b *body) read(p []byte) (int, error) {
	if b.expectsContinue {
		b.expectsContinue = false
		if _, err := io.WriteString(b.conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	if err == nil || err == io.EOF || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) || isConnError(err) {
		return n, err
	}
	return n, &MalformedBodyError{Cause: err}
}

// setDeadline sets the time after which reads fail, or none for the zero time. It does
// nothing once the body has ended, since the deadline is then that of the next request.
func (b *body) setDeadline(t time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == bodyOpen {
		_ = b.conn.raw.SetReadDeadline(t)
	}
}

// end abandons the body unless it was read to its end. A pending read fails. It reports whether
// the body is abandoned.
func (b *body) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == bodyOpen {
		b.state = bodyAbandoned
		b.conn.interruptRead()
	}
	return b.state == bodyAbandoned
}

// takeInput ends the body and waits until no read is pending, so that the connection may read
// its input.
func (b *body) takeInput() {
	b.end()
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.reading {
		b.idle.Wait()
	}
}

// isReading reports whether a read waits for the caller.
func (b *body) isReading() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reading
}

// handlerReturned records that the handler has returned. It reports whether the body was read
// to its end before that, so that another request may follow.
func (b *body) handlerReturned() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.late = b.state != bodyComplete
	return !b.late
}

// Close implements io.Closer. A pending read fails, and later ones too.
func (b *body) Close() error {
	b.end()
	return nil
}
