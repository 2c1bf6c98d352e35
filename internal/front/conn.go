package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPending is the number of requests of one connection that are served side
	// by side; more wait in the connection.
	maxPending = 16
	// writeTimeout bounds one answer's way to a caller that takes nothing.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a connection that is closed after a refusal takes
	// bytes, so that the refusal isn't lost in a reset.
	lingerTime = 300 * time.Millisecond
	// maxLinger bounds those bytes.
	maxLinger = 1 << 20
)

// conn is one connection of a caller. One goroutine reads requests, one writes
// answers in the same order, and each request is served in a goroutine of its own.
type conn struct {
	server  *Server
	raw     net.Conn
	input   *meter
	reader  *bufio.Reader
	pending chan *exchange
	// waiting is set while nothing of a further request has arrived.
	waiting atomic.Bool
	ctx     context.Context
	cancel  context.CancelFunc
	// ended is closed when the writer has ended.
	ended chan struct{}

	mu sync.Mutex
	// open counts requests that were read and not yet answered, endedAt is when
	// the latest of them was.
	open    int
	endedAt time.Time
	// sealed is set once the caller was told, or is about to be, that no further
	// request is taken.
	sealed bool
}

// exchange is one request on its way through a connection.
type exchange struct {
	request *Request
	// answer is delivered once; a nil answer closes the connection unanswered.
	answer chan *Answer
	// last is set if no request may follow.
	last bool
	// written is closed when the answer was written.
	written chan struct{}
}

// meter bounds the bytes of a header: while limited, it fails once left is used up.
type meter struct {
	net.Conn
	limited bool
	left    int64
}

// headerTooLargeError reports a header beyond the limit.
type headerTooLargeError struct{}

func (headerTooLargeError) Error() string { return "the header is too large" }

func (m *meter) Read(p []byte) (int, error) {
	if m.limited && m.left <= 0 {
		return 0, headerTooLargeError{}
	}
	n, err := m.Conn.Read(p)
	m.left -= int64(n)
	return n, err
}

func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{
		server:  s,
		raw:     raw,
		input:   &meter{Conn: raw},
		pending: make(chan *exchange, maxPending),
		ended:   make(chan struct{}),
	}
	c.reader = bufio.NewReader(c.input)
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	return c
}

// serve runs the connection until it is closed.
func (c *conn) serve() {
	defer c.cancel()
	go c.write()
	for c.next() {
	}
	close(c.pending)
	c.watch()
	c.closeGently()
}

// watch waits until all answers are written; the caller's leaving cancels what is
// still served.
func (c *conn) watch() {
	go func() {
		<-c.ended
		c.endReading()
	}()
	_ = c.raw.SetReadDeadline(time.Time{})
	select {
	case <-c.ended:
		return
	default:
	}
	_, err := io.Copy(io.Discard, c.reader)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
	<-c.ended
}

// begin counts a request that was read. It reports false if the caller was told
// that no further one is taken.
func (c *conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.sealed {
		c.open++
	}
	return !c.sealed
}

func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	c.endedAt = time.Now()
}

// seal reports whether the request that is being answered is the only open one
// and lets no further one begin.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 1 {
		c.sealed = true
	}
	return c.sealed
}

// isSealed reports whether no further request is taken.
func (c *conn) isSealed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed
}

// isIdle reports whether no request was open for a time.
func (c *conn) isIdle(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open == 0 && time.Since(c.endedAt) >= d
}

// next reads one request and starts to serve it. It reports false after the last.
func (c *conn) next() bool {
	if !c.await() {
		return false
	}
	limits := c.server.limits()
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	c.input.limited, c.input.left = true, limits.HeaderBytes
	req, err := http.ReadRequest(c.reader)
	c.input.limited = false
	if err != nil {
		c.reject(err)
		return false
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	x := &exchange{
		request: c.request(req),
		answer:  make(chan *Answer, 1),
		written: make(chan struct{}),
		last:    req.Close || c.server.draining.Load(),
	}
	return c.start(x)
}

// await waits for the first byte of a request. The caller's leaving cancels what
// is still served.
func (c *conn) await() bool {
	for {
		idle := c.server.limits().IdleTimeout
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
		if c.isSealed() {
			return false
		}
		c.waiting.Store(c.reader.Buffered() == 0)
		_, err := c.reader.Peek(1)
		c.waiting.Store(false)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return false
		}
		if c.isIdle(idle) {
			return false
		}
	}
}

func (c *conn) request(req *http.Request) *Request {
	path, query, _ := strings.Cut(req.RequestURI, "?")
	if !strings.HasPrefix(path, "/") {
		path = req.URL.EscapedPath()
	}
	return &Request{
		HTTP:         req,
		Target:       req.RequestURI,
		Path:         path,
		Query:        query,
		ReceivedAt:   time.Now(),
		BodyDeadline: func(t time.Time) { _ = c.raw.SetReadDeadline(t) },
	}
}

// start serves a request. Requests without a body are served side by side; the
// body of another has to be read before the next request can be.
func (c *conn) start(x *exchange) bool {
	if !c.begin() {
		return false
	}
	c.pending <- x
	req := x.request.HTTP
	body := &body{conn: c, from: req.Body, expect: expectsContinue(req), done: make(chan struct{})}
	empty := req.Body == nil || req.Body == http.NoBody
	req.Body = body
	if empty {
		body.from = http.NoBody
		body.end()
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		answer := c.server.handler.Serve(c.ctx, x.request)
		if !body.finished() {
			// The rest of the body would be taken for a request.
			x.last = true
		}
		x.answer <- answer
	}()
	select {
	case <-body.done:
		return !x.last
	case <-served:
	}
	if body.finished() {
		return !x.last
	}
	c.linger(x)
	return false
}

// linger takes what a caller still sends after its answer, for a short time.
func (c *conn) linger(x *exchange) {
	select {
	case <-x.written:
	case <-c.ended:
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.reader, maxLinger)
}

func expectsContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// reject answers what is no request, unless the caller has left.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	var large headerTooLargeError
	switch {
	case errors.As(err, &large):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		c.cancel()
		return
	}
	x := &exchange{
		request: &Request{HTTP: &http.Request{Method: http.MethodGet}},
		answer:  make(chan *Answer, 1),
		written: make(chan struct{}),
		last:    true,
	}
	if !c.begin() {
		return
	}
	x.answer <- c.server.handler.Reject(status, err)
	c.pending <- x
	c.linger(x)
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}
