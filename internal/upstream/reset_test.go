package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// resetConn is a connection whose peer sends a response while a request is being written.
// Then it resets the connection, or ends it if reset is nil. As in a kernel, the reset fails
// only the one call that meets it first, a write; reads from then on find the end.
type resetConn struct {
	net.Conn
	response string
	reset    error
	// writing is closed once the request's body is being written, ended once a read has
	// found the end and interrupted once a deadline ends pending writes.
	writing, ended, interrupted             chan struct{}
	writingOnce, endedOnce, interruptedOnce sync.Once
	// requestBytes is how many bytes are written before the write blocks.
	requestBytes int
}

func (c *resetConn) Write(p []byte) (int, error) {
	if c.requestBytes >= len(p) {
		c.requestBytes -= len(p)
		return len(p), nil
	}
	c.writingOnce.Do(func() { close(c.writing) })
	if c.reset != nil {
		<-c.ended
		return 0, c.reset
	}
	<-c.interrupted
	return 0, os.ErrDeadlineExceeded
}

func (c *resetConn) Read(p []byte) (int, error) {
	<-c.writing
	if c.response != "" {
		n := copy(p, c.response)
		c.response = c.response[n:]
		return n, nil
	}
	c.endedOnce.Do(func() { close(c.ended) })
	return 0, io.EOF
}

func (c *resetConn) SetWriteDeadline(time.Time) error {
	c.interruptedOnce.Do(func() { close(c.interrupted) })
	return nil
}

func (c *resetConn) Close() error { return c.SetWriteDeadline(time.Time{}) }

// TestResetEndsNoResponse guards against a target that answers an upload at once, without a
// length, and resets the connection while the upload is being written: what it has sent must
// not count as a whole response. A target that ends the connection has ended its response.
func TestResetEndsNoResponse(t *testing.T) {
	for _, c := range []struct {
		name  string
		reset error
		whole bool
	}{
		{"reset", syscall.ECONNRESET, false},
		{"end", nil, true},
		{"reset after the end", syscall.EPIPE, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := NewClientWithDialer(func(context.Context, netip.AddrPort) (net.Conn, error) {
				return &resetConn{
					response: "HTTP/1.1 200 OK\r\n\r\npart", reset: c.reset, requestBytes: 8 << 10,
					writing: make(chan struct{}), ended: make(chan struct{}), interrupted: make(chan struct{}),
				}, nil
			})
			target := newRawTarget(t, nil)
			response, err := client.Do(t.Context(), Call{
				Endpoint: target.endpoint, Method: http.MethodPost, Path: "/", Header: http.Header{},
				Body: io.LimitReader(zeros{}, 1<<20), ContentLength: 1 << 20,
			})
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			if (err == nil) != c.whole || string(body) != "part" {
				t.Errorf("body %q, error %v", body, err)
			}
			_ = response.Body.Close()
		})
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }
