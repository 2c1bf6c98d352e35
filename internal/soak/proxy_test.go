package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// passage is what a proxy does with the bytes of its connections.
type passage int32

const (
	passes passage = iota
	// silent keeps connections open and passes nothing.
	silent
	// oneWay passes what the dialing side sends and nothing back.
	oneWay
	// resets resets open connections and refuses new ones.
	resets
)

// proxy is a loopback proxy on the way to one address.
type proxy struct {
	t        *testing.T
	listener net.Listener
	to       string
	mode     atomic.Int32
	// delay is added to each piece that passes, in nanoseconds.
	delay atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, to string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{t: t, listener: l, to: to, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.cut()
	})
	go p.accept()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// set changes the passage. What was silenced never arrives.
func (p *proxy) set(m passage) {
	p.mode.Store(int32(m))
	if m == resets {
		p.cut()
	}
}

func (p *proxy) is(m passage) bool { return passage(p.mode.Load()) == m }

func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(in)
	}
}

func (p *proxy) carry(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	if err != nil || p.is(resets) {
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		if out != nil {
			_ = out.Close()
		}
		return
	}
	p.track(in, out)
	go p.pump(in, out, oneWay)
	go p.pump(out, in, passes)
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// pump copies one direction; also names the mode besides passes in which it goes on.
func (p *proxy) pump(from, to net.Conn, also passage) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
		p.mu.Lock()
		delete(p.conns, from)
		p.mu.Unlock()
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && (p.is(passes) || p.is(also)) {
			time.Sleep(time.Duration(p.delay.Load()))
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
