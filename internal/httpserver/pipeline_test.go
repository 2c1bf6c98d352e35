package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// brokenAnswer returns a response that breaks off after its beginning.
func brokenAnswer() *Response {
	return &Response{
		Status: http.StatusOK, Header: http.Header{}, Body: []byte("begin"), Remainder: &failingBody{remaining: 2}, ContentLength: -1,
		OnBroken: func(error) *Response { return plainResponse(http.StatusBadGateway, "broken") },
	}
}

// TestBrokenAnswerKeepsThoseBehindIt guards against a long answer that breaks off: it ended
// the connection, and with it the answers to requests that were sent behind it and had run.
func TestBrokenAnswerKeepsThoseBehindIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, _ := serveOnPipe(func(_ context.Context, r *Request) *Response {
			time.Sleep(time.Second)
			if r.Path == "/broken" {
				return brokenAnswer()
			}
			return plainResponse(http.StatusOK, r.Path)
		})
		defer func() { _ = caller.Close() }()
		_, _ = io.WriteString(caller, get("/broken")+get("/2")+get("/3"))
		r := bufio.NewReader(caller)
		for _, want := range []string{"broken", "/2", "/3"} {
			if _, body := receive(t, r); body != want {
				t.Errorf("response %q, want %q", body, want)
			}
		}
	})
}

// TestNothingIsServedBehindAStreamedAnswer guards against a request that runs although the
// connection may end before its answer: it is held back until the answer before it is whole.
func TestNothingIsServedBehindAStreamedAnswer(t *testing.T) {
	for _, breaks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			served := make(chan string, 3)
			rest, writer := io.Pipe()
			caller, closed := serveOnPipe(func(_ context.Context, r *Request) *Response {
				served <- r.Path
				if r.Path == "/long" {
					return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("begin"), Remainder: rest, ContentLength: -1}
				}
				return plainResponse(http.StatusOK, r.Path)
			})
			go func() { _, _ = io.Copy(io.Discard, caller) }()
			_, _ = io.WriteString(caller, get("/long"))
			time.Sleep(time.Second)
			_, _ = io.WriteString(caller, get("/behind"))
			time.Sleep(time.Second)
			if len(served) != 1 {
				t.Errorf("%d requests are served beside the answer", len(served)-1)
			}
			if breaks {
				_ = writer.CloseWithError(io.ErrUnexpectedEOF)
			} else {
				_ = writer.Close()
			}
			<-closed
			if want := map[bool]int{false: 2, true: 1}[breaks]; len(served) != want {
				t.Errorf("breaks %t: %d requests served, want %d", breaks, len(served), want)
			}
			_ = caller.Close()
		})
	}
}

// TestLongAnswerIsWholeBeforeThoseBehind checks that an answer of any length, alone or before
// others, arrives unchanged.
func TestLongAnswerIsWholeBeforeThoseBehind(t *testing.T) {
	for _, size := range []int{0, 1000, maxSecuredBytes, maxSecuredBytes + 1, 3 * maxSecuredBytes} {
		for _, length := range []int64{-1, int64(size) + 5} {
			synctest.Test(t, func(t *testing.T) {
				caller, _ := serveOnPipe(func(_ context.Context, r *Request) *Response {
					time.Sleep(time.Second)
					if r.Path == "/long" {
						return &Response{Status: http.StatusOK, Header: http.Header{}, Body: []byte("begin"), Remainder: io.NopCloser(strings.NewReader(strings.Repeat("x", size))), ContentLength: length}
					}
					return plainResponse(http.StatusOK, r.Path)
				})
				defer func() { _ = caller.Close() }()
				_, _ = io.WriteString(caller, get("/long")+get("/2"))
				r := bufio.NewReader(caller)
				if _, body := receive(t, r); body != "begin"+strings.Repeat("x", size) {
					t.Errorf("size %d, length %d: %d bytes arrived", size, length, len(body))
				}
				if _, body := receive(t, r); body != "/2" {
					t.Errorf("response %q", body)
				}
			})
		}
	}
}

// TestNothingIsServedAfterTheConnectionEnded guards against requests that are left in the read
// buffer of a connection that was closed: they would be passed on without anybody to answer.
func TestNothingIsServedAfterTheConnectionEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Int32
		caller, closed := serveOnPipe(func(_ context.Context, r *Request) *Response {
			served.Add(1)
			if r.Path == "/first" {
				time.Sleep(time.Second)
				return nil
			}
			return plainResponse(http.StatusOK, "")
		})
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		_, _ = io.WriteString(caller, get("/first")+strings.Repeat(get("/"), 40))
		<-closed
		_ = caller.Close()
		// The first, those that wait behind it, and one that is read beside them.
		if n := served.Load(); n > maxPipelined+2 {
			t.Errorf("%d of 41 requests are served", n)
		}
	})
}

