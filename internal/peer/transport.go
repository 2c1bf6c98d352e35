package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/singleflight"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// IdleTimeout is the silence after which a connection counts as lost: two
	// keep-alives and a half, so that one lost packet ends none.
	IdleTimeout = 1000 * time.Millisecond
	// KeepAlive is the silence after which either end sends a keep-alive.
	KeepAlive = 400 * time.Millisecond
	// DialTimeout bounds a connection attempt.
	DialTimeout = 800 * time.Millisecond

	maxStreams          = 8
	initialStreamWindow = 64 << 10
	maxStreamWindow     = 1 << 20
	maxConnWindow       = 2 << 20
)

// Protocols are the versions of the inner protocol, the preferred one first.
// The newest version that both ends know is used; without one, there is no
// connection.
var Protocols = []string{"redwingpoint-peer/1"}

// Close codes of connections.
const (
	closeStopped quic.ApplicationErrorCode = iota + 1
	closeUnneeded
	closeDuplicate
	closeFull
)

// Link describes an established connection.
type Link struct {
	Peer model.InstanceID
	// Addr is the UDP address of the peer.
	Addr string
	// Protocol is the negotiated version.
	Protocol string
	// Dialed is set if this instance opened the connection.
	Dialed bool
}

// Handler learns what happens on a Transport. Calls for one peer come in order;
// they may come from several goroutines and must not block.
type Handler interface {
	LinkUp(Link)
	// LinkDown reports the end of a connection; lost is set if the peer went
	// silent instead of closing it.
	LinkDown(peer model.InstanceID, lost bool)
	DialFailed(addr string)
	Datagram(from model.InstanceID, payload []byte)
}

// Options configure a Transport.
type Options struct {
	// Listen is the UDP address.
	Listen      string
	Credentials *keys.Credentials
	Handler     Handler
	Recorder    events.Recorder
	// OnSend is told the size of every packet sent, IP and UDP headers included.
	OnSend func(bytes int)
	// MaxLinks bounds the connections accepted from peers.
	MaxLinks int
	// Protocols replaces the package's Protocols.
	Protocols []string
	// Idle, if set, replaces IdleTimeout and ends the keep-alives: connections are
	// opened by CallAt and closed when they have not been used for this long.
	Idle time.Duration
	// MaxStreams bounds the requests that a peer may have open; zero means 8.
	MaxStreams int64
}

// Transport holds the connections of one instance to its peers. It is safe for
// concurrent use.
type Transport struct {
	options  Options
	socket   *countingConn
	quic     *quic.Transport
	listener *quic.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	// dials joins the connection attempts of concurrent CallAt to one address.
	dials singleflight.Group

	mu     sync.Mutex
	links  map[model.InstanceID]*conn
	routes map[Op]Route
}

// conn is one connection in use.
type conn struct {
	*quic.Conn
	link Link
}

// Listen opens the UDP socket. Connections are accepted once Start is called.
func Listen(o Options) (*Transport, error) {
	addr, err := net.ResolveUDPAddr("udp", o.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "peer address %s", o.Listen)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", o.Listen)
	}
	if o.Protocols == nil {
		o.Protocols = Protocols
	}
	t := &Transport{
		options: o,
		socket:  &countingConn{PacketConn: socket, onSend: o.OnSend},
		links:   make(map[model.InstanceID]*conn),
		routes:  make(map[Op]Route),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.quic = &quic.Transport{Conn: t.socket}
	t.listener, err = t.quic.Listen(t.tls(), t.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, eris.Wrap(err, "listen for peers")
	}
	return t, nil
}

