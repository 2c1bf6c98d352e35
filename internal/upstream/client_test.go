package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// rawTarget is a target that responds to each request by a function, which gets the
// number of the connection and the number of the request on it. The function returns
// false to close the connection.
type rawTarget struct {
	endpoint *routing.Endpoint
	requests atomic.Int32
	conns    atomic.Int32
}

func newRawTarget(t *testing.T, respond func(c net.Conn, conn, request int) bool) *rawTarget {
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
			go r.serve(c, int(r.conns.Add(1)), respond)
		}
	}()
	return r
}

func (r *rawTarget) serve(c net.Conn, conn int, respond func(net.Conn, int, int) bool) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for n := 1; ; n++ {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r.requests.Add(1)
		if !respond(c, conn, n) {
			return
		}
	}
}

func respondOK(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func (r *rawTarget) call() Call {
	return Call{
		Endpoint:  r.endpoint,
		Method:    http.MethodGet,
		Path:      "/",
		Header:    http.Header{HeaderIdempotencyKey: {"k"}},
		MaxIdle:   time.Minute,
		KeepAlive: true,
	}
}

func mustDo(t *testing.T, c *Client, call Call) *Response {
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

// net/http resends a request with an Idempotency-Key if a reused connection breaks.
func TestRequestIsNeverResent(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, _, request int) bool { return request == 1 && respondOK(c) })
	c := NewClient()
	mustDo(t, c, target.call())
	_, err := c.Do(t.Context(), target.call())
	var failed *CallError
	if !errors.As(err, &failed) || failed.Reason != ConnectionLost || !failed.Sent || !failed.Reused {
		t.Fatalf("got %+v", err)
	}
	if got := target.requests.Load(); got != 2 {
		t.Errorf("2 calls made %d requests", got)
	}
}

func TestConnectionIsReusedAfterCompleteResponse(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, _, _ int) bool { return respondOK(c) })
	c := NewClient()
	for range 5 {
		mustDo(t, c, target.call())
	}
	fresh := target.call()
	fresh.MaxIdle = 0
	if mustDo(t, c, fresh).Reused {
		t.Error("a call that asked for a new connection got a reused one")
	}
	if got := target.conns.Load(); got != 2 {
		t.Errorf("%d connections", got)
	}
}

// The rest of an abandoned response must never be read as the response to another call.
func TestConnectionOfAbandonedResponseIsNotReused(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, conn, _ int) bool {
		if conn > 1 {
			return respondOK(c)
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
		t.Error("the connection of an abandoned response was reused")
	}
}

// After a request on a reused connection timed out, connections that were last verified
// before it was sent are not reused.
func TestIdleConnectionsAreNotReusedAfterTimeout(t *testing.T) {
	release := make(chan struct{})
	target := newRawTarget(t, func(c net.Conn, conn, request int) bool {
		if conn <= 2 && request > 1 {
			<-release
			return false
		}
		return respondOK(c)
	})
	defer close(release)
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
		t.Error("an old connection was reused")
	}
	if !mustDo(t, c, target.call()).Reused {
		t.Error("the verified connection was not reused")
	}
}

func TestUncommittedCallSendsNothing(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, _, _ int) bool { return respondOK(c) })
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

