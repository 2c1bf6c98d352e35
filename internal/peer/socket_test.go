package peer

import (
	"net"
	"testing"
)

// inspectedPacketConn calls onWrite in place of each write.
type inspectedPacketConn struct {
	net.PacketConn
	onWrite func()
}

func (c inspectedPacketConn) WriteTo(p []byte, _ net.Addr) (int, error) {
	c.onWrite()
	return len(p), nil
}

// TestPacketIsReportedBeforeItIsSent checks that a packet has been reported by the time the
// peer may reply to it.
func TestPacketIsReportedBeforeItIsSent(t *testing.T) {
	reported, reportedBeforeWrite := 0, 0
	c := &countingPacketConn{
		PacketConn: inspectedPacketConn{onWrite: func() { reportedBeforeWrite = reported }},
		onSend:     func(bytes int) { reported += bytes },
	}
	const payload = 100
	if _, err := c.WriteTo(make([]byte, payload), nil); err != nil {
		t.Fatal(err)
	}
	if want := payload + packetOverheadBytes; reported != want || reportedBeforeWrite != want {
		t.Errorf("%d bytes reported before the write, %d in all; want %d", reportedBeforeWrite, reported, want)
	}
}