// endlessBody yields bytes until it is closed, or fails after many as a request does at its
// deadline.
type endlessBody struct {
	closed atomic.Bool
	read   int
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.read += len(p); b.closed.Load() || b.read > 8*maxSecuredBytes {
		return 0, net.ErrClosed
	}
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.closed.Store(true)
	return nil
}

// TestEndlessAnswerGivesWayToThoseBehindIt guards against a body without end to the first of
// some pipelined requests: the whole answers to the others were lost with the connection.
func TestEndlessAnswerGivesWayToThoseBehindIt(t *testing.T) {
	for _, c := range []struct {
		name   string
		length int64
	}{{"no length", -1}, {"a length without end", 1e14}} {
		synctest.Test(t, func(t *testing.T) {
			body := new(endlessBody)
			caller, _ := serveOnPipe(func(_ context.Context, r *Request) *Response {
				if r.Path != "/endless" {
					return plainResponse(http.StatusOK, r.Path)
				}
				time.Sleep(time.Second)
				return &Response{Status: http.StatusOK, Header: http.Header{}, Remainder: body, ContentLength: c.length,
					OnTooLong: func() *Response { return plainResponse(http.StatusBadGateway, "too long") }}
			})
			defer func() { _ = caller.Close() }()
			_, _ = io.WriteString(caller, get("/endless")+get("/2")+get("/3"))
			r := bufio.NewReader(caller)
			for _, want := range []string{"too long", "/2", "/3"} {
				if _, got := receive(t, r); got != want {
					t.Errorf("%s: response %q, want %q", c.name, got, want)
				}
			}
			if !body.closed.Load() {
				t.Errorf("%s: the endless body is still open", c.name)
			}
		})
	}
}

// TestLongAnswerThatEndsArrivesBeforeThoseBehindIt checks that answers that can't be read whole
// arrive if they announce a length or if nothing can take their place.
func TestLongAnswerThatEndsArrivesBeforeThoseBehindIt(t *testing.T) {
	long := strings.Repeat("long", maxSecuredBytes)
	for name, response := range map[string]*Response{
		"announced":       {ContentLength: int64(len(long)), OnTooLong: func() *Response { return plainResponse(http.StatusBadGateway, "too long") }},
		"not replaceable": {ContentLength: -1},
	} {
		synctest.Test(t, func(t *testing.T) {
			caller, _ := serveOnPipe(func(_ context.Context, r *Request) *Response {
				if r.Path != "/long" {
					return plainResponse(http.StatusOK, r.Path)
				}
				time.Sleep(time.Second)
				response.Status, response.Header, response.Remainder = http.StatusOK, http.Header{}, io.NopCloser(strings.NewReader(long))
				return response
			})
			defer func() { _ = caller.Close() }()
			_, _ = io.WriteString(caller, get("/long")+get("/2"))
			r := bufio.NewReader(caller)
			for _, want := range []string{long, "/2"} {
				if _, got := receive(t, r); got != want {
					t.Errorf("%s: %d bytes, want %d", name, len(got), len(want))
				}
			}
		})
	}
}

// TestCallerThatLeavesBehindManyRequestsCancelsThem guards against requests that run to their end for
// nobody, since more were sent ahead than the server reads at once and it doesn't see the close.
func TestCallerThatLeavesBehindManyRequestsCancelsThem(t *testing.T) {
	for _, sent := range []int{maxPipelined, maxPipelined + 2, 2 * maxPipelined} {
		t.Run(fmt.Sprint(sent), func(t *testing.T) {
			started, cancelled := make(chan struct{}, sent), make(chan struct{}, sent)
			_, c := startServer(t, route.Limits{}, func(ctx context.Context, _ *Request) *Response {
				started <- struct{}{}
				<-ctx.Done()
				cancelled <- struct{}{}
				return nil
			})
			send(t, c, strings.Repeat(get("/1"), sent))
			running := min(sent, maxPipelined+1)
			for range running {
				<-started
			}
			_ = c.Close()
			for n := range running {
				select {
				case <-cancelled:
				case <-time.After(5 * time.Second):
					t.Fatalf("%d of %d requests were cancelled", n, running)
				}
			}
		})
	}
}
