package peer

import (
	"context"
	"net"
	"testing"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
)

// TestLocateNeedsNoConnection asks an instance and a silent address where they run.
func TestLocateNeedsNoConnection(t *testing.T) {
	a, _ := startTransport(t, 141, selfSigned(t, "gateways", "a"))
	b, _ := newTransport(t, 142, selfSigned(t, "gateways", "b"))
	at := model.Location{Region: "brno", FailureDomain: "brno-a"}
	b.options.Location = at
	b.Start()
	if got, found := a.Locate(t.Context(), b.Addr()); !found || got != at {
		t.Errorf("located at %+v, %v", got, found)
	}
	if a.linkCount() != 0 || b.linkCount() != 0 {
		t.Error("a connection was opened")
	}
	silent, err := net.ListenPacket("udp", net.JoinHostPort(standin.LoopbackIP(143), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 2*locateRetry)
	defer cancel()
	if _, found := a.Locate(ctx, silent.LocalAddr().String()); found {
		t.Error("a silent address was located")
	}
	// An answer with other bytes changes nothing.
	_, _ = silent.WriteTo(padLocate(append(locateAnswer, 0xff)), mustResolve(t, a.Addr()))
	if _, found := a.Locate(t.Context(), b.Addr()); !found {
		t.Error("not located after a malformed answer")
	}
}

func mustResolve(t *testing.T, addr string) net.Addr {
	t.Helper()
	resolved, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	return resolved
}
