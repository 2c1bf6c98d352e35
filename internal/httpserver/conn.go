package httpserver

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

	"redwingpoint.org/redwingpoint/internal/callers"
	"redwingpoint.org/redwingpoint/internal/contain"
)

const (
	// maxPipelined bounds the pipelined requests of one connection that are served
	// concurrently behind the one to be answered next. Further ones wait until a response
	// was sent.
	maxPipelined = 16
	// readBufferBytes is the size of a connection's read buffer.
	readBufferBytes = 4 << 10
	// writeTimeout bounds the time without progress of a write to a caller that reads slowly
	// or not at all.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long input is still read before a connection is closed.
	// Closing with unread input would reset the connection, and the caller could lose the
	// response.
	lingerTimeout = 300 * time.Millisecond
	// maxLingerBytes is the largest amount of input in bytes that is read within
	// lingerTimeout.
	maxLingerBytes = 1 << 20
)

// conn is one connection of a caller. One goroutine reads requests, one writes responses
// in the order of the requests, and each request is served in its own goroutine.
type conn struct {
	server  *Server
	raw     net.Conn
	reader  *bufio.Reader
	pending chan *exchange
	// account is what the connection holds, or nil. It is set before serve.
	account *callers.Account
	// writeBlocked is set while a write to the caller is pending.
	writeBlocked atomic.Bool
	// body is the body of the request that was read last, or nil.
	body   atomic.Pointer[body]
	ctx    context.Context
	cancel context.CancelFunc
	// answering is the request that is to be answered next, or nil.
	answering atomic.Pointer[Request]
	// previous is the latest request that was read, or nil. Only the reading goroutine uses it.
	previous *exchange
	// writerDone is closed when the writing goroutine has ended.
	writerDone chan struct{}
	openedAt   time.Time

	mu sync.Mutex
	// openRequests is the number of requests that were read and not yet answered;
	// idleSince is the time of the latest response, zero before the first.
	openRequests int
	idleSince    time.Time
	// streaming is open while a response is sent whose body can still break off, which ends
	// the connection; nil if there is none. Requests that are read meanwhile are served when
	// it is closed.
	streaming chan struct{}
	// closing is set once the caller was told, or is about to be told, that the
	// connection closes, so that no further request is accepted.
	closing bool
	// awaitingRequest is set while no byte of a further request was read, endsIdle once the
	// connection is to close unless one has arrived.
	awaitingRequest, endsIdle bool
	// inputEnded is set once no further request is read.
	inputEnded bool
}

// exchange is one request and its response on a connection.
type exchange struct {
	request *Request
	// response receives exactly one value; nil closes the connection without a response.
	response chan *Response
	// held is what the request's head, and then its response, take in bytes, reserved in the
	// connection's account.
	held int64
	// closeAfter is set if the connection closes after the response.
	closeAfter atomic.Bool
	// writeDone is closed when the response was written.
	writeDone chan struct{}
}

// newExchange returns the exchange of a request.
func newExchange(r *Request, closeAfter bool) *exchange {
	x := &exchange{request: r, response: make(chan *Response, 1), writeDone: make(chan struct{})}
	x.closeAfter.Store(closeAfter)
	return x
}

// Read implements io.Reader for the connection's buffer.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.raw.Read(p)
	if n > 0 {
		c.account.Moved(n)
	}
	return n, err
}

// Write implements io.Writer for the writing goroutine. It bounds the time without progress.
func (c *conn) Write(p []byte) (int, error) {
	c.writeBlocked.Store(true)
	defer c.writeBlocked.Store(false)
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.raw.Write(p)
	if n > 0 {
		c.account.Moved(n)
	}
	return n, err
}

// newConn returns a connection of a server.
func newConn(s *Server, raw net.Conn) *conn {
	c := &conn{
		server:     s,
		raw:        raw,
		pending:    make(chan *exchange, maxPipelined),
		writerDone: make(chan struct{}),
		openedAt:   time.Now(),
	}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	return c
}

