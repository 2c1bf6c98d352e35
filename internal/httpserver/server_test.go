package httpserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// handlerFunc is a Handler that calls a function for each request.
type handlerFunc struct {
	serve func(ctx context.Context, r *Request) *Response
}

func (f handlerFunc) Serve(ctx context.Context, r *Request) *Response { return f.serve(ctx, r) }

func (f handlerFunc) Reject(status int, _ error) *Response {
	return &Response{Status: status, Header: http.Header{}}
}

func plainResponse(status int, body string) *Response {
	return &Response{Status: status, Header: http.Header{}, Body: []byte(body)}
}

// startServer starts a server and connects to it.
func startServer(t *testing.T, limits route.Limits, serve func(context.Context, *Request) *Response) (*Server, net.Conn) {
	t.Helper()
	s := NewServer(handlerFunc{serve}, func() route.Limits { return limits })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return s, dial(t, l.Addr().String())
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func receive(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

func TestPipelinedRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	secondArrived := make(chan struct{})
	_, c := startServer(t, route.Limits{}, func(_ context.Context, r *Request) *Response {
		if r.Path == "/1" {
			<-secondArrived
		} else {
			close(secondArrived)
		}
		return plainResponse(http.StatusOK, r.RequestTarget)
	})
	send(t, c, get("/1")+get("/2?a=b"))
	r := bufio.NewReader(c)
	for _, want := range []string{"/1", "/2?a=b"} {
		if _, body := receive(t, r); body != want {
			t.Errorf("response %q, want %q", body, want)
		}
	}
}

func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	cancelled := make(chan struct{}, 3)
	started := make(chan struct{}, 3)
	_, c := startServer(t, route.Limits{}, func(ctx context.Context, _ *Request) *Response {
		started <- struct{}{}
		<-ctx.Done()
		cancelled <- struct{}{}
		return nil
	})
	last := "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	send(t, c, get("/1")+get("/2")+last)
	for range 3 {
		<-started
	}
	_ = c.Close()
	for range 3 {
		<-cancelled
	}
}

func TestBodyIsReadBeforeTheNextRequest(t *testing.T) {
	_, c := startServer(t, route.Limits{}, func(_ context.Context, r *Request) *Response {
		body, err := io.ReadAll(r.HTTP.Body)
		return plainResponse(http.StatusOK, fmt.Sprintf("%s %s %v", r.Path, body, err))
	})
	send(t, c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
	send(t, c, "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n"+get("/c"))
	r := bufio.NewReader(c)
	for _, want := range []string{"/a hello <nil>", "/b hello <nil>", "/c  <nil>"} {
		if _, body := receive(t, r); body != want {
			t.Errorf("response %q, want %q", body, want)
		}
	}
}

func TestUnreadBodyIsNeverParsedAsARequest(t *testing.T) {
	_, c := startServer(t, route.Limits{}, func(_ context.Context, r *Request) *Response {
		if r.Path == "/smuggled" {
			t.Error("the body was parsed as a request")
		}
		return plainResponse(http.StatusServiceUnavailable, "no")
	})
	inner := get("/smuggled")
	send(t, c, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", len(inner)))
	r := bufio.NewReader(c)
	resp, _ := receive(t, r)
	if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
		t.Errorf("status %d, closing %t: the caller would send its next request on a closed connection", resp.StatusCode, resp.Close)
	}
	send(t, c, inner)
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after an unread body: %v, want the connection to close", err)
	}
}

// failingBody yields some pieces and then fails.
type failingBody struct{ remaining int }

func (b *failingBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.ErrUnexpectedEOF
	}
	b.remaining--
	return copy(p, "piece"), nil
}

func (b *failingBody) Close() error { return nil }

func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		_, c := startServer(t, route.Limits{}, func(context.Context, *Request) *Response {
			return &Response{Status: http.StatusOK, Header: http.Header{}, Remainder: &failingBody{remaining: 2}, ContentLength: length}
		})
		send(t, c, get("/"))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("length %d: the response looks complete", length)
		}
	}
}

func TestOversizedHeaderIsRefused(t *testing.T) {
	_, c := startServer(t, route.Limits{HeaderBytes: 1000}, func(context.Context, *Request) *Response {
		t.Error("the request was served")
		return nil
	})
	send(t, c, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 20_000)+"\r\n\r\n")
	if resp, _ := receive(t, bufio.NewReader(c)); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", resp.StatusCode)
	}
}

func TestDrainAnswersReadRequestsAndClosesTheConnection(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{}, 2)
	s, c := startServer(t, route.Limits{}, func(_ context.Context, r *Request) *Response {
		started <- struct{}{}
		<-release
		return plainResponse(http.StatusOK, r.Path)
	})
	send(t, c, get("/1")+get("/2"))
	<-started
	<-started
	s.Drain()
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	close(release)
	r := bufio.NewReader(c)
	first, _ := receive(t, r)
	second, _ := receive(t, r)
	if first.Close || !second.Close {
		t.Errorf("closing: %t and %t, want only the last response to close", first.Close, second.Close)
	}
	if err := <-shutdownErr; err != nil {
		t.Error(err)
	}
}

func TestShutdownClosesIdleConnections(t *testing.T) {
	s, c := startServer(t, route.Limits{}, func(_ context.Context, r *Request) *Response {
		return plainResponse(http.StatusOK, r.Path)
	})
	send(t, c, get("/1"))
	r := bufio.NewReader(c)
	receive(t, r)
	s.Drain()
	if err := s.Shutdown(context.Background()); err != nil {
		t.Error(err)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want it to close", err)
	}
}

// awaits reports whether the connection awaits a request.
func (c *conn) awaits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaitingRequest
}

// TestShutdownAwaitsTheFirstRequestOfANewConnection guards against a shutdown that closes a
// connection which was accepted just before, while its first request is on the way.
func TestShutdownAwaitsTheFirstRequestOfANewConnection(t *testing.T) {
	s, c := startServer(t, route.Limits{}, func(_ context.Context, r *Request) *Response {
		return plainResponse(http.StatusOK, r.Path)
	})
	awaiting := func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for opened := range s.conns {
			return opened.awaits()
		}
		return false
	}
	for !awaiting() {
		runtime.Gosched()
	}
	s.Drain()
	s.closeIdle()
	send(t, c, get("/1"))
	if response, _ := receive(t, bufio.NewReader(c)); response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("status %d, closing %t, want a response that closes the connection", response.StatusCode, response.Close)
	}
}

func TestIdleConnectionsCloseAfterTheTimeout(t *testing.T) {
	_, c := startServer(t, route.Limits{IdleTimeout: time.Millisecond}, func(_ context.Context, r *Request) *Response {
		return plainResponse(http.StatusOK, r.Path)
	})
	if _, err := bufio.NewReader(c).ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("%v, want the connection to close", err)
	}
}
