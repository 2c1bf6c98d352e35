package peer

import "net"

// packetOverheadBytes is the size of the IPv4 and UDP headers of a packet in bytes.
const packetOverheadBytes = 20 + 8

// countingPacketConn reports the size of every packet written to a socket. It does not
// expose the optional methods that allow quic-go to batch packets, so that every write
// is exactly one packet on the wire.
type countingPacketConn struct {
	net.PacketConn
	onSend func(bytes int)
}

// WriteTo implements net.PacketConn. It reports the packet before the write, so that a
// reply is never received before its cause was reported; a packet whose write fails is
// reported too.
func (c *countingPacketConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	if c.onSend != nil {
		c.onSend(len(p) + packetOverheadBytes)
	}
	return c.PacketConn.WriteTo(p, addr)
}

// SetReadBuffer sets the size of the socket's receive buffer.
func (c *countingPacketConn) SetReadBuffer(bytes int) error {
	if s, ok := c.PacketConn.(interface{ SetReadBuffer(int) error }); ok {
		return s.SetReadBuffer(bytes)
	}
	return nil
}

// SetWriteBuffer sets the size of the socket's send buffer.
func (c *countingPacketConn) SetWriteBuffer(bytes int) error {
	if s, ok := c.PacketConn.(interface{ SetWriteBuffer(int) error }); ok {
		return s.SetWriteBuffer(bytes)
	}
	return nil
}
