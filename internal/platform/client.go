package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Client speaks the Object API and the instance list over HTTP.
type Client struct {
	base string
	http *http.Client
	wait time.Duration
}

// ClientOptions configures NewClient. Zero values mean the defaults.
type ClientOptions struct {
	// BaseURL is the platform's address, such as http://10.0.0.1:7000.
	BaseURL string
	// WatchWait is how long one watch call may wait for a change.
	WatchWait time.Duration
	// Transport replaces the HTTP transport.
	Transport http.RoundTripper
}

const defaultWatchWait = 20 * time.Second

// NewClient returns a client of one platform address.
func NewClient(o ClientOptions) *Client {
	if o.WatchWait == 0 {
		o.WatchWait = defaultWatchWait
	}
	return &Client{
		base: strings.TrimSuffix(o.BaseURL, "/"),
		http: &http.Client{Transport: o.Transport},
		wait: o.WatchWait,
	}
}

var (
	_ Store          = (*Client)(nil)
	_ InstanceLister = (*Client)(nil)
)

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	resp, err := c.do(ctx, http.MethodGet, objectPath(key), nil, nil)
	if err != nil {
		return Object{}, &UnavailableError{Op: "get", Cause: err}
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return readObject(key, resp)
	case http.StatusNotFound:
		return Object{}, &NotFoundError{Key: key}
	default:
		return Object{}, &UnavailableError{Op: "get", Cause: &StatusError{Status: resp.StatusCode}}
	}
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Batch, error) {
	query := url.Values{"prefix": {prefix}}
	return c.batch(ctx, "list", "/v1/objects?"+query.Encode(), 0)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after Version) (Batch, error) {
	query := url.Values{
		"prefix": {prefix},
		"after":  {strconv.FormatUint(uint64(after), 10)},
		"wait":   {c.wait.String()},
	}
	return c.batch(ctx, "watch", "/v1/watch?"+query.Encode(), after)
}

func (c *Client) batch(ctx context.Context, op, path string, after Version) (Batch, error) {
	resp, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return Batch{}, &UnavailableError{Op: op, Cause: err}
	}
	defer drain(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		var b Batch
		if err := json.NewDecoder(resp.Body).Decode(&b); err != nil {
			return Batch{}, &UnavailableError{Op: op, Cause: err}
		}
		return b, nil
	case http.StatusGone:
		return Batch{}, &CursorGoneError{After: after}
	default:
		return Batch{}, &UnavailableError{Op: op, Cause: &StatusError{Status: resp.StatusCode}}
	}
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, expect Version, value []byte) (Version, error) {
	if len(value) > MaxObjectBytes {
		return 0, &TooLargeError{Key: key, Bytes: len(value)}
	}
	return c.write(ctx, http.MethodPut, key, expect, value)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expect Version) error {
	_, err := c.write(ctx, http.MethodDelete, key, expect, nil)
	return err
}

func (c *Client) write(ctx context.Context, method, key string, expect Version, value []byte) (Version, error) {
	resp, err := c.do(ctx, method, objectPath(key), condition(expect), value)
	if err != nil {
		return 0, &LostAnswerError{Key: key, Cause: err}
	}
	defer drain(resp.Body)
	version := parseVersion(resp.Header.Get("ETag"))
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return version, nil
	case http.StatusPreconditionFailed:
		return 0, &ConflictError{Key: key, Expect: expect, Current: version}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return 0, &UnavailableError{Op: "write", Cause: &StatusError{Status: resp.StatusCode}}
	default:
		return 0, &LostAnswerError{Key: key, Cause: &StatusError{Status: resp.StatusCode}}
	}
}

// Instances implements InstanceLister.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	resp, err := c.do(ctx, http.MethodGet, "/v1/instances", nil, nil)
	if err != nil {
		return nil, &UnavailableError{Op: "instances", Cause: err}
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return nil, &UnavailableError{Op: "instances", Cause: &StatusError{Status: resp.StatusCode}}
	}
	var list []Instance
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return nil, &UnavailableError{Op: "instances", Cause: err}
	}
	return list, nil
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	return c.http.Do(req)
}

func condition(expect Version) http.Header {
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

func readObject(key string, resp *http.Response) (Object, error) {
	value, err := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes+1))
	if err != nil {
		return Object{}, &UnavailableError{Op: "get", Cause: err}
	}
	return Object{Key: key, Version: parseVersion(resp.Header.Get("ETag")), Value: value}, nil
}

func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, io.LimitReader(body, MaxObjectBytes))
	_ = body.Close()
}
