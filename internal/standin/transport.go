package standin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"time"
)

// AbortError reports an exchange that the handler cut.
type AbortError struct{}

func (*AbortError) Error() string { return "connection cut" }

// Transport is an http.RoundTripper that calls a handler in this process, for
// tests in virtual time. A call that its caller gave up still arrives.
type Transport struct {
	Handler http.Handler
	// Delay is the one-way delay of every call and answer.
	Delay time.Duration
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	inner := httptest.NewRequestWithContext(r.Context(), r.Method, r.URL.RequestURI(), nil)
	inner.Header = r.Header.Clone()
	if r.Body != nil {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return nil, err
		}
		inner.Body = io.NopCloser(bytes.NewReader(raw))
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	answers := make(chan *http.Response, 1)
	go func() {
		defer close(answers)
		defer func() {
			if reason := recover(); reason != nil && reason != http.ErrAbortHandler {
				panic(reason)
			}
		}()
		time.Sleep(t.Delay)
		recorder := httptest.NewRecorder()
		t.Handler.ServeHTTP(recorder, inner)
		time.Sleep(t.Delay)
		answers <- recorder.Result()
	}()
	select {
	case resp, ok := <-answers:
		if !ok {
			return nil, &AbortError{}
		}
		return resp, nil
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}
