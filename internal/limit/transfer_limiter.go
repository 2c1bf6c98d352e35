package limit

import (
	"sync"
	"time"
)

// TransferLimiter limits bytes per second, such as those sent to other regions. A
// transfer may start while the balance is positive and is charged as it proceeds; the
// resulting debt must be paid off before the next transfer may start. The zero value is
// ready for use. It is safe for concurrent use.
type TransferLimiter struct {
	mu      sync.Mutex
	balance float64
	last    time.Time
}

// Allow reports whether a transfer may start at a rate in bytes per second.
func (l *TransferLimiter) Allow(bytesPerSecond int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(bytesPerSecond)
	return l.balance > 0
}

// Charge takes bytes that were transferred.
func (l *TransferLimiter) Charge(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.balance -= float64(bytes)
}

// refill adds the bytes allowed since the last call, up to those of one second. The
// caller holds l.mu.
func (l *TransferLimiter) refill(bytesPerSecond int) {
	now := time.Now()
	if l.last.IsZero() {
		l.balance += float64(bytesPerSecond)
	} else {
		l.balance += now.Sub(l.last).Seconds() * float64(bytesPerSecond)
	}
	l.balance = min(l.balance, float64(bytesPerSecond))
	l.last = now
}
