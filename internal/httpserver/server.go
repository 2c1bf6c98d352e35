package httpserver

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/callers"
	"redwingpoint.org/redwingpoint/internal/contain"
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
	// minAcceptPause and maxAcceptPause bound the pause after a failure of Accept.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
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
	cancel       context.CancelCauseFunc
	draining     atomic.Bool
	// Budget, if set before Serve, bounds what the connections hold.
	Budget *callers.Budget
	// OnAcceptError, if set before Serve, is called when Accept fails and is tried again.
	OnAcceptError func(error)

	mu    sync.Mutex
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server. It calls limits for each request; zero fields of the result
// mean the defaults.
func NewServer(h Handler, limits func() route.Limits) *Server {
	s := &Server{handler: h, limitsSource: limits, conns: make(map[*conn]struct{})}
	s.ctx, s.cancel = context.WithCancelCause(context.Background())
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

// Serve accepts connections until the listener is closed. It always returns an error. Other
// failures of Accept, such as the want of a descriptor, pass.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := AcceptNext(s.ctx, l, func(err error) {
			s.Budget.CloseStalled()
			if s.OnAcceptError != nil {
				s.OnAcceptError(err)
			}
		})
		if err != nil {
			return err
		}
		c := newConn(s, raw)
		var ok bool
		if c.account, ok = s.Budget.Open(c); !ok {
			c.abort()
			continue
		}
		s.add(c)
		go func() {
			defer s.remove(c)
			defer contain.Panic("caller connection", c.Caller(), c.abort)
			c.serve()
		}()
	}
}

// AcceptNext returns the next connection of a listener. After a failure other than the
// listener's end it calls onError and tries again, with growing pauses. The error is that of
// the listener's end or of the context.
func AcceptNext(ctx context.Context, l net.Listener, onError func(error)) (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		c, err := l.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			// Only StopAccepting sets a deadline.
			return nil, net.ErrClosed
		}
		onError(err)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// lastAcceptTime is how long StopAccepting still accepts connections.
const lastAcceptTime = 50 * time.Millisecond

// StopAccepting closes a listener after Serve has had time to accept the connections that wait:
// closing resets them, and with them the requests that were sent on them.
func (s *Server) StopAccepting(l net.Listener) error {
	if d, ok := l.(interface{ SetDeadline(time.Time) error }); ok && d.SetDeadline(time.Now().Add(lastAcceptTime)) == nil {
		time.Sleep(lastAcceptTime)
	}
	return l.Close()
}

// PanicError takes the place of the response of a handler that panicked.
type PanicError struct{}

func (PanicError) Error() string { return "the handler panicked" }

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
	c.account.Close()
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

// ClosedError is the cause of the contexts of requests that Shutdown cancels.
type ClosedError struct{}

func (ClosedError) Error() string { return "the server has closed" }

// lastResponseTime is how long Shutdown waits for the responses to requests that it cancels.
const lastResponseTime = 150 * time.Millisecond

// Shutdown closes idle connections and waits until all others have closed. If the context
// ends first, Shutdown cancels the remaining requests, waits lastResponseTime for their
// responses and returns the context's error. Drain must be called before.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.cancel(ClosedError{})
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
			s.cancel(ClosedError{})
			select {
			case <-allClosed:
			case <-time.After(lastResponseTime):
			}
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
