package upstream

import (
	"context"
	"net"
	"net/http"
	"testing"
)

// TestOnlyRefusedConnectionsShowAnEndedTarget also checks that the connection to a living
// target is kept for the next request, as new connections are paid for.
func TestOnlyRefusedConnectionsShowAnEndedTarget(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	target := newRawTarget(t, func(c net.Conn, _, _ int) bool {
		_, err := c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	})
	client := NewClient()
	if client.HasEnded(t.Context(), target.endpoint) {
		t.Error("a target that accepts connections counts as ended")
	}
	response, err := client.Do(t.Context(), Call{Endpoint: target.endpoint, Method: http.MethodGet, Path: "/", Header: http.Header{}, MaxIdle: maxProbeIdle, KeepAlive: true})
	if err != nil || !response.Reused {
		t.Errorf("the connection of the check is not reused: %v", err)
	}

	ended := *target.endpoint
	ended.Target.Addr = listener.Addr().(*net.TCPAddr).AddrPort()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	if !client.HasEnded(gone, &ended) {
		t.Error("a target that refuses connections counts as living")
	}
}
