package fleet

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/standin"
)

// wireEndpoint is one end of a real connection that records the sizes of the packets
// sent on its socket.
type wireEndpoint struct {
	transport *peer.Transport
	up        chan peer.Link
	data      chan []byte

	mu    sync.Mutex
	sizes []int
}

func (w *wireEndpoint) LinkUp(l peer.Link)                    { w.up <- l }
func (w *wireEndpoint) LinkDown(model.InstanceID, bool)       {}
func (w *wireEndpoint) DialFailed(string)                     {}
func (w *wireEndpoint) Datagram(_ model.InstanceID, p []byte) { w.data <- p }

func (w *wireEndpoint) record(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sizes = append(w.sizes, bytes)
}

// takeSizes returns the sizes of the packets sent since the last call.
func (w *wireEndpoint) takeSizes() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sizes := w.sizes
	w.sizes = nil
	return sizes
}

func newWireEndpoint(t *testing.T, n int, id model.InstanceID, ca keys.KeyPair) *wireEndpoint {
	t.Helper()
	pair, err := keys.NewInstanceCert(ca, id, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := keys.NewCredentials(ca.Cert, pair, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	w := &wireEndpoint{up: make(chan peer.Link, 4), data: make(chan []byte, 4)}
	w.transport, err = peer.Listen(peer.Options{
		Listen: net.JoinHostPort(standin.LoopbackIP(n), "0"), Credentials: credentials, Handler: w,
		Recorder: events.Discard, OnSend: w.record, MaxLinks: 4,
	})
	if err != nil {
		t.Fatal(err)
	}
	w.transport.Start()
	t.Cleanup(w.transport.Stop)
	return w
}

func sum(sizes []int) int {
	total := 0
	for _, n := range sizes {
		total += n
	}
	return total
}

// awaitPackets waits until the endpoint has received the given number of further packets.
func (w *wireEndpoint) awaitPackets(from model.InstanceID, packets uint64) {
	start := w.transport.PacketsReceived(from)
	for w.transport.PacketsReceived(from) < start+packets {
		time.Sleep(time.Millisecond)
	}
}

// wireCosts are the measured sizes in bytes: the totals that dialer and acceptor send
// for a handshake, and the sizes of single packets.
type wireCosts struct{ dialer, acceptor, ping, datagram, ack int }

// minimize lowers each size to that of o if that is smaller. Retransmissions and
// coalesced frames on a busy machine only ever increase the sizes.
func (c *wireCosts) minimize(o wireCosts) {
	c.dialer = min(c.dialer, o.dialer)
	c.acceptor = min(c.acceptor, o.acceptor)
	c.ping = min(c.ping, o.ping)
	c.datagram = min(c.datagram, o.datagram)
	c.ack = min(c.ack, o.ack)
}

// wirePayload is the size of the measured datagram's payload in bytes.
const wirePayload = 100

// measure connects two new endpoints and returns the sizes of their packets.
func measure(t *testing.T, ca keys.KeyPair, n int) wireCosts {
	a := newWireEndpoint(t, n, "praha-a-1", ca)
	b := newWireEndpoint(t, n+1, "praha-b-1", ca)
	a.transport.Dial(b.transport.Addr())
	<-a.up
	<-b.up
	a.awaitPackets("praha-b-1", 2)
	c := wireCosts{dialer: sum(a.takeSizes()), acceptor: sum(b.takeSizes())}
	a.awaitPackets("praha-b-1", 2)
	c.ping = slices.Max(append(a.takeSizes(), b.takeSizes()...))
	a.transport.Send("praha-b-1", make([]byte, wirePayload))
	<-b.data
	a.awaitPackets("praha-b-1", 1)
	c.datagram, c.ack = slices.Max(a.takeSizes()), slices.Max(b.takeSizes())
	return c
}

// TestWireCosts checks that the sizes assumed by the simulation are not smaller than
// the packets of real connections.
func TestWireCosts(t *testing.T) {
	ca, err := keys.NewCA("vltava", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	costs := measure(t, ca, 150)
	for i := range 3 {
		costs.minimize(measure(t, ca, 152+2*i))
	}
	t.Logf("handshake and first keep-alives: dialer %d B, acceptor %d B", costs.dialer, costs.acceptor)
	t.Logf("keep-alive or acknowledgement: %d B", costs.ping)
	t.Logf("datagram of %d B: %d B, acknowledgement %d B", wirePayload, costs.datagram, costs.ack)
	if costs.dialer > simDialerBytes || costs.acceptor > simAcceptorBytes {
		t.Errorf("a handshake takes more than %d and %d B", simDialerBytes, simAcceptorBytes)
	}
	if costs.ping > simAckBytes || costs.ack > simAckBytes {
		t.Errorf("a keep-alive or an acknowledgement takes more than %d B", simAckBytes)
	}
	if costs.datagram > wirePayload+simDatagramOverhead {
		t.Errorf("a datagram takes more than its payload and %d B", simDatagramOverhead)
	}
}
