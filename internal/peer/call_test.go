package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
)

func selfSigned(t *testing.T, fleet string, id model.InstanceID) *keys.Credentials {
	t.Helper()
	c, err := keys.NewSelfSigned(keys.Identity{Fleet: fleet, Instance: id}, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCallAddrWithSelfSignedCertificates checks that repeated calls of an address share
// one connection and that peers of another fleet are rejected.
func TestCallAddrWithSelfSignedCertificates(t *testing.T) {
	a, _ := startTransport(t, 130, selfSigned(t, "gateways", "a"))
	b, _ := startTransport(t, 131, selfSigned(t, "gateways", "b"))
	other, _ := startTransport(t, 132, selfSigned(t, "others", "c"))
	var response string
	for range 2 {
		from, err := a.CallAddr(t.Context(), b.Addr(), OpReadObjects, "routes", &response)
		if err != nil || from != "b" || response != "a asks for routes" {
			t.Errorf("%q from %q, %v", response, from, err)
		}
	}
	if a.linkCount() != 1 {
		t.Errorf("%d connections for two calls", a.linkCount())
	}
	if from, err := b.CallAddr(t.Context(), a.Addr(), OpReadObjects, "routes", &response); err != nil || from != "a" {
		t.Errorf("from %q, %v", from, err)
	}
	var failed *ConnectionError
	if _, err := other.CallAddr(t.Context(), a.Addr(), OpReadObjects, "routes", &response); !errors.As(err, &failed) {
		t.Errorf("the call by a peer of another fleet returned %v", err)
	}
}

// TestCallOfASilentAddressEndsWithItsContext guards against calls with a short time limit that
// are held for the whole time of a connection attempt.
func TestCallOfASilentAddressEndsWithItsContext(t *testing.T) {
	silent, err := net.ListenPacket("udp", net.JoinHostPort(standin.LoopbackIP(133), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	a, _ := startTransport(t, 134, selfSigned(t, "gateways", "a"))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		// The first packet of the attempt has arrived.
		_, _, _ = silent.ReadFrom(make([]byte, 2048))
		cancel()
	}()
	if _, err := a.CallAddr(ctx, silent.LocalAddr().String(), OpReadObjects, "routes", nil); !errors.Is(err, context.Canceled) {
		t.Errorf("the call returned %v", err)
	}
}

// TestEndedCallLeavesTheConnectionToOthers guards against a call that is cancelled, or whose
// time ends, and takes the connection from the calls that share it.
func TestEndedCallLeavesTheConnectionToOthers(t *testing.T) {
	for name, limited := range map[string]func(context.Context) (context.Context, context.CancelFunc){
		"cancelled": func(ctx context.Context) (context.Context, context.CancelFunc) { return context.WithCancel(ctx) },
		"timed out": func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 2*ackTimeout)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, _ := startTransport(t, 135, selfSigned(t, "gateways", "a"))
			b, _ := newTransport(t, 136, selfSigned(t, "gateways", "b"))
			arrived, release := make(chan bool, 2), make(chan bool)
			b.Handle(OpAwaitChange, func(model.InstanceID, []byte) (any, error) {
				arrived <- true
				<-release
				return "changed", nil
			})
			b.Start()
			waiting := make(chan error, 1)
			go func() {
				_, err := a.CallAddr(t.Context(), b.Addr(), OpAwaitChange, "first", new(string))
				waiting <- err
			}()
			<-arrived
			ctx, cancel := limited(t.Context())
			ended := make(chan error, 1)
			go func() {
				_, err := a.CallAddr(ctx, b.Addr(), OpAwaitChange, "second", new(string))
				ended <- err
			}()
			<-arrived
			if name == "cancelled" {
				cancel()
			}
			if err := <-ended; err == nil {
				t.Error("the second call has not ended with its context")
			}
			cancel()
			close(release)
			if err := <-waiting; err != nil {
				t.Errorf("the call beside it returned %v", err)
			}
		})
	}
}
