package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// IdleTimeout is how long a connection may receive nothing before it is considered
	// lost. It is two and a half keep-alive periods, so that the loss of one packet
	// does not end a connection.
	IdleTimeout = 1000 * time.Millisecond
	// KeepAlive is the period of inactivity after which either end sends a keep-alive.
	KeepAlive = 400 * time.Millisecond
	// DialTimeout limits the duration of a connection attempt.
	DialTimeout = 800 * time.Millisecond

	// maxStreams is the default of Options.MaxStreams.
	maxStreams = 8
	// unverifiedHandshakes is the number of connections a second, and at once after a pause,
	// that others may begin without a proof of their address, which costs a round trip.
	unverifiedHandshakes = 150
	// initialStreamWindow is the initial flow control window of streams and
	// connections in bytes.
	initialStreamWindow = 64 << 10
	// maxStreamWindow is the maximum flow control window of a stream in bytes.
	maxStreamWindow = 1 << 20
	// maxConnWindow is the maximum flow control window of a connection in bytes.
	maxConnWindow = 2 << 20
)

// Protocols are the supported versions of the peer protocol as ALPN names, in order of
// preference. The preferred common version is used; a handshake without one fails.
var Protocols = []string{"redwingpoint-peer/1"}

// Application error codes with which connections are closed.
const (
	// closeShutdown is sent if the transport is stopped.
	closeShutdown quic.ApplicationErrorCode = iota + 1
	// closeNotNeeded is sent if the connection is unused, a call on it failed, or the
	// peer is not valid.
	closeNotNeeded
	// closeDuplicate is sent if another connection to the peer is kept.
	closeDuplicate
	// closeLimitReached is sent if Options.MaxLinks is reached.
	closeLimitReached
)

// Link describes an established connection.
type Link struct {
	Peer model.InstanceID
	// Addr is the UDP address of the peer.
	Addr string
	// Location is where the peer runs; the zero value if its certificate doesn't tell.
	Location model.Location
	// Protocol is the negotiated protocol version.
	Protocol string
	// Dialed is set if this instance opened the connection.
	Dialed bool
}

// Handler is notified of the events of a Transport. Its methods are called
// concurrently, but in order for each peer, and must not block.
type Handler interface {
	// LinkUp reports an established connection. It may replace an earlier connection
	// to the same peer, whose end is then not reported.
	LinkUp(Link)
	// LinkDown reports the end of a connection. lost is set if neither end closed it,
	// such as when the peer became unreachable.
	LinkDown(peer model.InstanceID, lost bool)
	// DialFailed reports that Dial could not establish a connection.
	DialFailed(addr string)
	// Datagram delivers a received datagram.
	Datagram(from model.InstanceID, payload []byte)
}

// Options configure a Transport.
type Options struct {
	// Listen is the UDP address to listen on.
	Listen      string
	Credentials *keys.Credentials
	Handler     Handler
	Recorder    events.Recorder
	// OnSend, if set, is called with the size of every packet before it is sent, including
	// the IP and UDP headers.
	OnSend func(bytes int)
	// OnExchange, if set, is called concurrently after each request, made or served.
	OnExchange func(Exchange)
	// Location is where this instance runs, which Locate tells others.
	Location model.Location
	// MaxLinks is the number of connections from which no more are accepted from peers.
	// Connections that this instance dials are not limited.
	MaxLinks int
	// Protocols, if set, replaces the package's Protocols.
	Protocols []string
	// IdleTimeout, if set, overrides the package's IdleTimeout and disables keep-alives,
	// for connections that DialAndCall opens on demand. Connections are closed after this
	// time without use.
	IdleTimeout time.Duration
	// MaxStreams limits the concurrent requests of a peer; zero means 8.
	MaxStreams int64
}

// Transport manages the connections of one instance to its peers, at most one for each
// peer. It is safe for concurrent use.
type Transport struct {
	options    Options
	socket     *countingPacketConn
	quic       *quic.Transport
	listener   *quic.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// dials merges concurrent connection attempts of DialAndCall and CallAddr to the same
	// address.
	dials singleflight.Group

	mu       sync.Mutex
	links    map[model.InstanceID]*conn
	handlers map[Op]RequestHandler
	// locating holds the calls of Locate that wait for an answer, by address.
	locating map[string][]chan model.Location
}

// conn is an authenticated connection to a peer.
type conn struct {
	*quic.Conn
	link Link
	// onExchange is that of the options, or nil.
	onExchange func(Exchange)
	// cert is the peer's certificate.
	cert *x509.Certificate
	// earlier is an open connection that the peer has dialed too and that was registered before,
	// or nil. The peer closes one of the two. It is guarded by Transport.mu.
	earlier *conn
	// longRequest has room for the one request longer than shortRequestBytes that is read.
	longRequest chan struct{}
}