func TestUnreachableTargetIsReportedAsNotSent(t *testing.T) {
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

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, raw := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, func(c net.Conn, _, _ int) bool {
				_, _ = io.WriteString(c, raw)
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

// FuzzRequestTargetIsSentUnchanged guards against request targets that are escaped anew on the
// way: a target may take the result for another path. What can't be sent as it is, is not sent.
func FuzzRequestTargetIsSentUnchanged(f *testing.F) {
	for _, path := range []string{"/", "/a%2Fb", "/a%2fb", "//double", "//a/b(7)!*'", "///", "//a%28b", "/%E2%82%AC", "/caf\xc3\xa9", "/\xff", "/a|b\"<>^`{}\\", "/%zz", "//%zz", "//a|b", "/a b", "a", ""} {
		f.Add(path, "q=1&r", false)
		f.Add(path, "", true)
	}
	f.Fuzz(func(t *testing.T, path, query string, forceQuery bool) {
		if strings.ContainsFunc(query, isControlOrSpace) || strings.Contains(path, "?") {
			return
		}
		want := path
		if query != "" || forceQuery {
			want += "?" + query
		}
		request, err := newRequest(t.Context(), "10.0.0.1:80", Call{Path: path, Query: query, ForceQuery: forceQuery})
		if err != nil {
			if strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") && !strings.ContainsFunc(path, isControlOrSpace) {
				t.Errorf("%q is rejected: %v", path, err)
			}
			return
		}
		var wire strings.Builder
		if err := request.Write(&wire); err != nil {
			t.Fatal(err)
		}
		if line, _, _ := strings.Cut(wire.String(), "\r\n"); line != "GET "+want+" HTTP/1.1" {
			t.Errorf("%q is sent as %q", want, line)
		}
	})
}

// TestMalformedResponseStatesNothing guards against a target in trouble whose response is none
// by the protocol: neither its load report nor what it states about itself counts.
func TestMalformedResponseStatesNothing(t *testing.T) {
	target := newRawTarget(t, func(c net.Conn, _, _ int) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX Bad: a\r\nLoad: 1\r\nLimit: 2\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	c := NewClientWithProtocol(&Protocol{
		NotRun:         func(int, http.Header) bool { return false },
		ParseLoad:      func(h http.Header) (routing.LoadReport, bool) { return routing.LoadReport{}, h.Get("Load") != "" },
		ParseStatement: func(_ int, h http.Header) routing.Statement { return routing.Statement{Limited: h.Get("Limit") != ""} },
	})
	_, err := c.Probe(t.Context(), target.endpoint, "/health")
	var failed *CallError
	if !errors.As(err, &failed) || failed.Reason != MalformedResponse || !failed.Sent || failed.Crashed {
		t.Errorf("got %+v", err)
	}
	if stated, _ := target.endpoint.Load.Statement(); stated.Limited {
		t.Errorf("statement %+v", stated)
	}
}

// TestUnsolicitedBytesEndTheConnection guards against a target that sends bytes after a
// whole response: they belong to no later request, and the log must not hold them.
func TestUnsolicitedBytesEndTheConnection(t *testing.T) {
	var logged bytes.Buffer
	log.SetOutput(&logged)
	defer log.SetOutput(os.Stderr)
	sent := make(chan struct{}, 2)
	target := newRawTarget(t, func(c net.Conn, conn, _ int) bool {
		if !respondOK(c) || conn > 1 {
			return conn > 1
		}
		time.AfterFunc(20*time.Millisecond, func() {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
			sent <- struct{}{}
		})
		return true
	})
	c := NewClient()
	mustDo(t, c, target.call())
	<-sent
	for c.ConnectionCount() > 0 {
		time.Sleep(time.Millisecond)
	}
	mustDo(t, c, target.call())
	if got := target.conns.Load(); got != 2 {
		t.Errorf("%d connections", got)
	}
	log.SetOutput(os.Stderr)
	if logged.Len() > 0 {
		t.Errorf("logged %q", logged.String())
	}
}

// TestErrorsHoldLittleOfWhatTargetsSend guards against a faulty target whose long lines are
// quoted in errors, which are logged and kept as events.
func TestErrorsHoldLittleOfWhatTargetsSend(t *testing.T) {
	long := strings.Repeat("long", 10_000)
	for _, field := range []string{"Content-Length: " + long, "Transfer-Encoding: " + long, long, "Target: " + long + "\r\nContent-Length: 0"} {
		target := newRawTarget(t, func(c net.Conn, _, _ int) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n")
			return false
		})
		c := NewClientWithProtocol(&Protocol{TargetID: "Target", NotRun: defaultProtocol.NotRun, ParseLoad: defaultProtocol.ParseLoad})
		if _, err := c.Probe(t.Context(), target.endpoint, "/health"); err == nil || len(err.Error()) > 400 {
			t.Errorf("%.20s: error of %d bytes", field, len(err.Error()))
		}
	}
}

// TestShortKeepAliveTimeoutsAreHeeded guards against a target that closes idle connections after
// a second, or at once: that counted as no timeout, and requests were lost on such connections.
func TestShortKeepAliveTimeoutsAreHeeded(t *testing.T) {
	for _, c := range []struct {
		announced string
		idle      time.Duration
		reused    bool
	}{
		{"timeout=0", 10 * time.Millisecond, false},
		{"timeout=1", 300 * time.Millisecond, true},
		{"timeout=1", 600 * time.Millisecond, false},
		{"max=5, timeout=2", 900 * time.Millisecond, true},
		{"timeout=2", 1100 * time.Millisecond, false},
		{"timeout=x", 5 * time.Second, true},
	} {
		target := newRawTarget(t, func(conn net.Conn, _, _ int) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nKeep-Alive: "+c.announced+"\r\nContent-Length: 2\r\n\r\nok")
			return err == nil
		})
		client := NewClient()
		client.epoch = client.epoch.Add(-time.Hour)
		mustDo(t, client, target.call())
		pool := client.pools.get(client, target.endpoint.Target.Addr)
		idle := pool.pop()
		idle.verifiedAt -= c.idle
		pool.push(idle)
		if got := mustDo(t, client, target.call()).Reused; got != c.reused {
			t.Errorf("%s, idle for %v: reused %t", c.announced, c.idle, got)
		}
	}
}
