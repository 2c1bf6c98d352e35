package limit

import (
	"sync"
	"time"
)

// Volume bounds bytes per second, such as those sent to other regions. A
// transfer may start while the balance is positive and is charged as it goes;
// the debt has to be worked off before the next one starts. It is safe for
// concurrent use.
type Volume struct {
	mu      sync.Mutex
	balance float64
	last    time.Time
}

// Open reports whether a transfer may start under a rate in bytes per second.
func (v *Volume) Open(bytesPerSecond int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refill(bytesPerSecond)
	return v.balance > 0
}

// Charge pays for bytes that were moved.
func (v *Volume) Charge(bytes int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.balance -= float64(bytes)
}

// refill adds what the time since the last call allows, up to one second's worth.
func (v *Volume) refill(bytesPerSecond int) {
	now := time.Now()
	if v.last.IsZero() {
		v.balance += float64(bytesPerSecond)
	} else {
		v.balance += now.Sub(v.last).Seconds() * float64(bytesPerSecond)
	}
	v.balance = min(v.balance, float64(bytesPerSecond))
	v.last = now
}