// Listen opens the UDP socket and returns a Transport, which accepts connections once
// Start is called.
func Listen(o Options) (*Transport, error) {
	addr, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "resolve peer address %s", o.Listen)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", o.Listen)
	}
	if o.Protocols == nil {
		o.Protocols = Protocols
	}
	t := &Transport{
		options:  o,
		socket:   &countingPacketConn{PacketConn: socket, onSend: o.OnSend},
		links:    make(map[model.InstanceID]*conn),
		handlers: make(map[Op]RequestHandler),
		locating: make(map[string][]chan model.Location),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	unverified := rate.NewLimiter(unverifiedHandshakes, unverifiedHandshakes)
	t.quic = &quic.Transport{
		Conn: t.socket,
		// Beyond the rate, the sender must first show that it receives at its address, and
		// nothing is kept for it before that.
		VerifySourceAddress: func(net.Addr) bool { return !unverified.Allow() },
	}
	t.listener, err = t.quic.Listen(t.tlsConfig(), t.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrap(err, "listen for peers")
	}
	return t, nil
}

// tlsConfig returns the TLS configuration of both ends. It records an event for every
// peer whose certificate is rejected.
func (t *Transport) tlsConfig() *tls.Config {
	c := t.options.Credentials.TLS(t.options.Protocols)
	verify := c.VerifyConnection
	c.VerifyConnection = func(state tls.ConnectionState) error {
		err := verify(state)
		if err != nil {
			t.options.Recorder.Record(events.Event{Kind: events.PeerRefused, Detail: err.Error()})
		}
		return err
	}
	return c
}

// baseConfig returns the QUIC configuration with default options.
func baseConfig() *quic.Config {
	return &quic.Config{
		Versions:                       []quic.Version{quic.Version1},
		HandshakeIdleTimeout:           DialTimeout,
		MaxIdleTimeout:                 IdleTimeout,
		KeepAlivePeriod:                KeepAlive,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialStreamWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		DisablePathMTUDiscovery:        true,
		EnableDatagrams:                true,
	}
}

// quicConfig returns baseConfig with the options of this transport applied.
func (t *Transport) quicConfig() *quic.Config {
	c := baseConfig()
	if t.options.IdleTimeout > 0 {
		c.MaxIdleTimeout = t.options.IdleTimeout
		c.KeepAlivePeriod = 0
	}
	if t.options.MaxStreams > 0 {
		c.MaxIncomingStreams = t.options.MaxStreams
	}
	return c
}

// Addr returns the local UDP address.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

// Start starts accepting connections.
func (t *Transport) Start() {
	t.goroutines.Add(2)
	go t.answerLocate()
	go func() {
		defer t.goroutines.Done()
		for {
			c, err := t.listener.Accept(t.ctx)
			if err != nil {
				return
			}
			t.addConnection(c, false)
		}
	}()
}

// Stop closes all connections and the socket and waits until all goroutines have ended.
// Handler.LinkDown is not called for these connections.
func (t *Transport) Stop() {
	t.cancel()
	t.mu.Lock()
	open := t.links
	t.links = make(map[model.InstanceID]*conn)
	t.mu.Unlock()
	for _, c := range open {
		c.closeAll(closeShutdown)
	}
	_ = t.listener.Close()
	t.goroutines.Wait()
	_ = t.quic.Close()
	_ = t.socket.Close()
}

// Dial opens a connection asynchronously. The handler's LinkUp or DialFailed reports the
// outcome.
func (t *Transport) Dial(addr string) {
	if t.ctx.Err() != nil {
		return
	}
	t.goroutines.Add(1)
	go func() {
		defer t.goroutines.Done()
		if err := t.dial(addr); err != nil && t.ctx.Err() == nil {
			t.options.Handler.DialFailed(addr)
		}
	}()
}

// dial opens a connection and adds it to the links.
func (t *Transport) dial(addr string) error {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(t.ctx, DialTimeout)
	defer cancel()
	c, err := t.quic.Dial(ctx, remote, t.tlsConfig(), t.quicConfig())
	if err != nil {
		return err
	}
	t.addConnection(c, true)
	return nil
}

// addConnection registers an established connection and starts to serve it. It closes
// connections of this instance to itself.
func (t *Transport) addConnection(qc *quic.Conn, dialed bool) {
	state := qc.ConnectionState().TLS
	id, err := t.options.Credentials.Verify(state.PeerCertificates)
	if err != nil || id.Instance == t.options.Credentials.Self.Instance {
		_ = qc.CloseWithError(closeNotNeeded, "")
		return
	}
	c := &conn{Conn: qc, longRequest: make(chan struct{}, 1), cert: state.PeerCertificates[0], onExchange: t.options.OnExchange, link: Link{
		Peer:     id.Instance,
		Location: id.Location,
		Addr:     qc.RemoteAddr().String(),
		Protocol: state.NegotiatedProtocol,
		Dialed:   dialed,
	}}
	if !t.register(c) {
		return
	}
	t.options.Handler.LinkUp(c.link)
	t.goroutines.Add(2)
	go t.receive(c)
	go t.serve(c)
}

