package responsehead

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// Conn is a connection on which requests are sent one after the other. Its Read fails with
// *MalformedError if the head of a response is malformed, in place of returning it. Read may
// be called by one goroutine at a time, the other methods by any.
type Conn struct {
	net.Conn
	// begun counts the requests.
	begun atomic.Uint64
	// validator is that of the response to request number validated. Only Read uses them.
	validator Validator
	validated uint64
}

// NewConn returns a Conn that reads from c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin says that a request will be sent, so that the next byte begins a response.
func (c *Conn) Begin() { c.begun.Add(1) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if begun := c.begun.Load(); begun != c.validated {
		c.validator, c.validated = Validator{}, begun
	}
	if err := c.validator.Validate(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// DialFunc opens a connection for an http.Transport.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer returns a DialFunc whose connections are Conns. The requests sent on them need a
// context from WithRequest.
func Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
}

// WithRequest returns the context of a request that an http.Transport sends on a Conn.
func WithRequest(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Begin()
		}
	}})
}
