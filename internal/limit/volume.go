package limit

import (
	"sync"
	"time"
)

// Volume limits bytes per second, such as those sent to other regions. A transfer may
// start while the balance is positive and is charged as it proceeds; the resulting debt
// must be paid off before the next transfer may start. The zero value is ready for use.
// It is safe for concurrent use.
type Volume struct {
	mu      sync.Mutex
	balance float64
	last    time.Time
}

// Open reports whether a transfer may start at a rate in bytes per second.
func (v *Volume) Open(bytesPerSecond int) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refill(bytesPerSecond)
	return v.balance > 0
}

// Charge takes bytes that were transferred.
func (v *Volume) Charge(bytes int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.balance -= float64(bytes)
}

// refill adds the bytes allowed since the last call, up to those of one second. The
// caller holds v.mu.
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
