package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/responsehead"
)

// Client is an HTTP client of the Object API and the instance list. Each method
// makes at most one call, for which it may wait until the call budget allows it, and
// doesn't retry. It is safe for concurrent use.
type Client struct {
	base      string
	http      *http.Client
	timeout   time.Duration
	watchWait time.Duration
	admission *admission
}

// ClientOptions configures NewClient. Zero values select the defaults.
type ClientOptions struct {
	// BaseURL is the platform's base URL, such as http://10.0.0.1:7000.
	BaseURL string
	// CallTimeout bounds each call; a watch may take WatchWait longer.
	CallTimeout time.Duration
	// WatchWait is how long the server may hold a watch without changes.
	WatchWait time.Duration
	// CallsPerSecond is the rate limit of all calls; a watch counts as one call.
	CallsPerSecond float64
	// WritesPerSecond is the part of CallsPerSecond that is reserved for writes.
	WritesPerSecond float64
	// Burst is the number of reads, and also of writes, that may exceed the rate
	// after an idle time.
	Burst int
	// OnAvailability, if set, is called when an outage begins (false) and ends (true).
	OnAvailability func(up bool)
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
}

// Defaults of ClientOptions.
const (
	defaultCallTimeout     = time.Second
	defaultWatchWait       = 20 * time.Second
	defaultCallsPerSecond  = 100
	defaultWritesPerSecond = 45
	defaultBurst           = 20
	// maxIdleConns is the number of idle connections that the default transport keeps.
	maxIdleConns = 64
	// maxResponseBytes is the largest response body in bytes that is read. A list holds all
	// objects below a prefix.
	maxResponseBytes = 64 << 20
)

// NewClient returns a client of the platform at o.BaseURL.
func NewClient(o ClientOptions) *Client {
	o = o.withDefaults()
	return &Client{
		base:      strings.TrimSuffix(o.BaseURL, "/"),
		http:      &http.Client{Transport: o.Transport},
		timeout:   o.CallTimeout,
		watchWait: o.WatchWait,
		admission: newAdmission(o),
	}
}

func (o ClientOptions) withDefaults() ClientOptions {
	if o.CallTimeout == 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.WatchWait == 0 {
		o.WatchWait = defaultWatchWait
	}
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = defaultCallsPerSecond
	}
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = defaultWritesPerSecond
	}
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	if o.OnAvailability == nil {
		o.OnAvailability = func(bool) {}
	}
	if o.Transport == nil {
		transport := responsehead.NewTransport(new(net.Dialer).DialContext)
		transport.MaxIdleConnsPerHost = maxIdleConns
		o.Transport = transport
	}
	return o
}

var (
	_ Store          = (*Client)(nil)
	_ InstanceLister = (*Client)(nil)
)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	resp, err := c.call(ctx, request{op: "get", method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return Object{}, err
	}
	switch resp.status {
	case http.StatusOK:
		return Object{Key: key, Version: resp.version(), Value: resp.body}, nil
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Key: key}
	default:
		return Object{}, resp.unavailableError("get")
	}
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Batch, error) {
	query := url.Values{"prefix": {prefix}}
	return c.readBatch(ctx, request{op: "list", method: http.MethodGet, path: "/v1/objects?" + query.Encode()}, 0)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Version) (Batch, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
	}
	path := "/v1/watch?" + query.Encode()
	return c.readBatch(ctx, request{op: "watch", method: http.MethodGet, path: path, wait: c.watchWait}, after)
}

func (c *Client) readBatch(ctx context.Context, r request, after Version) (Batch, error) {
	resp, err := c.call(ctx, r)
	if err != nil {
		return Batch{}, err
	}
	switch resp.status {
	case http.StatusOK:
		var b Batch
		if err := json.Unmarshal(resp.body, &b); err != nil {
			return Batch{}, &UnavailableError{Op: r.op, Cause: err}
		}
		return b, nil
	case http.StatusGone:
		return Batch{}, &CursorGoneError{After: after}
	default:
		return Batch{}, resp.unavailableError(r.op)
	}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, expect Version, value []byte) (Version, error) {
	if len(value) > MaxObjectBytes {
		return 0, &TooLargeError{Key: key, Bytes: len(value)}
	}
	return c.write(ctx, request{op: "put", method: http.MethodPut, path: objectPath(key), body: value}, key, expect)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	_, err := c.write(ctx, request{op: "delete", method: http.MethodDelete, path: objectPath(key)}, key, expect)
	return err
}

