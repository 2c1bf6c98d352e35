package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"redwingpoint.org/redwingpoint/internal/responsehead"
)

// Dialer opens a connection to a target. It must be safe for concurrent use.
type Dialer func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 250 * time.Millisecond
	// maxResponseHeader is the largest response header in bytes that is accepted.
	maxResponseHeader = 64 << 10
)

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", addr.String())
}

// conn is one HTTP/1.1 connection to a target. It is used by one exchange at a time.
type conn struct {
	http        *http.ClientConn
	trackedConn *trackedConn
	// verifiedAt is when the connection was opened or last completed a response, as time
	// since the client's epoch.
	verifiedAt time.Duration
	reused     bool
	// keepAliveTimeout is how long the connection may stay idle according to the target, less
	// a margin; negative if the target announced no timeout.
	keepAliveTimeout time.Duration
}

// keepAliveMargin is subtracted from the idle timeout that a target announces, because
// the timeout is given in whole seconds. Of a shorter timeout it is half.
const keepAliveMargin = time.Second

// recordKeepAlive records the idle timeout that a target announces in whole seconds.
func (c *conn) recordKeepAlive(h http.Header) {
	for field := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 && strings.EqualFold(name, "timeout") {
			timeout := time.Duration(seconds) * time.Second
			c.keepAliveTimeout = timeout - min(keepAliveMargin, timeout/2)
		}
	}
}

func (c *conn) close() { _ = c.http.Close() }

// trackedConn is a network connection that reports writes and its closing.
type trackedConn struct {
	*responsehead.Conn
	// written is set once the current exchange has tried to write a byte.
	written atomic.Bool
	// onWrite, if set before the exchange starts, is called with the number of bytes of
	// each write.
	onWrite func(bytes int)
	// onClose, if set before the exchange starts, is called by Close.
	onClose func()
	// open counts the client's open connections; Close leaves it once.
	open   *atomic.Int64
	closed atomic.Bool
	// writing is held during each write. writeFailure is the error of the first one that
	// failed.
	writing      sync.Mutex
	writeFailure error
}

// Read implements net.Conn. At the end of the input it returns the error of a write that met
// a reset.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if reset := c.resetByPeer(); reset != nil {
			return n, reset
		}
	}
	return n, err
}

// resetByPeer returns the error of a write that a reset of the connection ended, or nil. Of
// all pending calls, a kernel tells only one of the reset; for the others the connection just
// ends. A write that is pending is interrupted, since the exchange ends with the input.
func (c *trackedConn) resetByPeer() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	// EPIPE means that the peer ended the connection before it reset it.
	if c.writeFailure == nil || errors.Is(c.writeFailure, os.ErrDeadlineExceeded) || errors.Is(c.writeFailure, syscall.EPIPE) {
		return nil
	}
	return c.writeFailure
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	if c.onClose != nil {
		c.onClose()
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.written.Store(true)
	c.writing.Lock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeFailure == nil {
		c.writeFailure = err
	}
	c.writing.Unlock()
	if n > 0 && c.onWrite != nil {
		c.onWrite(n)
	}
	return n, err
}

// trackedConnKey is the context key of the variable in which DialContext stores the
// connection.
type trackedConnKey struct{}

// newTransport returns a transport that only opens connections. Its own connection pool
// is not used, since net/http resends some requests on another connection.
func newTransport(dial Dialer, open *atomic.Int64) *http.Transport {
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
			slot := ctx.Value(trackedConnKey{}).(**trackedConn)
			open.Add(1)
			*slot = &trackedConn{Conn: responsehead.NewConn(raw), open: open}
			return *slot, nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxResponseHeader,
	}
}

// open opens a connection to a target. If MaxConnections are open, it closes the idle ones
// first, and returns TooManyConnectionsError if there are none.
func (c *Client) open(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	if c.MaxConnections > 0 && c.connections.Load() >= int64(c.MaxConnections) {
		c.CloseIdleConnections()
		if c.connections.Load() >= int64(c.MaxConnections) {
			return nil, TooManyConnectionsError{}
		}
	}
	var tracked *trackedConn
	cc, err := c.transport.NewClientConn(context.WithValue(ctx, trackedConnKey{}, &tracked), "http", addr.String())
	if err != nil {
		return nil, err
	}
	return &conn{http: cc, trackedConn: tracked, verifiedAt: c.elapsed(), keepAliveTimeout: -1}, nil
}