// tls returns the configuration of a handshake; refused peers are recorded.
func (t *Transport) tls() *tls.Config {
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

func config() *quic.Config {
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

// quicConfig returns config with the options of this transport.
func (t *Transport) quicConfig() *quic.Config {
	c := config()
	if t.options.Idle > 0 {
		c.MaxIdleTimeout = t.options.Idle
		c.KeepAlivePeriod = 0
	}
	if t.options.MaxStreams > 0 {
		c.MaxIncomingStreams = t.options.MaxStreams
	}
	return c
}

// Addr returns the UDP address in use.
func (t *Transport) Addr() string { return t.socket.LocalAddr().String() }

// Start accepts connections until Stop.
func (t *Transport) Start() {
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		for {
			c, err := t.listener.Accept(t.ctx)
			if err != nil {
				return
			}
			t.adopt(c, false)
		}
	}()
}

// Stop closes all connections and the socket.
func (t *Transport) Stop() {
	t.cancel()
	t.mu.Lock()
	open := t.links
	t.links = make(map[model.InstanceID]*conn)
	t.mu.Unlock()
	for _, c := range open {
		_ = c.CloseWithError(closeStopped, "")
	}
	_ = t.listener.Close()
	t.running.Wait()
	_ = t.quic.Close()
	_ = t.socket.Close()
}

// Dial opens a connection; LinkUp or DialFailed tells the outcome.
func (t *Transport) Dial(addr string) {
	if t.ctx.Err() != nil {
		return
	}
	t.running.Add(1)
	go func() {
		defer t.running.Done()
		if err := t.dial(addr); err != nil && t.ctx.Err() == nil {
			t.options.Handler.DialFailed(addr)
		}
	}()
}

func (t *Transport) dial(addr string) error {
	remote, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(t.ctx, DialTimeout)
	defer cancel()
	c, err := t.quic.Dial(ctx, remote, t.tls(), t.quicConfig())
	if err != nil {
		return err
	}
	t.adopt(c, true)
	return nil
}

// adopt takes an authenticated connection into use.
func (t *Transport) adopt(q *quic.Conn, dialed bool) {
	state := q.ConnectionState().TLS
	id, err := t.options.Credentials.Verify(state.PeerCertificates)
	if err != nil || id.Instance == t.options.Credentials.Self.Instance {
		_ = q.CloseWithError(closeUnneeded, "")
		return
	}
	c := &conn{Conn: q, link: Link{
		Peer:     id.Instance,
		Addr:     q.RemoteAddr().String(),
		Protocol: state.NegotiatedProtocol,
		Dialed:   dialed,
	}}
	if !t.register(c) {
		return
	}
	t.options.Handler.LinkUp(c.link)
	t.running.Add(2)
	go t.receive(c)
	go t.serve(c)
}

// register keeps one connection for each peer: of two that were opened from
// both ends the one dialed by the lower ID, otherwise the later one.
func (t *Transport) register(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.links[c.link.Peer]
	switch {
	case t.ctx.Err() != nil:
		_ = c.CloseWithError(closeStopped, "")
		return false
	case old == nil && !c.link.Dialed && len(t.links) >= t.options.MaxLinks:
		_ = c.CloseWithError(closeFull, "")
		return false
	case old != nil && old.Context().Err() == nil && old.link.Dialed != c.link.Dialed && old.link.Dialed == t.lower(c):
		_ = c.CloseWithError(closeDuplicate, "")
		return false
	case old != nil:
		_ = old.CloseWithError(closeDuplicate, "")
	}
	t.links[c.link.Peer] = c
	return true
}

func (t *Transport) lower(c *conn) bool {
	return t.options.Credentials.Self.Instance < c.link.Peer
}

// receive hands datagrams on until the connection ends.
func (t *Transport) receive(c *conn) {
	defer t.running.Done()
	for {
		payload, err := c.ReceiveDatagram(t.ctx)
		if err != nil {
			t.drop(c)
			return
		}
		t.options.Handler.Datagram(c.link.Peer, payload)
	}
}

// drop reports the end of a connection unless another has taken its place.
func (t *Transport) drop(c *conn) {
	<-c.Context().Done()
	t.mu.Lock()
	current := t.links[c.link.Peer] == c
	if current {
		delete(t.links, c.link.Peer)
	}
	t.mu.Unlock()
	if current && t.ctx.Err() == nil {
		t.options.Handler.LinkDown(c.link.Peer, wasLost(context.Cause(c.Context())))
	}
}

// wasLost reports whether a connection ended without being closed by either end.
func wasLost(cause error) bool {
	var closed *quic.ApplicationError
	return !eris.As(cause, &closed)
}

// Send sends a datagram, which may get lost. It reports false without a connection.
func (t *Transport) Send(to model.InstanceID, payload []byte) bool {
	c := t.conn(to)
	return c != nil && c.SendDatagram(payload) == nil
}

// Heard counts the packets received from a peer on its connection.
func (t *Transport) Heard(peer model.InstanceID) uint64 {
	c := t.conn(peer)
	if c == nil {
		return 0
	}
	return c.ConnectionStats().PacketsReceived
}

// Close ends the connection to a peer that is not needed any more.
func (t *Transport) Close(peer model.InstanceID) {
	if c := t.conn(peer); c != nil {
		_ = c.CloseWithError(closeUnneeded, "")
	}
}

func (t *Transport) conn(peer model.InstanceID) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.links[peer]
}
