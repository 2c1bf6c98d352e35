package peer

import "net"

// packetOverheadBytes is the size of the IPv4 and UDP headers of a packet.
const packetOverheadBytes = 20 + 8

// countingConn counts what leaves a socket. It offers plain packet methods
// only, so that every write is exactly one packet on the wire.
type countingConn struct {
	net.PacketConn
	onSend func(bytes int)
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, addr)
	if err == nil && c.onSend != nil {
		c.onSend(n + packetOverheadBytes)
	}
	return n, err
}

// SetReadBuffer forwards to the socket.
func (c *countingConn) SetReadBuffer(bytes int) error {
	if s, ok := c.PacketConn.(interface{ SetReadBuffer(int) error }); ok {
		return s.SetReadBuffer(bytes)
	}
	return nil
}

// SetWriteBuffer forwards to the socket.
func (c *countingConn) SetWriteBuffer(bytes int) error {
	if s, ok := c.PacketConn.(interface{ SetWriteBuffer(int) error }); ok {
		return s.SetWriteBuffer(bytes)
	}
	return nil
}
