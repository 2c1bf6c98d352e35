package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// rawTarget answers each request by a function that sees the connection's
// number and the request's number on it; false closes the connection.
type rawTarget struct {
	endpoint *routing.Endpoint
	requests atomic.Int32
	conns    atomic.Int32
}

func newRawTarget(t *testing.T, answer func(c net.Conn, conn, request int) bool) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	r := &rawTarget{endpoint: &routing.Endpoint{
		Target: model.Target{ID: "t", Addr: netip.MustParseAddrPort(listener.Addr().String())},
		Load:   new(routing.Load),
	}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go r.serve(c, int(r.conns.Add(1)), answer)
		}
	}()
	return r
}

func (r *rawTarget) serve(c net.Conn, conn int, answer func(net.Conn, int, int) bool) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r.requests.Add(1)
		if !answer(c, conn, n) {
			return
		}
	}
}

func answerOK(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func (r *rawTarget) call() Call {
	return Call{
		Endpoint: r.endpoint,
		Method:   http.MethodGet,
		Path:     "/",
		Header:   http.Header{HeaderIdempotencyKey: {"k"}},
		MaxIdle:  time.Minute,
		Keep:     true,
	}
}

func mustDo(t *testing.T, c *Client, call Call) *Result {
	t.Helper()
	result, err := c.Do(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(result.Body)
	if err != nil || string(body) != "ok" {
		t.Fatalf("body %q, %v", body, err)
	}
	_ = result.Body.Close()
	return result
}

// net/http replays a request with Idempotency-Key if a reused connection breaks.
func TestRequestIsNeverReplayed(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, _, request int) bool { return request == 1 && answerOK(c) })
	c := NewClient()
	mustDo(t, c, target.call())
	_, err := c.Do(t.Context(), target.call())
	var failed *CallError
	if !errors.As(err, &failed) || failed.Reason != Broken || !failed.Sent || !failed.Reused {
		t.Fatalf("got %+v", err)
	}
	if got := target.requests.Load(); got != 2 {
		t.Errorf("2 calls made %d requests", got)
	}
}

func TestWholeAnswerAllowsReuse(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, _, _ int) bool { return answerOK(c) })
	c := NewClient()
	for range 5 {
		mustDo(t, c, target.call())
	}
	fresh := target.call()
	fresh.MaxIdle = 0
	if mustDo(t, c, fresh).Reused {
		t.Error("a call that asked for a fresh connection got a reused one")
	}
	if got := target.conns.Load(); got != 2 {
		t.Errorf("%d connections", got)
	}
}

// The rest of an answer that was given up must never reach another call.
func TestAbandonedAnswerIsNeverPooled(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, conn, _ int) bool {
		if conn > 1 {
			return answerOK(c)
		}
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nl")
		return err == nil
	})
	c := NewClient()
	result, err := c.Do(t.Context(), target.call())
	if err != nil {
		t.Fatal(err)
	}
	_ = result.Body.Close()
	if mustDo(t, c, target.call()).Reused {
		t.Error("the connection of an abandoned answer was reused")
	}
}

// After one connection stayed silent, others that were not proven since are not
// used any more.
func TestSilenceIsDistrusted(t *testing.T) {
	silent := make(chan struct{})
	target := newRawTarget(t, func(c net.Conn, conn, request int) bool {
		if conn <= 2 && request > 1 {
			<-silent
			return false
		}
		return answerOK(c)
	})
	defer close(silent)
	c := NewClient()
	first, err := c.Do(t.Context(), target.call())
	if err != nil {
		t.Fatal(err)
	}
	mustDo(t, c, target.call())
	_, _ = io.ReadAll(first.Body)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = c.Do(ctx, target.call())
	var failed *CallError
	if !errors.As(err, &failed) || failed.Reason != TimedOut || !failed.Reused {
		t.Fatalf("got %v", err)
	}
	if mustDo(t, c, target.call()).Reused {
		t.Error("the other old connection was used")
	}
	if !mustDo(t, c, target.call()).Reused {
		t.Error("the proven connection was not used")
	}
}

func TestUncommittedCallSendsNothing(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, _, _ int) bool { return answerOK(c) })
	c := NewClient()
	call := target.call()
	call.Commit = func() bool { return false }
	_, err := c.Do(t.Context(), call)
	var failed *CallError
	if !errors.As(err, &failed) || failed.Reason != NotCommitted || failed.Sent {
		t.Fatalf("got %v", err)
	}
	if got := target.requests.Load(); got != 0 {
		t.Errorf("%d requests", got)
	}
}

func TestUnreachableTargetWasNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(listener.Addr().String())
	_ = listener.Close()
	call := Call{Endpoint: &routing.Endpoint{Target: model.Target{ID: "t", Addr: addr}, Load: new(routing.Load)}, Method: "GET", Path: "/", Header: http.Header{}}
	_, err = NewClient().Do(t.Context(), call)
	var failed *CallError
	if !errors.As(err, &failed) || failed.Reason != Unreachable || failed.Sent {
		t.Fatalf("got %v", err)
	}
}

func TestCutAnswerIsAnError(t *testing.T) {
	for name, wire := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(c net.Conn, _, _ int) bool {
				_, _ = io.WriteString(c, wire)
				return false
			})
			result, err := NewClient().Do(t.Context(), target.call())
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(result.Body)
			var failed *CallError
			if string(body) != "half" || !errors.As(err, &failed) || !failed.Crashed {
				t.Errorf("body %q, error %v", body, err)
			}
		})
	}
}

func TestEscapedPathTravelsUnchanged(t *testing.T) {
	for _, path := range []string{"/", "/a%2Fb", "//double", "/%E2%82%AC", "/a b", "/%zz"} {
		u := targetURL("10.0.0.1:80", Call{Path: path, Query: "q=1&r"})
		want := strings.ReplaceAll(path, " ", "%20") + "?q=1&r"
		if path == "/%zz" {
			want = "/%25zz?q=1&r"
		}
		if got := u.RequestURI(); got != want {
			t.Errorf("%q travels as %q", path, got)
		}
	}
}
