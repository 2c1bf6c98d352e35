package responsehead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// UnsolicitedError reports bytes that arrived while no request was open.
type UnsolicitedError struct{}

func (UnsolicitedError) Error() string { return "bytes arrived without a request" }

// Conn is a connection on which requests are sent one after the other. Its Read fails with
// *MalformedError if the head of a response is malformed, and with UnsolicitedError if bytes
// arrive before Begin or after End, in place of returning them. Read may be called by one
// goroutine at a time, the other methods by any.
type Conn struct {
	net.Conn
	// begun counts the requests, open is set while one is.
	begun atomic.Uint64
	open  atomic.Bool
	// validator is that of the response to request number validated. Only Read uses them.
	validator Validator
	validated uint64
}

// NewConn returns a Conn that reads from c and has no request open.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin says that a request will be sent, so that the next byte begins a response.
func (c *Conn) Begin() {
	c.begun.Add(1)
	c.open.Store(true)
}

// End says that the response was read whole, as far as the caller is concerned.
func (c *Conn) End() { c.open.Store(false) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.open.Load() {
		return 0, UnsolicitedError{}
	}
	if begun := c.begun.Load(); begun != c.validated {
		c.validator, c.validated = Validator{}, begun
	}
	if err := c.validator.Validate(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// maxHeadBytes is the largest head in bytes that a transport of NewTransport accepts.
const maxHeadBytes = 64 << 10

// NewTransport returns a transport over Conns that are opened by dial. Its requests need a
// context from WithRequest.
func NewTransport(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return NewConn(raw), nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// WithRequest returns the context of a request that a transport of NewTransport sends.
func WithRequest(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Begin()
		}
	}})
}
