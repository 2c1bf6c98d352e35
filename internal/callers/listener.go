package callers

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// minHold is how long a connection of a NewListener stays open for its next bytes before it may
// be closed for a further one. Callers wait for their turn meanwhile: without it, a crowd that
// connects anew as soon as it is cut off closes each connection before its request is read.
const minHold = 20 * time.Millisecond

// NewListener returns a listener that keeps at most limit connections open: before a further
// one it closes the one that has received nothing for longest, which takes up to minHold. It is
// for addresses whose callers need one short request, such as readiness checks, and is safe for
// concurrent use.
func NewListener(l net.Listener, limit int) net.Listener {
	return &boundedListener{Listener: l, limit: limit}
}

// boundedListener implements NewListener.
type boundedListener struct {
	net.Listener
	limit int

	mu sync.Mutex
	// open holds the open connections as *boundedConn, the one without bytes for longest first.
	open list.List
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	// place is the connection's element of open, or nil once it was removed. heardAt is when it
	// last received something or was accepted.
	place   *list.Element
	heardAt time.Time
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		wait := l.makeRoom()
		if wait <= 0 {
			break
		}
		time.Sleep(wait)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &boundedConn{Conn: raw, listener: l, heardAt: time.Now()}
	c.place = l.open.PushBack(c)
	return c, nil
}

// makeRoom closes a connection if there is no place for a further one. It returns how long to
// wait before it may, or zero once there is a place.
func (l *boundedListener) makeRoom() (wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.Len() < l.limit {
		return 0
	}
	silent := l.open.Front().Value.(*boundedConn)
	if wait := minHold - time.Since(silent.heardAt); wait > 0 {
		return wait
	}
	l.remove(silent)
	_ = silent.Conn.Close()
	return 0
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.heardAt = time.Now()
		if c.place != nil {
			c.listener.open.MoveToBack(c.place)
		}
	}
	return n, err
}

// remove takes a connection from open. The caller must hold l.mu.
func (l *boundedListener) remove(c *boundedConn) {
	if c.place != nil {
		l.open.Remove(c.place)
		c.place = nil
	}
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
