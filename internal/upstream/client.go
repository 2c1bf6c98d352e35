package upstream

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/routing"
)

// Call is one attempt to send a request to one target.
type Call struct {
	Endpoint *routing.Endpoint
	Method   string
	// Host is the value of the Host field; empty means the target's address.
	Host string
	// Path is the escaped path, which is sent byte for byte.
	Path string
	// Query is the raw query without the question mark. ForceQuery adds the question mark of
	// an empty one.
	Query      string
	ForceQuery bool
	Header     http.Header
	Body       io.Reader
	// ContentLength is the body's length in bytes, or -1 if unknown.
	ContentLength int64
	// MaxIdle is the longest time since a reused connection completed a response; zero
	// asks for a new connection.
	MaxIdle time.Duration
	// KeepAlive allows the connection to be reused after a complete response.
	KeepAlive bool
	// Commit, if set, is called once a connection is ready and before the first byte may
	// be written. If it reports false, nothing is sent.
	Commit func() bool
	// OnWrite, if set, is called with the number of bytes of each write to a new
	// connection.
	OnWrite func(bytes int)
	// OnClose, if set, is called when a new connection is closed. It must unblock a
	// pending read of Body.
	OnClose func()
}

// Response is the response of a target. The caller must close Body, which ends the
// exchange; closing a body that was not read to its end closes the connection.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the body's length in bytes, or -1 if unknown.
	ContentLength int64
	Body          io.ReadCloser
	// Reused is set if the exchange ran on a connection that was used before.
	Reused bool
	// Shed is set if the target states that it did not start the request.
	Shed bool
	// Draining is set if the target states that it is draining.
	Draining bool
	// Signed is set if the response has the signature field of a target.
	Signed bool
}

// Client sends requests to targets over HTTP/1.1. Each call is written to one connection
// at most once and is never retried. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	epoch     time.Time
	pools     pools
	protocol  *Protocol
	// OnStatement, if set before the first call, is called when a target's statement about
	// itself differs from the one before.
	OnStatement func(e *routing.Endpoint, before, now routing.Statement)
	// MaxConnections, if set before the first call, is the number of connections to all
	// targets that may be open; a few calls at once may exceed it.
	MaxConnections int
	connections    atomic.Int64
	// OnCold, if set before the first call, is called when a target says that it is cold and
	// wasn't before.
	OnCold func(e *routing.Endpoint, coldFor time.Duration)
}

// NewClient returns a client without connections that uses redwingpoint's own protocol.
func NewClient() *Client { return NewClientWithDialer(dialTCP) }

// NewClientWithProtocol is like NewClient but uses the protocol p.
func NewClientWithProtocol(p *Protocol) *Client {
	c := NewClient()
	c.protocol = p
	return c
}

// NewClientWithDialer is like NewClient but opens connections with dial.
func NewClientWithDialer(dial Dialer) *Client {
	c := &Client{epoch: time.Now(), protocol: defaultProtocol}
	c.transport = newTransport(dial, &c.connections)
	c.pools.current.Store(&map[netip.AddrPort]*pool{})
	return c
}

// elapsed returns the time since the client's epoch.
func (c *Client) elapsed() time.Duration { return time.Since(c.epoch) }

