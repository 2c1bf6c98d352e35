package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// lateConn is a connection of a process that runs late: its first read ends only when the server
// interrupts it or closes the connection, whatever has arrived before.
type lateConn struct {
	net.Conn
	// deliver makes the first read return what has arrived, in place of an interruption.
	deliver bool
	reading chan struct{}

	once        sync.Once
	interrupted chan struct{}
	past        atomic.Bool
}

func newLateConn(c net.Conn, deliver bool) *lateConn {
	return &lateConn{Conn: c, deliver: deliver, reading: make(chan struct{}), interrupted: make(chan struct{})}
}

func (c *lateConn) Read(p []byte) (int, error) {
	first := false
	c.once.Do(func() { first = true })
	if !first {
		return c.Conn.Read(p)
	}
	close(c.reading)
	select {
	case <-c.interrupted:
	case <-time.After(time.Second):
	}
	if c.deliver {
		_ = c.SetReadDeadline(time.Time{})
		return c.Conn.Read(p)
	}
	return 0, os.ErrDeadlineExceeded
}

func (c *lateConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) && c.past.CompareAndSwap(false, true) {
		close(c.interrupted)
	}
	return c.Conn.SetReadDeadline(t)
}

// startLateServer returns a server with one connection whose first read is late, and the caller's
// end of it.
func startLateServer(t *testing.T, limits route.Limits, deliver bool) (*Server, *lateConn, net.Conn) {
	t.Helper()
	s := NewServer(handlerFunc{func(_ context.Context, r *Request) *Response {
		return plainResponse(http.StatusOK, r.Path)
	}}, func() route.Limits { return limits })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	caller := dial(t, l.Addr().String())
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	late := newLateConn(accepted, deliver)
	c := newConn(s, late)
	c.openedAt = c.openedAt.Add(-time.Minute)
	s.add(c)
	go func() {
		defer s.remove(c)
		c.serve()
	}()
	<-late.reading
	return s, late, caller
}

// TestRequestThatArrivedBeforeTheCloseIsAnswered guards against a close of an idle connection whose
// request has arrived, but which the server hasn't read yet since the process runs late: the caller gets
// neither a response nor a refusal.
func TestRequestThatArrivedBeforeTheCloseIsAnswered(t *testing.T) {
	for name, deliver := range map[string]bool{"read, and closed before it is begun": true, "not read before the close": false} {
		t.Run("shutdown, "+name, func(t *testing.T) {
			s, _, caller := startLateServer(t, route.Limits{}, deliver)
			send(t, caller, get("/1"))
			s.Drain()
			go func() { _ = s.Shutdown(context.Background()) }()
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil || response.StatusCode != http.StatusOK || !response.Close {
				t.Errorf("response %v, %v, want one that closes the connection", response, err)
			}
		})
	}
	t.Run("idle timeout", func(t *testing.T) {
		s, late, caller := startLateServer(t, route.Limits{IdleTimeout: time.Millisecond}, false)
		send(t, caller, get("/1"))
		_ = late.SetReadDeadline(time.Now().Add(-time.Second))
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("response %v, %v", response, err)
		}
		if n := s.ConnectionCount(); n > 1 {
			t.Errorf("%d connections", n)
		}
	})
}

// lateListener is a listener of a process that runs late: it accepts only once a deadline is set or
// it is closed.
type lateListener struct {
	*net.TCPListener
	once    sync.Once
	stopped chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.stopped
	return l.TCPListener.Accept()
}

func (l *lateListener) SetDeadline(t time.Time) error {
	defer l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.SetDeadline(t)
}

func (l *lateListener) Close() error {
	defer l.once.Do(func() { close(l.stopped) })
	return l.TCPListener.Close()
}

// TestConnectionThatWaitsAtTheCloseOfTheListenerIsServed guards against connections that the system has
// accepted and the process hasn't, and that are reset with the listener.
func TestConnectionThatWaitsAtTheCloseOfTheListenerIsServed(t *testing.T) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &lateListener{TCPListener: tcp.(*net.TCPListener), stopped: make(chan struct{})}
	s := NewServer(handlerFunc{func(_ context.Context, r *Request) *Response {
		return plainResponse(http.StatusOK, r.Path)
	}}, func() route.Limits { return route.Limits{} })
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	caller := dial(t, tcp.Addr().String())
	send(t, caller, get("/1"))
	s.Drain()
	if err := s.StopAccepting(l); err != nil {
		t.Error(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Errorf("response %v, %v", response, err)
	}
	if err := <-served; !errors.Is(err, net.ErrClosed) {
		t.Errorf("the server stopped with %v", err)
	}
}

// deadlineConn is a connection whose read deadlines take effect late. It records whether a read was
// interrupted after the write side was closed.
type deadlineConn struct {
	*net.TCPConn
	writeClosed, cutShort atomic.Bool
}

func (c *deadlineConn) CloseWrite() error {
	c.writeClosed.Store(true)
	return c.TCPConn.CloseWrite()
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	interrupts := !t.IsZero() && t.Before(time.Now())
	if interrupts {
		time.Sleep(10 * time.Millisecond)
	} else {
		time.Sleep(2 * time.Millisecond)
	}
	if c.writeClosed.Load() && interrupts {
		c.cutShort.Store(true)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// TestLingeringIsNotCutShort guards against a connection that is closed with unread input right after
// its last response, so that the reset takes the response with it.
func TestLingeringIsNotCutShort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var s *Server
	s = NewServer(handlerFunc{func(_ context.Context, r *Request) *Response {
		s.Drain()
		return plainResponse(http.StatusOK, r.Path)
	}}, func() route.Limits { return route.Limits{} })
	cut := 0
	for range 20 {
		s.draining.Store(false)
		caller := dial(t, l.Addr().String())
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		conn := &deadlineConn{TCPConn: accepted.(*net.TCPConn)}
		c := newConn(s, conn)
		done := make(chan struct{})
		go func() {
			defer close(done)
			c.serve()
		}()
		send(t, caller, get("/1"))
		if _, err := io.ReadAll(caller); err != nil && !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		_ = caller.Close()
		<-done
		if conn.cutShort.Load() {
			cut++
		}
	}
	if cut > 0 {
		t.Errorf("%d of 20 connections didn't read their input before they closed", cut)
	}
}
