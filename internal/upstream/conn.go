package upstream

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Dialer opens a connection to a target.
type Dialer func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 250 * time.Millisecond
	// maxAnswerHeader is the largest answer header in bytes that is accepted.
	maxAnswerHeader = 64 << 10
)

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", addr.String())
}

// conn is one HTTP/1.1 connection to a target. One exchange owns it at a time.
type conn struct {
	http *http.ClientConn
	wire *wire
	// provenAt is when the connection was opened or last delivered a whole
	// answer, as time since the client's epoch.
	provenAt time.Duration
	reused   bool
	// keepFor is how long the target said to keep the connection unused; zero if
	// it did not say.
	keepFor time.Duration
}

// keepAliveMargin is how much earlier than the target's idle timeout a connection
// is given up: the timeout is told in whole seconds.
const keepAliveMargin = time.Second

// hearKeepAlive notes the idle timeout that a target states, in whole seconds.
func (c *conn) hearKeepAlive(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds > 0 && strings.EqualFold(name, "timeout") {
			c.keepFor = time.Duration(seconds)*time.Second - keepAliveMargin
		}
	}
}

func (c *conn) close() { _ = c.http.Close() }

// wire counts what is written to a connection.
type wire struct {
	net.Conn
	// written is set once the running exchange tried to write a byte.
	written atomic.Bool
	// onWrite, if set before the exchange starts, is called after each write.
	onWrite func(bytes int)
	// onClose, if set before the exchange starts, is called at Close.
	onClose func()
}

// Close implements net.Conn.
func (w *wire) Close() error {
	if w.onClose != nil {
		w.onClose()
	}
	return w.Conn.Close()
}

// Write implements net.Conn.
func (w *wire) Write(p []byte) (int, error) {
	w.written.Store(true)
	n, err := w.Conn.Write(p)
	if n > 0 && w.onWrite != nil {
		w.onWrite(n)
	}
	return n, err
}

type wireKey struct{}

// newTransport returns a transport that is used only to open connections; its
// own pool, and with it net/http's replay of requests, stays unused.
func newTransport(dial Dialer) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
			parsed, err := netip.ParseAddrPort(addr)
			if err != nil {
				return nil, err
			}
			raw, err := dial(ctx, parsed)
			if err != nil {
				return nil, err
			}
			slot := ctx.Value(wireKey{}).(**wire)
			*slot = &wire{Conn: raw}
			return *slot, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxAnswerHeader,
	}
}

// open dials a target.
func (c *Client) open(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	var w *wire
	cc, err := c.transport.NewClientConn(context.WithValue(ctx, wireKey{}, &w), "http", addr.String())
	if err != nil {
		return nil, err
	}
	return &conn{http: cc, wire: w, provenAt: c.elapsed()}, nil
}
