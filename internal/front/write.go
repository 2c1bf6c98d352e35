package front

import (
	"bufio"
	"io"
	"net"
	"time"
)

// closeGently ends the own direction first: closing with unread bytes would reset
// the connection and could lose the last answer.
func (c *conn) closeGently() {
	if half, ok := c.raw.(interface{ CloseWrite() error }); ok && c.ctx.Err() == nil {
		if half.CloseWrite() == nil {
			_ = c.raw.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.CopyN(io.Discard, c.raw, maxLinger)
		}
	}
	_ = c.raw.Close()
}

// write sends the answers in the order of the requests.
func (c *conn) write() {
	defer close(c.ended)
	w := bufio.NewWriterSize(c.raw, 4<<10)
	broken := false
	for x := range c.pending {
		answer := <-x.answer
		if !broken {
			broken = !c.writeOne(w, x, answer)
		} else if answer != nil {
			answer.drop()
		}
		c.end()
		close(x.written)
	}
}

// drop ends an answer that can't be sent.
func (a *Answer) drop() {
	if a.Rest != nil {
		_ = a.Rest.Close()
	}
	if a.Written != nil {
		a.Written(net.ErrClosed)
	}
}

// writeOne reports false if nothing more can be sent.
func (c *conn) writeOne(w *bufio.Writer, x *exchange, answer *Answer) bool {
	if answer == nil {
		c.abandon()
		return false
	}
	// Requests that were read already must be answered, so that only the answer to
	// the last of them closes the connection.
	last := x.last || (c.server.draining.Load() && c.seal())
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := answer.write(w, x.request.HTTP.Method, last)
	if answer.Written != nil {
		answer.Written(err)
	}
	if err != nil {
		c.abandon()
		return false
	}
	if last && !x.last {
		// The reader waits for another request, which is told not to come.
		c.endReading()
	}
	return true
}

// abandon cancels everything on the connection and closes it.
func (c *conn) abandon() {
	c.cancel()
	_ = c.raw.Close()
}

// endReading ends the wait for another request once the caller was told that the
// connection closes.
func (c *conn) endReading() {
	_ = c.raw.SetReadDeadline(time.Now().Add(-time.Second))
}

// closeIdle closes the connection if no request is open or has begun to arrive.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == 0 && c.waiting.Load() {
		c.sealed = true
		c.endReading()
	}
}