// serve runs the connection until it is closed.
func (c *conn) serve() {
	defer c.cancel()
	go c.write()
	c.readRequests()
	c.endInput()
	c.drainInput()
	c.closeGracefully()
}

// readRequests reads requests until no further one may be read.
func (c *conn) readRequests() {
	defer contain.Panic("request reader", c.Caller(), c.abort)
	for c.readRequest() {
	}
}

// endInput records that no further request is read.
func (c *conn) endInput() {
	c.mu.Lock()
	c.inputEnded = true
	c.mu.Unlock()
	close(c.pending)
}

// drainInput waits until all responses are written. If the caller disconnects before
// that, it cancels the requests that are still served.
func (c *conn) drainInput() {
	interrupted := make(chan struct{})
	go func() {
		<-c.writerDone
		c.interruptRead()
		close(interrupted)
	}()
	// A later interruption would end the discarding of input that follows.
	defer func() { <-interrupted }()
	_ = c.raw.SetReadDeadline(time.Time{})
	select {
	case <-c.writerDone:
		return
	default:
	}
	_, err := io.Copy(io.Discard, c.reader)
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
	<-c.writerDone
}

// beginRequest counts a request that was read. It reports false if the connection is
// closing, in which case the request must not be served. If streaming isn't nil, it must not
// be served before that is closed.
func (c *conn) beginRequest() (streaming <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing {
		c.openRequests++
	}
	return c.streaming, !c.closing
}

// beginStreaming holds back further requests until endStreaming, unless others than the one
// that is being answered are open and force isn't set. It reports whether it did.
func (c *conn) beginStreaming(force bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !force && c.openRequests > 1 {
		return false
	}
	c.streaming = make(chan struct{})
	return true
}

// endStreaming lets the requests be served that were held back.
func (c *conn) endStreaming() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.streaming != nil {
		close(c.streaming)
	}
	c.streaming = nil
}

// endRequest counts the response to a request.
func (c *conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openRequests--
	c.idleSince = time.Now()
}

// closeIfLast marks the connection as closing if the request that is being answered is
// the only open one. It reports whether the connection is closing.
func (c *conn) closeIfLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests == 1 {
		c.closing = true
	}
	return c.closing
}

// isClosing reports whether no further request is accepted.
func (c *conn) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// readRequest reads one request and starts to serve it. It reports false if no further
// request may be read.
func (c *conn) readRequest() bool {
	if !c.awaitRequest() {
		return false
	}
	limits := c.server.limits()
	_ = c.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	req, held, err := c.readHead(limits.HeaderBytes)
	if err != nil {
		c.reject(err)
		return false
	}
	_ = c.raw.SetReadDeadline(time.Time{})
	x := newExchange(c.request(req), req.Close || c.server.draining.Load())
	x.held = held
	return c.startServing(x)
}

// request returns the Request for a parsed request.
func (c *conn) request(req *http.Request) *Request {
	path, query, forceQuery := SplitTarget(req.RequestURI)
	return &Request{
		HTTP:          req,
		RequestTarget: req.RequestURI,
		Path:          path,
		Query:         query,
		ForceQuery:    forceQuery,
		ReceivedAt:    time.Now(),
		Lifetime:      c.server.ctx,
		Account:       c.account,
	}
}

// startServing serves a request and reports whether the next one may be read. Requests
// without a body are served concurrently. Otherwise the body owns the connection's input until
// it was read to its end, or until the response was written.
func (c *conn) startServing(x *exchange) bool {
	streaming, ok := c.beginRequest()
	if !ok {
		return false
	}
	c.enqueue(x)
	body := newBody(c, x.request.HTTP)
	c.body.Store(body)
	x.request.HTTP.Body, x.request.BodyDeadline = body, body.setDeadline
	if body.expectsContinue && !c.awaitPrevious() {
		x.response <- nil
		return false
	}
	c.previous = x
	handlerDone := make(chan struct{})
	go func() {
		defer close(handlerDone)
		response := c.serveRequest(x, streaming)
		if !body.handlerReturned() {
			// The rest of the body would be parsed as a request.
			x.closeAfter.Store(true)
		}
		if response != nil {
			n := int64(cap(response.Body))
			c.account.Hold(n)
			x.held += n
		}
		x.response <- response
	}()
	select {
	case <-body.done:
		return !x.closeAfter.Load()
	case <-handlerDone:
	}
	select {
	case <-body.done:
		return !x.closeAfter.Load()
	default:
	}
	c.discardInput(x, body)
	return false
}

