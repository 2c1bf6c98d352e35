package httpserver

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

const (
	// defaultHeaderBytes is the largest request header in bytes unless the configuration
	// sets another.
	defaultHeaderBytes = 32 << 10
	// defaultHeaderTimeout bounds the time to read a request header unless the
	// configuration sets another.
	defaultHeaderTimeout = 3 * time.Second
	// defaultIdleTimeout is how long a connection may stay idle unless the configuration
	// sets another.
	defaultIdleTimeout = 15 * time.Second
	// idleCheckInterval is how often Shutdown closes connections that have become idle.
	idleCheckInterval = 20 * time.Millisecond
)

// Handler responds to requests. Implementations must be safe for concurrent use.
type Handler interface {
	// Serve returns the response to a request; nil closes the connection without one. The
	// context ends when the caller disconnects.
	Serve(ctx context.Context, r *Request) *Response
	// Reject returns the response to input that is not an acceptable request.
	Reject(status int, cause error) *Response
}

// Server serves the connections of callers. It is safe for concurrent use.
type Server struct {
	handler      Handler
	limitsSource func() route.Limits
	ctx          context.Context
	cancel       context.CancelFunc
	draining     atomic.Bool

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server. It calls limits for each request; zero fields of the result
// mean the defaults.
func NewServer(h Handler, limits func() route.Limits) *Server {
	s := &Server{handler: h, limitsSource: limits, conns: make(map[*conn]struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// limits returns the limits in force, with the defaults for zero fields.
func (s *Server) limits() route.Limits {
	l := s.limitsSource()
	l.HeaderBytes = cmp.Or(l.HeaderBytes, defaultHeaderBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, defaultHeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, defaultIdleTimeout)
	return l
}

// Serve accepts connections until the listener is closed or fails. It always returns an
// error.
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

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain makes each connection close after its last pending response. New connections are
// still accepted; each serves one request.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes idle connections and waits until all others have closed. If the context
// ends first, Shutdown cancels the remaining requests and returns the context's error.
// Drain must be called before.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.cancel()
	allClosed := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(allClosed)
	}()
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		s.closeIdle()
		select {
		case <-allClosed:
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
