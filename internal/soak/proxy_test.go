package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"
)

// proxyMode is what a proxy does with its connections.
type proxyMode int32

const (
	// modeForward forwards both directions.
	modeForward proxyMode = iota
	// modeBlackhole keeps connections open and discards both directions.
	modeBlackhole
	// modeOneWay forwards what the client sends and discards what the server sends.
	modeOneWay
	// modeReset resets open connections, and new ones right after they are accepted.
	modeReset
)

// proxy is a TCP proxy on loopback that injects network faults. Its methods are safe for
// concurrent use.
type proxy struct {
	t           *testing.T
	listener    net.Listener
	destination string
	mode        atomic.Int32
	// delay is added before each forwarded write, in nanoseconds.
	delay atomic.Int64
	// bandwidth, if set, limits what the destination sends over all connections.
	bandwidth *rate.Limiter

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// newProxy starts a proxy to an address; it runs until the test ends.
func newProxy(t *testing.T, destination string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{t: t, listener: l, destination: destination, conns: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close()
		p.resetConns()
	})
	go p.accept()
	return p
}

// addr returns the address on which the proxy listens.
func (p *proxy) addr() string { return p.listener.Addr().String() }

// setMode changes the mode. Bytes that were discarded are not sent later.
func (p *proxy) setMode(m proxyMode) {
	p.mode.Store(int32(m))
	if m == modeReset {
		p.resetConns()
	}
}

func (p *proxy) hasMode(m proxyMode) bool { return proxyMode(p.mode.Load()) == m }

// resetConns closes all connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// accept relays new connections until the listener closes.
func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.relay(in)
	}
}

// relay connects an accepted connection to the destination.
func (p *proxy) relay(in net.Conn) {
	out, err := net.Dial("tcp", p.destination)
	if err != nil || p.hasMode(modeReset) {
		_ = in.(*net.TCPConn).SetLinger(0)
		_ = in.Close()
		if out != nil {
			_ = out.Close()
		}
		return
	}
	p.track(in, out)
	go p.copyBytes(in, out, modeOneWay)
	go p.copyBytes(out, in, modeForward)
}

// track registers connections for resetConns.
func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

// copyBytes copies one direction of a connection. It forwards in modeForward and in
// alsoMode, and discards in the other modes.
func (p *proxy) copyBytes(from, to net.Conn, alsoMode proxyMode) {
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
		if n > 0 && (p.hasMode(modeForward) || p.hasMode(alsoMode)) {
			time.Sleep(time.Duration(p.delay.Load()))
			if p.bandwidth != nil && alsoMode == modeForward {
				_ = p.bandwidth.WaitN(p.t.Context(), n)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF || err != nil {
			return
		}
	}
}
