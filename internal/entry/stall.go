package entry

import (
	"sync"
	"sync/atomic"
	"time"
)

// Side is one end of an upload.
type Side string

// Sides of an upload.
const (
	CallerSide Side = "caller"
	TargetSide Side = "target"
)

// StallError reports that an upload moved no byte for too long.
type StallError struct{ Side Side }

func (e *StallError) Error() string { return "the " + string(e.Side) + " moved no byte for too long" }

// stallWatch calls a function once if no progress is made within a timeout.
type stallWatch struct {
	timeout time.Duration
	epoch   time.Time
	last    atomic.Int64 // time of the latest progress since epoch
	onStall func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func newStallWatch(timeout time.Duration, onStall func()) *stallWatch {
	w := &stallWatch{timeout: timeout, epoch: time.Now(), onStall: onStall}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(timeout, w.check)
	return w
}

// progress notes that bytes moved. It is cheap and safe for concurrent use.
func (w *stallWatch) progress(int) { w.last.Store(int64(time.Since(w.epoch))) }

// stop ends the watch.
func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

func (w *stallWatch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	idle := time.Since(w.epoch) - time.Duration(w.last.Load())
	if idle < w.timeout {
		w.timer.Reset(w.timeout - idle)
		return
	}
	w.stopped = true
	w.onStall()
}
