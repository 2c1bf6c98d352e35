package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/callers"
	"redwingpoint.org/redwingpoint/internal/route"
)

// TestHandlerPanicEndsOneRequest guards against a panic of one request's handler that ends the
// process: its caller gets 502, those behind it their answers.
func TestHandlerPanicEndsOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, _ := serveOnPipe(func(_ context.Context, r *Request) *Response {
			if r.Path == "/panic" {
				panic("a fault")
			}
			return plainResponse(http.StatusOK, r.Path)
		})
		defer func() { _ = caller.Close() }()
		_, _ = io.WriteString(caller, get("/panic")+get("/2"))
		r := bufio.NewReader(caller)
		if resp, _ := receive(t, r); resp.StatusCode != http.StatusBadGateway {
			t.Errorf("status %d", resp.StatusCode)
		}
		if _, body := receive(t, r); body != "/2" {
			t.Errorf("response %q behind a panic", body)
		}
	})
}

// panickingBody panics when it is read.
type panickingBody struct{}

func (panickingBody) Read([]byte) (int, error) { panic("a fault") }
func (panickingBody) Close() error             { return nil }

// TestResponsePanicEndsItsConnection guards against a panic in the goroutine that writes.
func TestResponsePanicEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, closed := serveOnPipe(func(context.Context, *Request) *Response {
			return &Response{Status: http.StatusOK, Header: http.Header{}, Remainder: panickingBody{}, ContentLength: -1}
		})
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		_, _ = io.WriteString(caller, get("/"))
		<-closed
		_ = caller.Close()
	})
}

// failingListener fails with err before each connection of the listener.
type failingListener struct {
	net.Listener
	err   error
	fails bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.fails = !l.fails; l.fails {
		return nil, l.err
	}
	return l.Listener.Accept()
}

// TestAcceptFailuresPass guards against a server that accepts nothing more after one failure of
// Accept, such as the want of a descriptor.
func TestAcceptFailuresPass(t *testing.T) {
	s := NewServer(handlerFunc{func(context.Context, *Request) *Response { return plainResponse(http.StatusOK, "served") }}, func() route.Limits { return route.Limits{} })
	failures := make(chan error, 10)
	s.OnAcceptError = func(err error) { failures <- err }
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(&failingListener{Listener: l, err: syscall.EMFILE}) }()
	for range 2 {
		c := dial(t, l.Addr().String())
		send(t, c, get("/"))
		if _, body := receive(t, bufio.NewReader(c)); body != "served" {
			t.Errorf("response %q", body)
		}
		if err := <-failures; err != syscall.EMFILE {
			t.Errorf("failure %v", err)
		}
	}
	_ = l.Close()
	if err := <-ended; err == nil {
		t.Error("Serve returned without the end of its listener")
	}
}

// TestHeadArrivesInAnyPieces checks heads below and above the read buffer, cut at any byte.
func TestHeadArrivesInAnyPieces(t *testing.T) {
	for _, size := range []int{0, 3000, readBufferBytes, 2 * readBufferBytes, 16 << 10} {
		for _, lineEnd := range []string{"\r\n", "\n"} {
			text := "POST /a HTTP/1.1" + lineEnd + "Host: h" + lineEnd + "X: " + strings.Repeat("x", size) + lineEnd + "Content-Length: 2" + lineEnd + lineEnd + "ab"
			for _, piece := range []int{1, 7, 4095, 4096, 4097, len(text)} {
				synctest.Test(t, func(t *testing.T) {
					caller, _ := serveOnPipe(func(_ context.Context, r *Request) *Response {
						body, err := io.ReadAll(r.HTTP.Body)
						return plainResponse(http.StatusOK, fmt.Sprint(len(r.HTTP.Header.Get("X")), r.HTTP.Host, string(body), err))
					})
					defer func() { _ = caller.Close() }()
					go func() {
						for rest := text + get("/b"); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
							_, _ = io.WriteString(caller, rest[:min(piece, len(rest))])
						}
					}()
					r := bufio.NewReader(caller)
					for _, want := range []string{fmt.Sprint(size, "h", "ab", nil), fmt.Sprint(0, "h", "", nil)} {
						if _, body := receive(t, r); body != want {
							t.Errorf("size %d, pieces of %d: %q, want %q", size, piece, body, want)
						}
					}
				})
			}
		}
	}
}

