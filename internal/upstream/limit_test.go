package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
)

// TestConnectionsStayWithinTheLimit guards against connections to targets that take all
// descriptors: idle ones to other targets are closed for a new one, and without any the call
// fails unsent.
func TestConnectionsStayWithinTheLimit(t *testing.T) {
	first := newRawTarget(t, func(c net.Conn, _, _ int) bool { return respondOK(c) })
	second := newRawTarget(t, func(c net.Conn, _, _ int) bool { return respondOK(c) })
	client := NewClient()
	client.MaxConnections = 1
	exchange := func(r *rawTarget) (*Response, error) { return client.Do(context.Background(), r.call()) }
	idle, err := exchange(first)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, idle.Body); err != nil {
		t.Fatal(err)
	}
	open, err := exchange(second)
	if err != nil || client.ConnectionCount() != 1 {
		t.Fatalf("%v; %d connections beside an idle one", err, client.ConnectionCount())
	}
	var failed *CallError
	if _, err := exchange(first); !errors.As(err, &failed) || failed.Sent || !errors.Is(err, TooManyConnectionsError{}) {
		t.Errorf("beyond the limit: %v", err)
	}
	_ = open.Body.Close()
	if response, err := exchange(first); err != nil {
		t.Errorf("when a connection is free: %v", err)
	} else {
		_ = response.Body.Close()
	}
	if client.ConnectionCount() != 0 {
		t.Errorf("%d connections are left", client.ConnectionCount())
	}
}
