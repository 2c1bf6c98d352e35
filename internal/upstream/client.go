package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// Call is one attempt at one target.
type Call struct {
	Endpoint *routing.Endpoint
	Method   string
	// Path is the escaped path with its query.
	Path   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the body's length in bytes, or -1 if unknown.
	ContentLength int64
	// Fresh forbids the use of a pooled connection.
	Fresh bool
}

// Result is the answer of a target. The caller closes Body, which ends the exchange.
type Result struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// CallError reports an attempt without an answer.
type CallError struct {
	Target model.TargetID
	// Sent is set when at least one byte of the request may have reached the target.
	Sent  bool
	Cause error
}

func (e *CallError) Error() string {
	return "target " + string(e.Target) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Client exchanges requests with targets. It is safe for concurrent use.
type Client struct {
	pooled *http.Transport
	fresh  *http.Transport
}

const (
	dialTimeout     = 250 * time.Millisecond
	idleConnTimeout = 30 * time.Second
	maxIdlePerHost  = 32
)

// NewClient returns a client with empty connection pools.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: conn, sent: sentFlag(ctx)}, nil
	}
	return &Client{
		pooled: &http.Transport{
			DialContext:         dial,
			MaxIdleConns:        0,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		},
		fresh: &http.Transport{
			DialContext:        dial,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Do sends one call and returns when the answer's header has arrived. The
// context bounds the whole exchange, the body included. Errors are *CallError.
func (c *Client) Do(ctx context.Context, call Call) (*Result, error) {
	sent := new(atomic.Bool)
	req, err := newRequest(context.WithValue(ctx, sentKey{}, sent), call)
	if err != nil {
		return nil, &CallError{Target: call.Endpoint.Target.ID, Cause: err}
	}
	transport := c.pooled
	if call.Fresh {
		transport = c.fresh
	} else {
		sent.Store(true)
	}
	call.Endpoint.Load.Begin()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		call.Endpoint.Load.End()
		return nil, &CallError{Target: call.Endpoint.Target.ID, Sent: sent.Load(), Cause: err}
	}
	observe(call.Endpoint, resp.Header)
	return &Result{
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   &countedBody{ReadCloser: resp.Body, load: call.Endpoint.Load},
	}, nil
}

func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	url := "http://" + call.Endpoint.Target.Addr.String() + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, call.Body)
	if err != nil {
		return nil, err
	}
	req.Header = call.Header
	req.ContentLength = call.ContentLength
	if call.ContentLength == 0 {
		req.Body = http.NoBody
	}
	return req, nil
}

func observe(e *routing.Endpoint, h http.Header) {
	if n, err := strconv.Atoi(h.Get(HeaderInFlight)); err == nil {
		e.Load.Report(n, time.Now())
	}
}

// CloseIdle closes the pooled connections.
func (c *Client) CloseIdle() { c.pooled.CloseIdleConnections() }

type sentKey struct{}

func sentFlag(ctx context.Context) *atomic.Bool {
	flag, _ := ctx.Value(sentKey{}).(*atomic.Bool)
	return flag
}

// watchedConn notes the first write of the exchange that dialled it.
type watchedConn struct {
	net.Conn
	sent *atomic.Bool
}

func (c *watchedConn) Write(p []byte) (int, error) {
	if c.sent != nil {
		c.sent.Store(true)
	}
	return c.Conn.Write(p)
}

// countedBody ends the exchange's count when it is closed.
type countedBody struct {
	io.ReadCloser
	load   *routing.Load
	closed atomic.Bool
}

func (b *countedBody) Close() error {
	if b.closed.CompareAndSwap(false, true) {
		b.load.End()
	}
	return b.ReadCloser.Close()
}