// enqueue hands a request to the writing goroutine. While there are too many before it, it cancels
// them if the caller disconnects.
func (c *conn) enqueue(x *exchange) {
	select {
	case c.pending <- x:
		return
	default:
	}
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		c.watchInput()
	}()
	c.pending <- x
	c.interruptRead()
	<-watched
	_ = c.raw.SetReadDeadline(time.Time{})
}

// watchInput reads ahead until it is interrupted, the read buffer is full or the caller
// disconnects, which cancels the open requests.
func (c *conn) watchInput() {
	defer contain.Panic("request reader", c.Caller(), c.abort)
	for {
		_, err := c.reader.Peek(c.reader.Buffered() + 1)
		switch {
		case err == nil:
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, bufio.ErrBufferFull):
			return
		default:
			c.cancel()
			return
		}
	}
}

// serveRequest returns the response to a request. It waits until streaming is closed if that
// isn't nil.
func (c *conn) serveRequest(x *exchange, streaming <-chan struct{}) (response *Response) {
	defer contain.Panic("request handler", x.request.describe(), func() {
		// A target may have run the request.
		response = c.server.handler.Reject(http.StatusBadGateway, PanicError{})
	})
	if streaming != nil {
		select {
		case <-streaming:
		case <-c.ctx.Done():
		}
	}
	if c.ctx.Err() != nil {
		// The connection has ended, and this request was in its buffer.
		return nil
	}
	return c.server.handler.Serve(c.ctx, x.request)
}

// awaitPrevious waits until the response to the previous request was written, since 100
// Continue must not come before or within it. It reports false if nothing more is written.
func (c *conn) awaitPrevious() bool {
	if c.previous == nil {
		return true
	}
	select {
	case <-c.previous.writeDone:
		return c.ctx.Err() == nil
	case <-c.writerDone:
		return false
	}
}

// discardInput reads and discards input for a short time after a response, so that closing the
// connection does not reset it. Until the response was written, a target may still read the
// body. The body is nil if the request has none.
func (c *conn) discardInput(x *exchange, body *body) {
	select {
	case <-x.writeDone:
	case <-c.writerDone:
	}
	if body != nil {
		body.takeInput()
	}
	_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.reader, maxLingerBytes)
}

// hasExpectContinue reports whether the caller waits for 100 Continue before it sends the
// body.
func hasExpectContinue(req *http.Request) bool {
	return strings.EqualFold(req.Header.Get("Expect"), "100-continue")
}

// reject responds to input that is not an acceptable request, unless the caller has
// disconnected.
func (c *conn) reject(err error) {
	status := http.StatusBadRequest
	var tooLarge HeadTooLargeError
	var noMemory NoMemoryError
	var malformed *MalformedHeadError
	switch {
	case errors.As(err, &malformed):
	case errors.As(err, &tooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &noMemory):
		status = http.StatusServiceUnavailable
	case errors.Is(err, os.ErrDeadlineExceeded):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isConnError(err):
		c.cancel()
		return
	}
	x := newExchange(&Request{HTTP: &http.Request{Method: http.MethodGet}}, true)
	if _, ok := c.beginRequest(); !ok {
		return
	}
	x.response <- c.server.handler.Reject(status, err)
	c.pending <- x
	c.discardInput(x, nil)
}

// isConnError reports whether err is an error of the connection other than a timeout.
func isConnError(err error) bool {
	var op *net.OpError
	return (errors.As(err, &op) && !op.Timeout()) || errors.Is(err, io.ErrClosedPipe)
}
