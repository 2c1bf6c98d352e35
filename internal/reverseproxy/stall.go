package reverseproxy

import (
	"sync"
	"sync/atomic"
	"time"
)

// StallSide is one side of an upload.
type StallSide string

// Sides of an upload.
const (
	CallerSide StallSide = "caller"
	TargetSide StallSide = "target"
)

// StallError reports that no byte was transferred for the progress timeout. Side
// is the side that stalled.
type StallError struct{ Side StallSide }

func (e *StallError) Error() string { return "the " + string(e.Side) + " moved no byte for too long" }

// stallDetector calls onStall once if no progress is reported for the timeout.
type stallDetector struct {
	timeout      time.Duration
	startedAt    time.Time
	lastProgress atomic.Int64 // time of the latest progress in nanoseconds since startedAt
	onStall      func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newStallDetector(timeout time.Duration, onStall func()) *stallDetector {
	d := &stallDetector{timeout: timeout, startedAt: time.Now(), onStall: onStall}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(timeout, d.check)
	return d
}

// progress reports that bytes were transferred. It is safe for concurrent use and
// takes no lock.
func (d *stallDetector) progress(int) { d.lastProgress.Store(int64(time.Since(d.startedAt))) }

// stop stops the detector; onStall is not called after it returns.
func (d *stallDetector) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
	d.timer.Stop()
}

func (d *stallDetector) check() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return
	}
	idle := time.Since(d.startedAt) - time.Duration(d.lastProgress.Load())
	if idle < d.timeout {
		d.timer.Reset(d.timeout - idle)
		return
	}
	d.stopped = true
	d.onStall()
}
