package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// udpProxy is a UDP proxy on loopback that delays datagrams, as a link between regions does.
type udpProxy struct {
	socket      *net.UDPConn
	destination *net.UDPAddr
	delay       time.Duration

	mu sync.Mutex
	// upstreams holds the socket towards the destination of each client.
	upstreams map[string]*net.UDPConn
}

// newUDPProxy starts a proxy from an address to another one with a delay for each direction;
// it runs until the test ends.
func newUDPProxy(t *testing.T, listen, destination string, delay time.Duration) {
	t.Helper()
	from, to := mustResolveUDP(t, listen), mustResolveUDP(t, destination)
	socket, err := net.ListenUDP("udp", from)
	if err != nil {
		t.Fatal(err)
	}
	p := &udpProxy{socket: socket, destination: to, delay: delay, upstreams: make(map[string]*net.UDPConn)}
	t.Cleanup(p.close)
	go p.forward(socket, func(client *net.UDPAddr, packet []byte) {
		if upstream := p.upstream(client); upstream != nil {
			_, _ = upstream.Write(packet)
		}
	})
}

func mustResolveUDP(t *testing.T, addr string) *net.UDPAddr {
	t.Helper()
	resolved, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return resolved
}

// forward passes each datagram that a socket receives to send after the delay, until the
// socket is closed. Errors of unreachable ports are skipped.
func (p *udpProxy) forward(socket *net.UDPConn, send func(from *net.UDPAddr, packet []byte)) {
	buffer := make([]byte, 64<<10)
	for failures := 0; failures < 1000; {
		n, from, err := socket.ReadFromUDP(buffer)
		if err != nil {
			failures++
			continue
		}
		failures = 0
		packet := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(p.delay, func() { send(from, packet) })
	}
}

// upstream returns the socket towards the destination for a client, or nil if there is none.
func (p *udpProxy) upstream(client *net.UDPAddr) *net.UDPConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if upstream := p.upstreams[client.String()]; upstream != nil {
		return upstream
	}
	upstream, err := net.DialUDP("udp", nil, p.destination)
	if err != nil {
		return nil
	}
	p.upstreams[client.String()] = upstream
	go p.forward(upstream, func(_ *net.UDPAddr, packet []byte) { _, _ = p.socket.WriteToUDP(packet, client) })
	return upstream
}

func (p *udpProxy) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.socket.Close()
	for _, upstream := range p.upstreams {
		_ = upstream.Close()
	}
}
