package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// serveOnPipe serves one connection over a pipe in virtual time, to whose end it returns the
// caller's side. The handler is called for each request.
func serveOnPipe(serve func(context.Context, *Request) *Response) (caller net.Conn, closed <-chan struct{}) {
	s := NewServer(handlerFunc{serve}, func() route.Limits { return route.Limits{} })
	caller, raw := net.Pipe()
	done := make(chan struct{})
	go func() {
		defer close(done)
		newConn(s, raw).serve()
	}()
	return caller, done
}

// bodies are requests with bodies in both framings and their lengths.
var bodies = []struct {
	text   string
	length int
}{
	{"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789", 10},
	{"POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=\"v\"\r\n01234\r\n0005\r\n56789\r\n0\r\nX: y\r\n\r\n", 10},
}

// cutBody is what a caller and the handler do in one play of playCutBody.
type cutBody struct {
	// text is the request, cut the number of its bytes that are sent before a stall.
	text string
	cut  int
	// early makes the handler return while another goroutine still reads the body; else the
	// body is closed under that goroutine, as when the connection to a target closes.
	early bool
	// resumes makes the caller send the rest and a second request after the stall.
	resumes bool
}

// playCutBody plays a request whose caller stalls. It fails the test if a part of the body is
// taken for a request or a connection stays open.
func playCutBody(t *testing.T, play cutBody) {
	synctest.Test(t, func(t *testing.T) {
		readDone := make(chan error, 1)
		caller, closed := serveOnPipe(func(_ context.Context, r *Request) *Response {
			if r.Path != "/body" {
				t.Errorf("%+v: a request for %q was served", play, r.Path)
				return nil
			}
			go func() {
				_, err := io.Copy(io.Discard, r.HTTP.Body)
				readDone <- err
			}()
			time.Sleep(time.Second)
			if !play.early {
				_ = r.HTTP.Body.Close()
				if err := <-readDone; err != nil {
					return plainResponse(http.StatusGatewayTimeout, "late")
				}
				return plainResponse(http.StatusOK, "read")
			}
			return plainResponse(http.StatusServiceUnavailable, "early")
		})
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		_, _ = io.WriteString(caller, play.text[:play.cut])
		time.Sleep(2 * time.Second)
		if play.resumes && play.cut < len(play.text) {
			_, _ = io.WriteString(caller, play.text[play.cut:]+get("/smuggled"))
		}
		// The header and idle timeouts end the connection by themselves.
		<-closed
		_ = caller.Close()
		synctest.Wait()
	})
}

// TestStalledBodyHasOneReader guards against two readers of a connection's input: a body that
// stalls, at any byte, while its request is answered or its target closes.
func TestStalledBodyHasOneReader(t *testing.T) {
	for _, b := range bodies {
		for cut := strings.Index(b.text, "\r\n\r\n") + 4; cut <= len(b.text); cut++ {
			for _, early := range []bool{false, true} {
				for _, resumes := range []bool{false, true} {
					playCutBody(t, cutBody{text: b.text, cut: cut, early: early, resumes: resumes})
				}
			}
		}
	}
}

// FuzzStalledBody is TestStalledBodyHasOneReader with any bytes in place of the chunks.
func FuzzStalledBody(f *testing.F) {
	for _, seed := range []string{"5\r\n01234\r\n0\r\n\r\n", "5;e=1\r\n01234\r\n0\r\nX: y\r\n\r\n", "ffffffffffffffffff\r\n", "1\n1", "0\r\n X\r\n\r\n"} {
		for cut := range len(seed) {
			f.Add(seed, cut, cut%2 == 0, cut%3 == 0)
		}
	}
	head := "POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	f.Fuzz(func(t *testing.T, chunks string, cut int, early, resumes bool) {
		text := head + chunks
		// A body that ends is followed by requests, of which FuzzHead is.
		if _, err := io.Copy(io.Discard, readBody(text)); err == nil {
			t.Skip("the body is complete")
		}
		playCutBody(t, cutBody{text: text, cut: len(head) + max(0, cut)%(len(chunks)+1), early: early, resumes: resumes && readBodyErr(text+get("/smuggled")) != nil})
	})
}

// readBody returns the body of a request.
func readBody(text string) io.Reader {
	req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return strings.NewReader("")
	}
	return req.Body
}

// readBodyErr returns the error that ends the body of a request.
func readBodyErr(text string) error {
	_, err := io.Copy(io.Discard, readBody(text))
	return err
}

// FuzzHead serves any input, which must end the connection and no more.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{get("/"), bodies[0].text, bodies[1].text, "GET / HTTP/1.1\r\n: x\r\n\r\n", "GET http://h/a HTTP/1.1\r\nHost: h\r\nContent-Length: 1, 1\r\n\r\nx"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, input string) {
		synctest.Test(t, func(t *testing.T) {
			caller, closed := serveOnPipe(func(_ context.Context, r *Request) *Response {
				n, err := io.Copy(io.Discard, r.HTTP.Body)
				return plainResponse(http.StatusOK, fmt.Sprint(n, err))
			})
			go func() { _, _ = io.Copy(io.Discard, caller) }()
			_, _ = io.WriteString(caller, input)
			_ = caller.SetReadDeadline(time.Now().Add(time.Hour))
			select {
			case <-closed:
			case <-time.After(time.Minute):
				// The handler waits for the rest of a body.
				_ = caller.Close()
				<-closed
			}
			_ = caller.Close()
			synctest.Wait()
		})
	})
}

// TestBodyDeadlineEndsWithTheBody guards against a handler that takes away the time limit of
// the next head on its connection.
func TestBodyDeadlineEndsWithTheBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, closed := serveOnPipe(func(_ context.Context, r *Request) *Response {
			_, _ = io.Copy(io.Discard, r.HTTP.Body)
			time.Sleep(time.Second)
			r.BodyDeadline(time.Time{})
			return plainResponse(http.StatusOK, "read")
		})
		go func() { _, _ = io.Copy(io.Discard, caller) }()
		_, _ = io.WriteString(caller, bodies[0].text+"GET /half HT")
		select {
		case <-closed:
		case <-time.After(2 * defaultIdleTimeout):
			t.Error("half a head keeps the connection open")
			_ = caller.Close()
			<-closed
		}
	})
}

// TestContinueComesAfterEarlierResponses guards against a 100 Continue in the middle of, or
// before, the response to an earlier request.
func TestContinueComesAfterEarlierResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		caller, _ := serveOnPipe(func(_ context.Context, r *Request) *Response {
			if r.Path == "/first" {
				time.Sleep(time.Second)
			}
			body, _ := io.ReadAll(r.HTTP.Body)
			return plainResponse(http.StatusOK, r.Path+string(body))
		})
		defer func() { _ = caller.Close() }()
		_, _ = io.WriteString(caller, get("/first")+"POST /second HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
		r := bufio.NewReader(caller)
		if _, body := receive(t, r); body != "/first" {
			t.Errorf("first response %q", body)
		}
		if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != http.StatusContinue {
			t.Fatalf("%v, %v; want 100 Continue", resp, err)
		}
		_, _ = io.WriteString(caller, "ab")
		if _, body := receive(t, r); body != "/secondab" {
			t.Errorf("second response %q", body)
		}
	})
}
