package httpserver

import (
	"bufio"
	"io"
	"net"
	"time"
)

// closeGracefully closes the write side first and then discards input for a short time,
// because closing with unread input would reset the connection and the caller could lose
// the last response.
func (c *conn) closeGracefully() {
	if halfCloser, ok := c.raw.(interface{ CloseWrite() error }); ok && c.ctx.Err() == nil {
		if halfCloser.CloseWrite() == nil {
			_ = c.raw.SetReadDeadline(time.Now().Add(lingerTimeout))
			_, _ = io.CopyN(io.Discard, c.raw, maxLingerBytes)
		}
	}
	_ = c.raw.Close()
}

// write sends the responses in the order of the requests until pending is closed.
func (c *conn) write() {
	defer close(c.writerDone)
	w := bufio.NewWriterSize(c.raw, 4<<10)
	broken := false
	for x := range c.pending {
		response := <-x.response
		if !broken {
			broken = !c.writeResponse(w, x, response)
		} else if response != nil {
			response.discard()
		}
		c.endRequest()
		close(x.writeDone)
	}
}

// discard releases a response that can't be sent.
func (r *Response) discard() {
	if r.Remainder != nil {
		_ = r.Remainder.Close()
	}
	if r.OnWritten != nil {
		r.OnWritten(net.ErrClosed)
	}
}

// writeResponse sends one response. It reports false if nothing more can be sent on the
// connection.
func (c *conn) writeResponse(w *bufio.Writer, x *exchange, response *Response) bool {
	if response == nil {
		c.abort()
		return false
	}
	// Requests that were read must be answered, so that only the response to the last of
	// them closes the connection.
	closeAfter := x.closeAfter.Load() || (c.server.draining.Load() && c.closeIfLast())
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := response.write(w, x.request.HTTP.Method, closeAfter)
	if response.OnWritten != nil {
		response.OnWritten(err)
	}
	if err != nil {
		c.abort()
		return false
	}
	if closeAfter && !x.closeAfter.Load() {
		// The reader waits for another request, but the caller was told that the
		// connection closes.
		c.interruptRead()
	}
	return true
}

// abort cancels all requests of the connection and closes it.
func (c *conn) abort() {
	c.cancel()
	_ = c.raw.Close()
}

// interruptRead makes the current and later reads fail, which ends the wait for another
// request.
func (c *conn) interruptRead() {
	_ = c.raw.SetReadDeadline(time.Now().Add(-time.Second))
}

// closeIdle closes the connection if no request is open and no byte of one has arrived.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openRequests == 0 && c.awaitingRequest.Load() {
		c.closing = true
		c.interruptRead()
	}
}