// register adds a connection to the links and reports whether it did. Only one
// connection is kept for each peer: of two that were dialed from different ends the one
// dialed by the instance with the lower ID, so that both ends keep the same one, and
// otherwise the newer one. Which one is newer is up to the end that dialed both: the other
// may accept them in another order, and if it closed one as well, none would be left. A peer
// with another certificate than before has restarted: its earlier connection is dead, even
// if that hasn't been noticed.
func (t *Transport) register(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[c.link.Peer]
	oldIsOpen := old != nil && old.Context().Err() == nil && old.cert.Equal(c.cert)
	switch {
	case t.ctx.Err() != nil:
		_ = c.CloseWithError(closeShutdown, "")
		return false
	case c.Context().Err() != nil:
		// It would take the place of an open one.
		return false
	case old == nil && !c.link.Dialed && len(t.links) >= t.options.MaxLinks:
		_ = c.CloseWithError(closeLimitReached, "")
		return false
	case oldIsOpen && old.link.Dialed != c.link.Dialed && old.link.Dialed == t.hasLowerID(c):
		_ = c.CloseWithError(closeDuplicate, "")
		return false
	case oldIsOpen && !old.link.Dialed && !c.link.Dialed:
		if old.earlier != nil {
			_ = old.earlier.CloseWithError(closeDuplicate, "")
		}
		c.earlier, old.earlier = old, nil
	case old != nil:
		old.closeAll(closeDuplicate)
	}
	t.links[c.link.Peer] = c
	return true
}

// closeAll closes the connection and the earlier one. The caller must hold Transport.mu, or the
// connection must not be registered any longer.
func (c *conn) closeAll(code quic.ApplicationErrorCode) {
	_ = c.CloseWithError(code, "")
	if c.earlier != nil {
		_ = c.earlier.CloseWithError(code, "")
	}
}

// hasLowerID reports whether this instance's ID is lower than that of the peer.
func (t *Transport) hasLowerID(c *conn) bool {
	return t.options.Credentials.Self.Instance < c.link.Peer
}

// receive passes the received datagrams to the handler until the connection ends.
func (t *Transport) receive(c *conn) {
	defer t.goroutines.Done()
	for {
		payload, err := c.ReceiveDatagram(t.ctx)
		if err != nil {
			t.removeConnection(c)
			return
		}
		t.options.Handler.Datagram(c.link.Peer, payload)
	}
}

// removeConnection removes an ended connection and reports it to the handler, unless
// another connection to the peer has replaced it.
func (t *Transport) removeConnection(c *conn) {
	<-c.Context().Done()
	if t.unregister(c) && t.ctx.Err() == nil {
		t.options.Handler.LinkDown(c.link.Peer, wasLost(context.Cause(c.Context())))
	}
}

// unregister removes an ended connection from the links, where an earlier one takes its place. It
// reports whether no connection to the peer is left that the connection stood for.
func (t *Transport) unregister(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.links[c.link.Peer]
	if current != c {
		if current != nil && current.earlier == c {
			current.earlier = nil
		}
		return false
	}
	if c.earlier != nil && c.earlier.Context().Err() == nil {
		t.links[c.link.Peer] = c.earlier
		return false
	}
	delete(t.links, c.link.Peer)
	return true
}

// wasLost reports whether a connection ended for another reason than being closed by
// either end, such as the idle timeout.
func wasLost(cause error) bool {
	var closed *quic.ApplicationError
	return !eris.As(cause, &closed)
}

// Send sends a datagram without guarantee of delivery. It returns false if there is no
// connection to the peer or the datagram can't be sent.
func (t *Transport) Send(to model.InstanceID, payload []byte) bool {
	c := t.conn(to)
	return c != nil && c.SendDatagram(payload) == nil
}

// PacketsReceived returns the number of packets received on the current connection to a
// peer, or zero without one.
func (t *Transport) PacketsReceived(peer model.InstanceID) uint64 {
	c := t.conn(peer)
	if c == nil {
		return 0
	}
	return c.ConnectionStats().PacketsReceived
}

// Close closes the connection to a peer, if any.
func (t *Transport) Close(peer model.InstanceID) {
	if c := t.conn(peer); c != nil {
		_ = c.CloseWithError(closeNotNeeded, "")
	}
}

// conn returns the registered connection to a peer, or nil.
func (t *Transport) conn(peer model.InstanceID) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[peer]
}
