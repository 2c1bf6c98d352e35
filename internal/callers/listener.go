package callers

import (
	"container/list"
	"net"
	"sync"
)

// NewListener returns a listener that keeps at most limit connections open: before a further
// one it closes the oldest. It is for addresses whose callers need one short request, such as
// readiness checks, and is safe for concurrent use.
func NewListener(l net.Listener, limit int) net.Listener {
	return &boundedListener{Listener: l, limit: limit}
}

// boundedListener implements NewListener.
type boundedListener struct {
	net.Listener
	limit int

	mu sync.Mutex
	// open holds the open connections as *boundedConn, the oldest first.
	open list.List
}

// boundedConn is a connection of a boundedListener.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	// place is the connection's element of open, or nil once it was removed.
	place *list.Element
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: raw, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open.Len() >= l.limit {
		oldest := l.open.Front().Value.(*boundedConn)
		l.remove(oldest)
		_ = oldest.Conn.Close()
	}
	c.place = l.open.PushBack(c)
	return c, nil
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
