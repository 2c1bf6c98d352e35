package httpserver

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
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
