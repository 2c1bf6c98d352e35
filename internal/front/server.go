package front

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// Limits that hold until a configuration names others.
const (
	defaultHeaderBytes   = 32 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// leaveCheck is how often a leaving server looks for connections that have
	// become idle.
	leaveCheck = 20 * time.Millisecond
)

// Handler answers requests. It is safe for concurrent use.
type Handler interface {
	// Serve returns the answer to a request; nil closes the connection without one.
	// The context ends when the caller leaves.
	Serve(ctx context.Context, r *Request) *Answer
	// Reject returns the answer to bytes that are no acceptable request.
	Reject(status int, cause error) *Answer
}

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	handler  Handler
	source   func() route.Limits
	ctx      context.Context
	cancel   context.CancelFunc
	draining atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server. Limits are asked for at each request; zero fields
// mean the defaults.
func NewServer(h Handler, limits func() route.Limits) *Server {
	s := &Server{handler: h, source: limits, conns: make(map[*conn]struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

func (s *Server) limits() route.Limits {
	l := s.source()
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// Serve accepts connections until the listener is closed; it always returns an error.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if err != nil {
			return err
		}
		c := newConn(s, raw)
		s.add(c)
		go func() {
			defer s.remove(c)
			c.serve()
		}()
	}
}

func (s *Server) add(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	s.wg.Add(1)
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.wg.Done()
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain lets each connection end with its next answer. New connections are
// accepted and served; each takes one request.
func (s *Server) Drain() { s.draining.Store(true) }

// Leave closes idle connections and waits until all others have ended or the
// context ends; then the rest is broken off. Drain comes first.
func (s *Server) Leave(ctx context.Context) error {
	defer s.cancel()
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	ticker := time.NewTicker(leaveCheck)
	defer ticker.Stop()
	for {
		s.closeIdle()
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *Server) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}
