package upstream

import (
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// idleTimeout is how long a connection may stay idle before it is closed.
	idleTimeout = 15 * time.Second
	// maxIdle is the largest number of idle connections to one target.
	maxIdle = 32
)

// pool is a lock-free stack of the idle connections to one target. It is safe for
// concurrent use.
type pool struct {
	client *Client
	addr   netip.AddrPort
	host   string // addr as text
	head   atomic.Pointer[poolNode]
	size   atomic.Int32
	// minVerifiedAt is a time since the client's epoch in nanoseconds. Connections that
	// were last verified before it are not reused.
	minVerifiedAt  atomic.Int64
	sweepScheduled atomic.Bool
}

// poolNode is one entry of the stack. A node is pushed only once, which avoids the ABA
// problem of the compare-and-swap of the head.
type poolNode struct {
	conn *conn
	next *poolNode
}

// get returns a connection that was verified within maxAge, or nil if there is none.
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

// usable reports whether a connection may be reused if it was verified within maxAge.
func (p *pool) usable(c *conn, maxAge time.Duration) bool {
	if c.http.Err() != nil || int64(c.verifiedAt) < p.minVerifiedAt.Load() {
		return false
	}
	idleFor := p.client.elapsed() - c.verifiedAt
	if c.keepAliveTimeout >= 0 && idleFor > c.keepAliveTimeout {
		return false
	}
	return idleFor <= maxAge
}

// put returns a connection to the pool after a complete response.
func (p *pool) put(c *conn) {
	c.trackedConn.End()
	c.verifiedAt = p.client.elapsed()
	if p.size.Load() >= maxIdle {
		c.close()
		return
	}
	p.push(c)
	if p.sweepScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(idleTimeout, p.closeExpired)
	}
}

// requireVerifiedSince stops the reuse of connections that were last verified before a
// time. It is called when an exchange on a reused connection failed, since the other
// connections may be dead too.
func (p *pool) requireVerifiedSince(since time.Duration) {
	for {
		old := p.minVerifiedAt.Load()
		if old >= int64(since) || p.minVerifiedAt.CompareAndSwap(old, int64(since)) {
			return
		}
	}
}

func (p *pool) push(c *conn) {
	n := &poolNode{conn: c}
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

// closeExpired closes connections that were idle for too long. It reschedules itself
// while any are left and removes the pool from the client when none are.
func (p *pool) closeExpired() {
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
		time.AfterFunc(idleTimeout, p.closeExpired)
		return
	}
	p.sweepScheduled.Store(false)
	p.client.pools.remove(p.addr)
}

// closeAll closes all idle connections.
func (p *pool) closeAll() {
	for c := p.pop(); c != nil; c = p.pop() {
		c.close()
	}
}

// pools maps addresses to pools. The map is copied on write, so that lookups take no
// lock.
type pools struct {
	current atomic.Pointer[map[netip.AddrPort]*pool]
	mu      sync.Mutex
}

// get returns the pool of an address and creates it if there is none.
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

func (s *pools) remove(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := maps.Clone(*s.current.Load())
	delete(next, addr)
	s.current.Store(&next)
}