func (c *Client) write(ctx context.Context, r request, key string, expect Version) (Version, error) {
	r.header = preconditionHeader(expect)
	resp, err := c.call(ctx, r)
	var unavailable *UnavailableError
	var limited *RateLimitError
	switch {
	case errors.As(err, &unavailable) && unavailable.sent:
		return 0, &UnknownOutcomeError{Key: key, Cause: unavailable.Cause}
	case errors.As(err, &unavailable), errors.As(err, &limited):
		return 0, err
	}
	switch resp.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return resp.version(), nil
	case http.StatusPreconditionFailed:
		return 0, &ConflictError{Key: key, Expect: expect, Current: resp.version()}
	case http.StatusRequestEntityTooLarge:
		return 0, &TooLargeError{Key: key, Bytes: len(r.body)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, resp.unavailableError(r.op)
	default:
		return 0, &UnknownOutcomeError{Key: key, Cause: &StatusError{Status: resp.status}}
	}
}

// Instances implements InstanceLister.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	resp, err := c.call(ctx, request{op: "instances", method: http.MethodGet, path: "/v1/instances"})
	if err != nil {
		return nil, err
	}
	if resp.status != http.StatusOK {
		return nil, resp.unavailableError("instances")
	}
	var list []Instance
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, &UnavailableError{Op: "instances", Cause: err}
	}
	return list, nil
}

// request describes one call.
type request struct {
	op     string
	method string
	path   string
	header http.Header
	body   []byte
	// wait is how long the server may hold a watch without changes.
	wait time.Duration
}

// response is the complete response of a call.
type response struct {
	status int
	header http.Header
	body   []byte
}

func (r *response) version() Version { return parseVersion(r.header.Get("ETag")) }

func (r *response) unavailableError(op string) error {
	return &UnavailableError{Op: op, Cause: &StatusError{Status: r.status}}
}

// call makes one call if admission allows it. A watch that probes the platform during
// an outage asks for an immediate response. The error is *UnavailableError or
// *RateLimitError.
func (c *Client) call(ctx context.Context, r request) (*response, error) {
	probe, err := c.admission.admit(ctx, r.op, r.method != http.MethodGet)
	if err != nil {
		return nil, err
	}
	if r.op == "watch" {
		if probe {
			r.wait = 0
		}
		r.path += "&wait=" + r.wait.String()
	}
	sent := new(atomic.Bool)
	resp, err := c.exchange(ctx, r, sent)
	switch {
	case err != nil && errors.Is(ctx.Err(), context.Canceled):
		c.admission.recordCanceled(probe)
	case err != nil || isFailure(resp.status):
		c.admission.recordFailure(probe)
	default:
		c.admission.recordSuccess(probe)
	}
	if err != nil {
		return nil, &UnavailableError{Op: r.op, Cause: err, sent: sent.Load()}
	}
	return resp, nil
}

// isFailure reports whether a status shows that the platform is down or overloaded.
func isFailure(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// exchange sends a request and reads the response. It sets sent once it has a
// connection: from then on a write may take effect.
func (c *Client) exchange(ctx context.Context, r request, sent *atomic.Bool) (*response, error) {
	ctx, cancel := context.WithTimeout(responsehead.WithRequest(ctx), c.timeout+r.wait)
	defer cancel()
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), r.method, c.base+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, ResponseTooLargeError{}
	}
	return &response{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

func preconditionHeader(expect Version) http.Header {
	if expect == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {strconv.Quote(strconv.FormatUint(uint64(expect), 10))}}
}

func objectPath(key string) string { return "/v1/objects/" + key }

func parseVersion(etag string) Version {
	v, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	if err != nil {
		return 0
	}
	return Version(v)
}