// TestBadInputGetsItsStatus guards against input that breaks the protocol or a limit and gets no
// answer, another one, or lets a request behind it through.
func TestBadInputGetsItsStatus(t *testing.T) {
	post := "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, bad := range []struct {
		name, text string
		status     int
	}{
		{"no request", "nonsense\r\n\r\n", http.StatusBadRequest},
		{"malformed field", "GET / HTTP/1.1\r\n x\r\n\r\n", http.StatusBadRequest},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		{"too many fields", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 12_000) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		{"chunk size", post + "x\r\n", http.StatusBadRequest},
		{"long chunk size line", post + "1;" + strings.Repeat("e", 2*readBufferBytes) + "\r\n", http.StatusBadRequest},
		{"trailers", post + "0\r\n" + strings.Repeat("a: b\r\n", 12_000) + "\r\n", http.StatusBadRequest},
		{"half a head", "GET / HT", http.StatusRequestTimeout},
	} {
		t.Run(bad.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller, closed := serveOnPipe(func(_ context.Context, r *Request) *Response {
					if r.Path == "/behind" {
						t.Error("a request behind bad input is served")
					}
					if _, err := io.Copy(io.Discard, r.HTTP.Body); err != nil {
						return plainResponse(http.StatusBadRequest, "")
					}
					return plainResponse(http.StatusOK, "")
				})
				go func() {
					_, _ = io.WriteString(caller, bad.text)
					if bad.status != http.StatusRequestTimeout {
						_, _ = io.WriteString(caller, get("/behind"))
					}
				}()
				resp, err := http.ReadResponse(bufio.NewReader(caller), nil)
				if err != nil || resp.StatusCode != bad.status || !resp.Close {
					t.Errorf("%v, %v; want status %d and the end of the connection", resp, err, bad.status)
				}
				_ = caller.Close()
				<-closed
			})
		})
	}
}

// TestNothingIsHeldWhenConnectionsEnd guards against a leak in the account of a connection, over
// requests that are served, refused for their head and cut.
func TestNothingIsHeldWhenConnectionsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(handlerFunc{func(_ context.Context, r *Request) *Response {
			_, _ = io.Copy(io.Discard, r.HTTP.Body)
			return plainResponse(http.StatusOK, "")
		}}, func() route.Limits { return route.Limits{} })
		s.Budget = callers.NewBudget(callers.Limits{Memory: 200 << 10})
		held := func() int64 { memory, _, _ := s.Budget.Usage(); return memory }
		for _, text := range []string{
			get("/"), get("/") + get("/") + "GET / HT", bodies[0].text, bodies[1].text[:len(bodies[1].text)-9], "GET / HTTP/1.1\r\n: x\r\n\r\n",
			"GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 10_000),
		} {
			caller, raw := net.Pipe()
			c := newConn(s, raw)
			var ok bool
			if c.account, ok = s.Budget.Open(c); !ok {
				t.Fatal("no room for a connection")
			}
			done := make(chan struct{})
			go func() { defer close(done); c.serve() }()
			go func() { _, _ = io.Copy(io.Discard, caller) }()
			_, _ = io.WriteString(caller, text)
			time.Sleep(time.Minute)
			_ = caller.Close()
			<-done
			if n := c.account.Held(); n != callers.ConnectionBytes {
				t.Errorf("%.30q: %d bytes are held at the end, %d by the connection", text, n, callers.ConnectionBytes)
			}
			c.account.Close()
			if n := held(); n != 0 {
				t.Errorf("%.30q: %d bytes are left", text, n)
			}
		}
	})
}

// TestAbortSparesRequestsAtTargets guards against closing a connection to make room while one of
// its requests runs at a target, also if that came after it was chosen.
func TestAbortSparesRequestsAtTargets(t *testing.T) {
	for _, play := range []struct {
		name, text string
		mayClose   bool
	}{
		{"idle", "", true},
		{"half a head", "GET / HT", true},
		{"at a target", get("/"), false},
		{"at a target, half a head behind it", get("/") + "GET / HT", false},
		{"half a body", "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01", true},
		{"at a target, half a body behind it", get("/") + "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n01", false},
	} {
		t.Run(play.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer(handlerFunc{func(_ context.Context, r *Request) *Response {
					if _, err := io.Copy(io.Discard, r.HTTP.Body); err == nil {
						time.Sleep(time.Second)
					}
					return plainResponse(http.StatusOK, "")
				}}, func() route.Limits { return route.Limits{} })
				caller, raw := net.Pipe()
				c := newConn(s, raw)
				done := make(chan struct{})
				go func() { defer close(done); c.serve() }()
				go func() { _, _ = io.Copy(io.Discard, caller) }()
				_, _ = io.WriteString(caller, play.text)
				synctest.Wait()
				if c.MayClose() != play.mayClose || c.Abort() != play.mayClose {
					t.Errorf("the connection may close: %t, want %t", c.MayClose(), play.mayClose)
				}
				_ = caller.Close()
				<-done
			})
		})
	}
}
