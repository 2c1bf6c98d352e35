package httpserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"time"

	"redwingpoint.org/redwingpoint/internal/contain"
)

// closeGracefully closes the write side first and then discards input for a short time,
// because closing with unread input would reset the connection and the caller could lose
// the last response. If that was written long ago, it closes at once: a caller that sends a
// request at this moment learns that it wasn't read.
func (c *conn) closeGracefully() {
	if halfCloser, ok := c.raw.(interface{ CloseWrite() error }); ok && c.ctx.Err() == nil && !c.isIdle(lingerTimeout) {
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
	w := bufio.NewWriterSize(c, writeBufferBytes)
	broken := false
	for x := range c.pending {
		c.answering.Store(x.request)
		response := <-x.response
		broken = !c.send(w, x, response, broken)
		c.account.Release(x.held)
		c.endRequest()
		c.endStreaming()
		c.answering.Store(nil)
		close(x.writeDone)
	}
}

// send sends one response, or discards it if the connection is broken. It reports false if
// nothing more can be sent.
func (c *conn) send(w *bufio.Writer, x *exchange, response *Response, broken bool) (ok bool) {
	defer contain.Panic("response writer", x.request.describe(), c.abort)
	if broken {
		if response != nil {
			response.discard()
		}
		return false
	}
	if response == nil || response.Remainder == nil || c.beginStreaming(false) {
		return c.writeResponse(w, x, response)
	}
	if !c.account.Reserve(maxSecuredBytes) {
		c.beginStreaming(true)
		return c.writeResponse(w, x, response)
	}
	defer c.account.Release(maxSecuredBytes)
	return c.writeResponse(w, x, c.secure(response))
}

// writeBufferBytes is the size of the buffer for writing responses.
const writeBufferBytes = 4 << 10

// maxSecuredBytes is the longest response in bytes that is read whole before it is sent, where
// requests behind it are served already.
const maxSecuredBytes = 1 << 20

// maxStreamedBytes is the longest response in bytes by its announced length that is sent
// before requests behind it that are served already, without having been read whole.
const maxStreamedBytes = 64 << 20

// secure keeps a response that breaks off from taking others with it that are served already,
// since it can only end by closing the connection. It is read whole, so that another can take
// its place. Beyond maxSecuredBytes it gives way to those behind it if it may not end and can be
// replaced; else it is sent as it is, and further requests are held back.
func (c *conn) secure(r *Response) *Response {
	buffered := bytes.NewBuffer(r.Body)
	n, err := io.CopyN(buffered, r.Remainder, maxSecuredBytes)
	r.Body = buffered.Bytes()
	switch {
	case err == io.EOF && (r.ContentLength < 0 || int64(len(r.Body)) == r.ContentLength):
		_ = r.Remainder.Close()
		r.Remainder = nil
	case err == nil && n == maxSecuredBytes && r.OnTooLong != nil && !r.endsSoon():
		other := r.OnTooLong()
		r.discard()
		return other
	case err == nil && n == maxSecuredBytes:
		c.beginStreaming(true)
	case r.OnBroken != nil:
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		other := r.OnBroken(err)
		r.discard()
		return other
	}
	return r
}

// endsSoon reports whether the announced length lets a response end that is longer than
// maxSecuredBytes.
func (r *Response) endsSoon() bool {
	return r.ContentLength >= 0 && r.ContentLength <= maxStreamedBytes
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
