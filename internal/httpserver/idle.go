package httpserver

import (
	"errors"
	"os"
	"time"
)

// awaitRequest waits for the first byte of a request. It reports false if the connection
// is closing, was idle for too long, or the caller disconnected, which also cancels the
// requests that are still served.
func (c *conn) awaitRequest() bool {
	for {
		idle := c.server.limits().IdleTimeout
		_ = c.raw.SetReadDeadline(time.Now().Add(idle))
		if c.isClosing() {
			return false
		}
		c.setAwaiting(c.reader.Buffered() == 0)
		_, err := c.reader.Peek(1)
		endsIdle := c.setAwaiting(false)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
			return false
		}
		if endsIdle || c.isIdle(idle) {
			return c.hasInput()
		}
	}
}

// setAwaiting sets whether the connection awaits a request, and reports whether it is to close
// unless one has arrived.
func (c *conn) setAwaiting(awaiting bool) (endsIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = awaiting
	return c.endsIdle
}

// lastLookTimeout is how long an idle connection still reads before it closes: longer than a busy
// process takes from the decision to the read.
const lastLookTimeout = 50 * time.Millisecond

// hasInput reports whether input has arrived before an idle connection closes. An interrupted read
// doesn't tell: a caller that sent a request in time must get a response.
func (c *conn) hasInput() bool {
	_ = c.raw.SetReadDeadline(time.Now().Add(lastLookTimeout))
	_, err := c.reader.Peek(1)
	return err == nil
}

// isIdle reports whether no request was open for the duration d.
func (c *conn) isIdle(d time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openRequests == 0 && time.Since(c.idleSince) >= d
}

// firstRequestWait is how long a shutdown leaves a new connection open for its first request:
// a caller opens one to send a request, which follows within a round trip.
const firstRequestWait = 500 * time.Millisecond

// closeIdle makes the reading goroutine close the connection if no request is open and none has
// arrived, unless the connection is new and its first request may be on the way.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idleSince.IsZero() && time.Since(c.openedAt) < firstRequestWait {
		return
	}
	if c.openRequests == 0 && c.awaitingRequest {
		c.endsIdle = true
		c.interruptRead()
	}
}
