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

// wireEnd is one end of a real connection whose packets are counted at the socket.
type wireEnd struct {
	transport *peer.Transport
	up        chan peer.Link
	data      chan []byte

	mu    sync.Mutex
	sizes []int
}

func (w *wireEnd) LinkUp(l peer.Link)                    { w.up <- l }
func (w *wireEnd) LinkDown(model.InstanceID, bool)       {}
func (w *wireEnd) DialFailed(string)                     {}
func (w *wireEnd) Datagram(_ model.InstanceID, p []byte) { w.data <- p }

func (w *wireEnd) count(bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sizes = append(w.sizes, bytes)
}

// take returns the sizes of the packets sent since the last call.
func (w *wireEnd) take() []int {
	w.mu.Lock()
	defer w.mu.Unlock()
	sizes := w.sizes
	w.sizes = nil
	return sizes
}

func newWireEnd(t *testing.T, n int, id model.InstanceID, ca keys.Pair) *wireEnd {
	t.Helper()
	pair, err := keys.NewInstance(ca, id, time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	credentials, err := keys.New(ca.Cert, pair, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	w := &wireEnd{up: make(chan peer.Link, 4), data: make(chan []byte, 4)}
	w.transport, err = peer.Listen(peer.Options{
		Listen: net.JoinHostPort(standin.LoopbackIP(n), "0"), Credentials: credentials, Handler: w,
		Recorder: events.Discard, OnSend: w.count, MaxLinks: 4,
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

// heard waits until an end has received some more packets.
func (w *wireEnd) heard(from model.InstanceID, packets uint64) {
	start := w.transport.Heard(from)
	for w.transport.Heard(from) < start+packets {
		time.Sleep(time.Millisecond)
	}
}

// wireCosts are the sizes of one round, in bytes.
type wireCosts struct{ dialer, acceptor, ping, datagram, ack int }

// least keeps the smaller of each size: repetitions and combined frames, which a
// busy machine brings about, only add to them.
func (c *wireCosts) least(o wireCosts) {
	c.dialer = min(c.dialer, o.dialer)
	c.acceptor = min(c.acceptor, o.acceptor)
	c.ping = min(c.ping, o.ping)
	c.datagram = min(c.datagram, o.datagram)
	c.ack = min(c.ack, o.ack)
}

const wirePayload = 100

// measure connects two new ends and counts their packets.
func measure(t *testing.T, ca keys.Pair, n int) wireCosts {
	a := newWireEnd(t, n, "praha-a-1", ca)
	b := newWireEnd(t, n+1, "praha-b-1", ca)
	a.transport.Dial(b.transport.Addr())
	<-a.up
	<-b.up
	a.heard("praha-b-1", 2)
	c := wireCosts{dialer: sum(a.take()), acceptor: sum(b.take())}
	a.heard("praha-b-1", 2)
	c.ping = slices.Max(append(a.take(), b.take()...))
	a.transport.Send("praha-b-1", make([]byte, wirePayload))
	<-b.data
	a.heard("praha-b-1", 1)
	c.datagram, c.ack = slices.Max(a.take()), slices.Max(b.take())
	return c
}

// TestWireCosts compares the sizes that the simulation charges with the packets
// of real connections.
func TestWireCosts(t *testing.T) {
	ca, err := keys.NewCA("vltava", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	costs := measure(t, ca, 150)
	for i := range 3 {
		costs.least(measure(t, ca, 152+2*i))
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
