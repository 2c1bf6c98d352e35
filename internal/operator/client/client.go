// Package client calls the operator endpoint of an instance.
package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
)

// Client calls one instance. It is safe for concurrent use.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// callTimeout bounds one call; it is longer than the endpoint's own bounds.
const callTimeout = 15 * time.Second

// New returns a client of the endpoint at a URL such as http://10.0.0.1:9090.
func New(base, token string, tlsConfig *tls.Config) *Client {
	return &Client{
		base:  strings.TrimSuffix(base, "/"),
		token: token,
		http:  &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: tlsConfig}},
	}
}

// UnreachableError reports an instance that gave no answer.
type UnreachableError struct {
	URL   string
	Cause error
}

func (e *UnreachableError) Error() string { return "no answer from " + e.URL + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Config returns the stored document, or a revision of the history if one is given.
func (c *Client) Config(ctx context.Context, revision string) (*api.Config, error) {
	path := api.PathConfig
	if revision != "" {
		path = api.PathHistory + "/" + url.PathEscape(revision)
	}
	return call[api.Config](ctx, c, http.MethodGet, path, nil)
}

// Apply applies a document or, with DryRun set, shows what that would change.
func (c *Client) Apply(ctx context.Context, req api.ApplyRequest) (*api.ApplyResponse, error) {
	return call[api.ApplyResponse](ctx, c, http.MethodPost, api.PathConfig, req)
}

// History lists accepted revisions.
func (c *Client) History(ctx context.Context) (*api.History, error) {
	return call[api.History](ctx, c, http.MethodGet, api.PathHistory, nil)
}

// InForce returns the configuration in force by region.
func (c *Client) InForce(ctx context.Context) (*api.InForce, error) {
	return call[api.InForce](ctx, c, http.MethodGet, api.PathInForce, nil)
}

// Status returns the fleet as the instance sees it.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return call[api.Status](ctx, c, http.MethodGet, api.PathStatus, nil)
}

// Timeline returns the instance's events that a filter, as query parameters, selects.
func (c *Client) Timeline(ctx context.Context, filter url.Values) (*api.Timeline, error) {
	return call[api.Timeline](ctx, c, http.MethodGet, api.PathTimeline+"?"+filter.Encode(), nil)
}

// Quarantine lists the quarantined requests.
func (c *Client) Quarantine(ctx context.Context) (*api.Quarantine, error) {
	return call[api.Quarantine](ctx, c, http.MethodGet, api.PathQuarantine, nil)
}

// Lift ends the quarantine of a request.
func (c *Client) Lift(ctx context.Context, fingerprint string) (*api.Quarantine, error) {
	return call[api.Quarantine](ctx, c, http.MethodDelete, api.PathQuarantine+"/"+url.PathEscape(fingerprint), nil)
}

// Peer returns a client, with the same credentials, of another instance.
func (c *Client) Peer(m api.Member) *Client {
	scheme, _, _ := strings.Cut(c.base, "://")
	return &Client{base: scheme + "://" + m.OperatorAddr, token: c.token, http: c.http}
}

// ID returns the address that the client calls.
func (c *Client) ID() model.InstanceID { return model.InstanceID(c.base) }

// call makes one call. Errors are *api.Problem and *UnreachableError.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (*T, error) {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return nil, &UnreachableError{URL: c.base, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnreachableError{URL: c.base, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, &UnreachableError{URL: c.base, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, problem(resp.StatusCode, raw)
	}
	out := new(T)
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, &UnreachableError{URL: c.base, Cause: eris.Wrap(err, "decode answer")}
	}
	return out, nil
}

func problem(status int, raw []byte) error {
	p := new(api.Problem)
	if json.Unmarshal(raw, p) != nil || p.Code == "" {
		return &api.Problem{Status: status, Code: api.CodeBadRequest, Detail: "answer " + http.StatusText(status)}
	}
	return p
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, eris.Wrap(err, "operator address")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}
