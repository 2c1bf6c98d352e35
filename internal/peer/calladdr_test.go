package peer

import (
	"errors"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
)

func selfIssued(t *testing.T, fleet string, id model.InstanceID) *keys.Credentials {
	t.Helper()
	c, err := keys.NewSelfIssued(fleet, id, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCallsAnAddressWithKeysOfItsOwn also restarts the called peer under its address.
func TestCallsAnAddressWithKeysOfItsOwn(t *testing.T) {
	a, _ := start(t, 130, selfIssued(t, "gateways", "a"))
	b, _ := start(t, 131, selfIssued(t, "gateways", "b"))
	other, _ := start(t, 132, selfIssued(t, "others", "c"))
	var answer string
	for range 2 {
		from, err := a.CallAddr(t.Context(), b.Addr(), OpObjects, "routes", &answer)
		if err != nil || from != "b" || answer != "a asks for routes" {
			t.Errorf("%q from %q, %v", answer, from, err)
		}
	}
	if a.count() != 1 {
		t.Errorf("%d connections for two calls", a.count())
	}
	if from, err := b.CallAddr(t.Context(), a.Addr(), OpObjects, "routes", &answer); err != nil || from != "a" {
		t.Errorf("from %q, %v", from, err)
	}
	var failed *ConnectionError
	if _, err := other.CallAddr(t.Context(), a.Addr(), OpObjects, "routes", &answer); !errors.As(err, &failed) {
		t.Errorf("a peer of another fleet got %v", err)
	}
}
