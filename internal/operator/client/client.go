// Package client is a client of the operator API.
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

// Client calls the operator API of one instance. It is safe for concurrent use. All
// methods that make a call return *api.Problem for an error response and
// *UnreachableError if there was no valid response.
type Client struct {
	baseURL string
	token   string
	http    *http.Client
}

// callTimeout is the timeout of a call. It is longer than the server's own timeouts.
const callTimeout = 15 * time.Second

// New returns a client for the API at a base URL such as http://10.0.0.1:9090, with a
// bearer token. tlsConfig may be nil.
func New(baseURL, token string, tlsConfig *tls.Config) *Client {
	return &Client{
		baseURL: strings.TrimSuffix(baseURL, "/"),
		token:   token,
		http:    &http.Client{Timeout: callTimeout, Transport: &http.Transport{TLSClientConfig: tlsConfig}},
	}
}

// UnreachableError reports a call without a valid response from the instance.
type UnreachableError struct {
	URL   string
	Cause error
}

func (e *UnreachableError) Error() string { return "no answer from " + e.URL + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Config returns the stored document or, if revision is not empty, the document of
// that revision.
func (c *Client) Config(ctx context.Context, revision string) (*api.Config, error) {
	path := api.PathConfig
	if revision != "" {
		path = api.PathHistory + "/" + url.PathEscape(revision)
	}
	return call[api.Config](ctx, c, http.MethodGet, path, nil)
}

// Apply applies an edited document or, with DryRun set, returns what would change.
func (c *Client) Apply(ctx context.Context, req api.ApplyRequest) (*api.ApplyResponse, error) {
	return call[api.ApplyResponse](ctx, c, http.MethodPost, api.PathConfig, req)
}

// History returns the accepted revisions.
func (c *Client) History(ctx context.Context) (*api.History, error) {
	return call[api.History](ctx, c, http.MethodGet, api.PathHistory, nil)
}

// ConfigStatus returns the configuration in force in each region.
func (c *Client) ConfigStatus(ctx context.Context) (*api.ConfigStatus, error) {
	return call[api.ConfigStatus](ctx, c, http.MethodGet, api.PathConfigStatus, nil)
}

// Status returns the state of the fleet, as seen by the instance.
func (c *Client) Status(ctx context.Context) (*api.Status, error) {
	return call[api.Status](ctx, c, http.MethodGet, api.PathStatus, nil)
}

// Timeline returns the events of the instance that match a filter. The filter's keys
// are the query parameters that operator.ParseTimelineFilter accepts.
func (c *Client) Timeline(ctx context.Context, filter url.Values) (*api.Timeline, error) {
	return call[api.Timeline](ctx, c, http.MethodGet, api.PathTimeline+"?"+filter.Encode(), nil)
}

// Quarantine returns the quarantined requests.
func (c *Client) Quarantine(ctx context.Context) (*api.Quarantine, error) {
	return call[api.Quarantine](ctx, c, http.MethodGet, api.PathQuarantine, nil)
}

// LiftQuarantine ends the quarantine of a request and returns the requests that remain
// quarantined.
func (c *Client) LiftQuarantine(ctx context.Context, fingerprint string) (*api.Quarantine, error) {
	return call[api.Quarantine](ctx, c, http.MethodDelete, api.PathQuarantine+"/"+url.PathEscape(fingerprint), nil)
}

// Peer returns a client for another instance with the same scheme and credentials.
func (c *Client) Peer(m api.Member) *Client {
	scheme, _, _ := strings.Cut(c.baseURL, "://")
	return &Client{baseURL: scheme + "://" + m.OperatorAddr, token: c.token, http: c.http}
}

// ID returns the base URL of the client, in place of an instance ID.
func (c *Client) ID() model.InstanceID { return model.InstanceID(c.baseURL) }

// call sends one request and decodes the response. Errors are *api.Problem and
// *UnreachableError.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (*T, error) {
	req, err := c.newRequest(ctx, method, path, body)
	if err != nil {
		return nil, &UnreachableError{URL: c.baseURL, Cause: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &UnreachableError{URL: c.baseURL, Cause: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, &UnreachableError{URL: c.baseURL, Cause: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, decodeProblem(resp.StatusCode, raw)
	}
	out := new(T)
	if err := json.Unmarshal(raw, out); err != nil {
		return nil, &UnreachableError{URL: c.baseURL, Cause: eris.Wrap(err, "decode response")}
	}
	return out, nil
}

// decodeProblem decodes the body of an error response. It returns an *api.Problem in
// any case, with CodeBadRequest for a body that is not a problem document.
func decodeProblem(status int, raw []byte) error {
	p := new(api.Problem)
	if json.Unmarshal(raw, p) != nil || p.Code == "" {
		return &api.Problem{Status: status, Code: api.CodeBadRequest, Detail: "answer " + http.StatusText(status)}
	}
	return p
}

func (c *Client) newRequest(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return nil, eris.Wrap(err, "encode request")
		}
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, reader)
	if err != nil {
		return nil, eris.Wrap(err, "operator address")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}
