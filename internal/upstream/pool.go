package upstream

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleTimeout is how long a connection may stay unused.
	idleTimeout = 15 * time.Second
	// maxIdle is the number of unused connections that are kept for one target.
	maxIdle = 32
)

// pool is a stack of the unused connections to one target. Its methods take no
// lock and are safe for concurrent use.
type pool struct {
	client *Client
	addr   netip.AddrPort
	host   string // addr as text
	head   atomic.Pointer[node]
	size   atomic.Int32
	// distrusted is a time since the client's epoch; connections that were
	// proven before it are not used again.
	distrusted atomic.Int64
	sweeping   atomic.Bool
}

// node is one entry of the stack. A node is never pushed twice, so that a
// compare-and-swap of the head can't mistake it for an earlier state.
type node struct {
	conn *conn
	next *node
}

// get returns a connection that was proven alive within maxAge, or nil.
func (p *pool) get(maxAge time.Duration) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if !p.usable(c, idleTimeout) {
			c.close()
			continue
		}
		if !p.usable(c, maxAge) {
			p.push(c)
			return nil
		}
		c.reused = true
		return c
	}
}

func (p *pool) usable(c *conn, maxAge time.Duration) bool {
	if c.http.Err() != nil || int64(c.provenAt) < p.distrusted.Load() {
		return false
	}
	unused := p.client.elapsed() - c.provenAt
	if c.keepFor > 0 && unused > c.keepFor {
		return false
	}
	return unused <= maxAge
}

// put returns a connection after a whole answer.
func (p *pool) put(c *conn) {
	c.provenAt = p.client.elapsed()
	if p.size.Load() >= maxIdle {
		c.close()
		return
	}
	p.push(c)
	if p.sweeping.CompareAndSwap(false, true) {
		time.AfterFunc(idleTimeout, p.sweep)
	}
}

// distrust stops the use of connections that were not proven since a time. It
// is called when one of them stayed silent.
func (p *pool) distrust(since time.Duration) {
	for {
		old := p.distrusted.Load()
		if old >= int64(since) || p.distrusted.CompareAndSwap(old, int64(since)) {
			return
		}
	}
}

func (p *pool) push(c *conn) {
	n := &node{conn: c}
	for {
		n.next = p.head.Load()
		if p.head.CompareAndSwap(n.next, n) {
			p.size.Add(1)
			return
		}
	}
}

func (p *pool) pop() *conn {
	for {
		n := p.head.Load()
		if n == nil {
			return nil
		}
		if p.head.CompareAndSwap(n, n.next) {
			p.size.Add(-1)
			return n.conn
		}
	}
}

// sweep closes connections that were unused for too long. It runs again while
// any are left, and forgets the pool after the last.
func (p *pool) sweep() {
	var kept []*conn
	for c := p.pop(); c != nil; c = p.pop() {
		if p.usable(c, idleTimeout) {
			kept = append(kept, c)
		} else {
			c.close()
		}
	}
	for i := len(kept) - 1; i >= 0; i-- {
		p.push(kept[i])
	}
	if len(kept) > 0 {
		time.AfterFunc(idleTimeout, p.sweep)
		return
	}
	p.sweeping.Store(false)
	p.client.pools.drop(p.addr)
}

// closeAll closes every unused connection.
func (p *pool) closeAll() {
	for c := p.pop(); c != nil; c = p.pop() {
		c.close()
	}
}

// pools finds the pool of a target by read-copy-update: readers take no lock.
type pools struct {
	current atomic.Pointer[map[netip.AddrPort]*pool]
	mu      sync.Mutex
}

func (s *pools) get(c *Client, addr netip.AddrPort) *pool {
	if p := (*s.current.Load())[addr]; p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := *s.current.Load()
	if p := old[addr]; p != nil {
		return p
	}
	next := maps.Clone(old)
	p := &pool{client: c, addr: addr, host: addr.String()}
	next[addr] = p
	s.current.Store(&next)
	return p
}

func (s *pools) drop(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(*s.current.Load())
	delete(next, addr)
	s.current.Store(&next)
}
