package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"time"
)

// AbortError reports a call whose handler aborted the connection.
type AbortError struct{}

func (*AbortError) Error() string { return "connection aborted by the handler" }

// Transport is an http.RoundTripper that calls a handler in this process, for tests in
// virtual time. A call that is cancelled still reaches the handler. It is safe for
// concurrent use.
type Transport struct {
	Handler http.Handler
	// Delay is the one-way delay of every request and every response.
	Delay time.Duration
}

// RoundTrip implements http.RoundTripper. It returns an AbortError if the handler
// panics with http.ErrAbortHandler; it does not recover other panics.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	forwarded := httptest.NewRequestWithContext(r.Context(), r.Method, r.URL.RequestURI(), nil)
	forwarded.Header = r.Header.Clone()
	if r.Body != nil {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		forwarded.Body = io.NopCloser(bytes.NewReader(raw))
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	responses := make(chan *http.Response, 1)
	go func() {
		defer close(responses)
		defer func() {
			if value := recover(); value != nil && value != http.ErrAbortHandler {
				panic(value)
			}
		}()
		time.Sleep(t.Delay)
		recorder := httptest.NewRecorder()
		t.Handler.ServeHTTP(recorder, forwarded)
		time.Sleep(t.Delay)
		responses <- recorder.Result()
	}()
	select {
	case resp, ok := <-responses:
		if !ok {
			return nil, &AbortError{}
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