// Do sends one call and returns when the response header has arrived. The context bounds
// the whole exchange, including the response body. Errors are *CallError.
func (c *Client) Do(ctx context.Context, call Call) (*Response, error) {
	p := c.pools.get(c, call.Endpoint.Target.Addr)
	request, err := newRequest(ctx, p.host, call)
	if err != nil {
		return nil, &CallError{Target: call.Endpoint.Target.ID, Reason: NotCommitted, Cause: err}
	}
	cn, err := c.connect(ctx, p, call)
	if err != nil {
		return nil, &CallError{Target: call.Endpoint.Target.ID, Reason: dialReason(ctx), Cause: err}
	}
	if call.Commit != nil && !call.Commit() {
		cn.close()
		return nil, &CallError{Target: call.Endpoint.Target.ID, Reason: NotCommitted, Cause: errNotCommitted}
	}
	startedAt := c.elapsed()
	recentlyVerified := startedAt-cn.verifiedAt <= maxVerifiedAge
	cn.trackedConn.written.Store(false)
	cn.trackedConn.Begin()
	resp, err := cn.http.RoundTrip(request)
	if err != nil {
		cn.close()
		if cn.reused {
			p.requireVerifiedSince(startedAt)
		}
		return nil, newCallError(ctx, call.Endpoint.Target.ID, cn, recentlyVerified, err)
	}
	if problem := c.protocol.responseProblem(call, resp); problem != "" {
		cn.close()
		return nil, &CallError{
			Target: call.Endpoint.Target.ID,
			Reason: InvalidResponse,
			Sent:   true,
			Reused: cn.reused,
			Cause:  &InvalidResponseError{Problem: problem},
		}
	}
	cn.recordKeepAlive(resp.Header)
	recordLoad(call.Endpoint, resp.Header)
	c.recordStatement(call, resp)
	return c.newResponse(ctx, p, cn, call, resp), nil
}

// connect returns an idle connection that is recent enough for the call, or opens one.
func (c *Client) connect(ctx context.Context, p *pool, call Call) (*conn, error) {
	if call.MaxIdle > 0 {
		if cn := p.get(call.MaxIdle); cn != nil {
			return cn, nil
		}
	}
	cn, err := c.open(ctx, call.Endpoint.Target.Addr)
	if err != nil {
		return nil, err
	}
	cn.trackedConn.onWrite = call.OnWrite
	cn.trackedConn.onClose = call.OnClose
	return cn, nil
}

// ConnectionCount returns the number of open connections to targets.
func (c *Client) ConnectionCount() int { return int(c.connections.Load()) }

// CloseIdleConnections closes the idle connections.
func (c *Client) CloseIdleConnections() {
	for _, p := range *c.pools.current.Load() {
		p.closeAll()
	}
}

func (c *Client) newResponse(ctx context.Context, p *pool, cn *conn, call Call, resp *http.Response) *Response {
	b := &responseBody{
		ctx:      ctx,
		body:     resp.Body,
		pool:     p,
		conn:     cn,
		target:   call.Endpoint.Target.ID,
		reusable: call.KeepAlive && !resp.Close,
	}
	return &Response{
		Status:        resp.StatusCode,
		Header:        resp.Header,
		ContentLength: resp.ContentLength,
		Body:          b,
		Reused:        cn.reused,
		Shed:          c.protocol.NotRun(resp.StatusCode, resp.Header),
		Draining:      resp.Header.Get(HeaderDraining) == "true",
		Signed:        c.protocol.Signature != "" && resp.Header.Get(c.protocol.Signature) != "",
	}
}

// recordStatement records what a target states about itself. An unsigned response, such as
// that to a probe, may add to that but withdraws nothing; one of another target at the same
// address is ignored.
func (c *Client) recordStatement(call Call, resp *http.Response) {
	id := resp.Header.Get(c.protocol.TargetID)
	if c.protocol.ParseStatement == nil || (id != "" && id != string(call.Endpoint.Target.ID)) {
		return
	}
	stated := c.protocol.ParseStatement(resp.StatusCode, resp.Header)
	signed := resp.Header.Get(c.protocol.Signature) != ""
	before, now := call.Endpoint.Load.RecordStatement(stated, signed, routing.Monotonic())
	if before != now && c.OnStatement != nil {
		c.OnStatement(call.Endpoint, before, now)
	}
}

// recordLoad records the number of running requests that a target reports.
func recordLoad(e *routing.Endpoint, h http.Header) {
	text := h.Get(HeaderInFlight)
	if text == "" {
		return
	}
	if n, err := strconv.Atoi(text); err == nil {
		e.Load.Report(n, time.Now())
	}
}
