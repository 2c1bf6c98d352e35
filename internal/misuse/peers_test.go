package misuse

import (
	"context"
	"crypto/rand"
	"net"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

const (
	// peerCrowd is the number of connections to the port of the peers, each with as many
	// silent streams as it may open.
	peerCrowd   = 400
	peerStreams = 8
	// strayDatagrams is the number of datagrams that belong to no connection.
	strayDatagrams = 20_000
)

// TestPeerPort guards against what others than peers send to the port of the peers:
// datagrams that belong to nothing, handshakes that stop, and streams that go silent.
func TestPeerPort(t *testing.T) {
	g := startGateway(t, 0)
	g.sendStray()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	transport := &quic.Transport{Conn: socket}
	defer func() { _ = transport.Close(); _ = socket.Close() }()
	for range peerCrowd {
		g.abandonHandshake(transport)
	}
	for range peerCrowd {
		g.openSilentStreams(transport)
	}
	g.check()
}

// sendStray sends datagrams of random bytes that look like the first of a connection.
func (g *gateway) sendStray() {
	c, err := net.Dial("udp", g.peers)
	if err != nil {
		g.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	datagram := make([]byte, 1200)
	for range strayDatagrams {
		_, _ = rand.Read(datagram)
		// A long header of version 1 with connection IDs of 8 bytes.
		copy(datagram, []byte{0xc3, 0, 0, 0, 1, 8})
		datagram[14] = 8
		_, _ = c.Write(datagram)
	}
}

// dialPeer opens a connection as a gateway with a certificate of its own does.
func (g *gateway) dialPeer(ctx context.Context, transport *quic.Transport) (*quic.Conn, error) {
	credentials, err := keys.NewSelfSigned(keys.Identity{Fleet: "gateways", Instance: model.InstanceID(rand.Text())}, time.Now)
	if err != nil {
		g.t.Fatal(err)
	}
	addr, err := net.ResolveUDPAddr("udp", g.peers)
	if err != nil {
		g.t.Fatal(err)
	}
	return transport.Dial(ctx, addr, credentials.TLS(peer.Protocols), &quic.Config{EnableDatagrams: true, KeepAlivePeriod: 200 * time.Millisecond})
}

// abandonHandshake sends the first datagram of a connection and no more.
func (g *gateway) abandonHandshake(transport *quic.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if c, err := g.dialPeer(ctx, transport); err == nil {
		_ = c.CloseWithError(0, "")
	}
}

// openSilentStreams opens a connection with streams that carry a part of a request and stay
// open.
func (g *gateway) openSilentStreams(transport *quic.Transport) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := g.dialPeer(ctx, transport)
	if err != nil {
		// The gateway may refuse it.
		return
	}
	for range peerStreams {
		stream, err := c.OpenStream()
		if err != nil {
			return
		}
		_ = stream.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		// A frame of 256 KiB, of which a part arrives.
		_, _ = stream.Write(append([]byte{0, 4, 0, 0}, make([]byte, 60<<10)...))
	}
}
