package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/store"
)

// Faults are the faults of a platform. Shares are probabilities from 0 to 1.
type Faults struct {
	// Down aborts the connection of every call; calls have no effect.
	Down bool `json:"down,omitempty"`
	// Hang accepts every call and never responds; calls have no effect.
	Hang bool `json:"hang,omitempty"`
	// Delay is added to every call before it takes effect.
	Delay config.Duration `json:"delay,omitempty"`
	// LoseResponses is the share of writes whose connection is aborted after they took
	// effect.
	LoseResponses float64 `json:"loseAnswers,omitempty"`
	// LateWrites is the share of writes that get no response and take effect LateBy later.
	LateWrites float64 `json:"lateWrites,omitempty"`
	// LateBy is the delay of a late write.
	LateBy config.Duration `json:"lateBy,omitempty"`
	// StaleReads is the share of reads that see an earlier version, by up to maxReplicaLag
	// writes.
	StaleReads float64 `json:"staleReads,omitempty"`
	// DropWatches is the share of watches that are aborted instead of reporting changes.
	DropWatches float64 `json:"dropWatches,omitempty"`
	// ReorderWatches shuffles the changes in each response to a watch.
	ReorderWatches bool `json:"reorderWatches,omitempty"`
}

// FaultStep is one step of a FaultSchedule.
type FaultStep struct {
	// For is the duration of the step; zero lasts until the next schedule.
	For    config.Duration `json:"for,omitempty"`
	Faults Faults          `json:"faults"`
}

// FaultSchedule is a sequence of faults. After its last step the platform has no faults.
type FaultSchedule struct {
	Seed  uint64      `json:"seed"`
	Steps []FaultStep `json:"steps"`
}

// Stats counts the calls of a platform and the faults injected into them. Calls is the
// sum of Reads, Writes and Watches.
type Stats struct {
	Calls          int64 `json:"calls"`
	Reads          int64 `json:"reads"`
	Writes         int64 `json:"writes"`
	Watches        int64 `json:"watches"`
	RefusedCalls   int64 `json:"refused"`
	LostResponses  int64 `json:"lost"`
	LateWrites     int64 `json:"late"`
	StaleReads     int64 `json:"stale"`
	DroppedWatches int64 `json:"cut"`
}

// maxReplicaLag is the largest lag of a stale read, in writes.
const maxReplicaLag = 6

// faultInjector applies a FaultSchedule and counts calls and faults. It is safe for
// concurrent use.
type faultInjector struct {
	mu       sync.Mutex
	schedule FaultSchedule
	start    time.Time
	rng      *rand.Rand
	stats    Stats
}

// follow starts a schedule at its first step, with a random generator of its own.
func (i *faultInjector) follow(s FaultSchedule) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.schedule = s
	i.start = time.Now()
	i.rng = rand.New(rand.NewPCG(s.Seed, 0))
}

// snapshot returns a copy of the counters.
func (i *faultInjector) snapshot() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.stats
}

// current returns the faults of the current step and counts the call, in total and in
// kind, a field of i.stats.
func (i *faultInjector) current(kind *int64) Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.stats.Calls++
	*kind++
	at := time.Since(i.start)
	for _, step := range i.schedule.Steps {
		if step.For == 0 || at < time.Duration(step.For) {
			return step.Faults
		}
		at -= time.Duration(step.For)
	}
	return Faults{}
}

// roll reports whether a fault of the given probability occurs, and increments count if
// so.
func (i *faultInjector) roll(probability float64, count *int64) bool {
	if probability <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.rng.Float64() >= probability {
		return false
	}
	*count++
	return true
}

// laggingVersion returns a random version before at, by up to maxReplicaLag writes.
func (i *faultInjector) laggingVersion(at store.Version) store.Version {
	i.mu.Lock()
	defer i.mu.Unlock()
	lag := store.Version(1 + i.rng.Uint64N(maxReplicaLag))
	return at - min(at, lag)
}

// shuffle puts the changes of a batch into random order.
func (i *faultInjector) shuffle(b *store.Batch) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rng.Shuffle(len(b.Changes), func(x, y int) {
		b.Changes[x], b.Changes[y] = b.Changes[y], b.Changes[x]
	})
}

// applyBeforeEffect applies the faults that come before a call takes effect. It panics
// with http.ErrAbortHandler if the call must have no effect.
func (i *faultInjector) applyBeforeEffect(r *http.Request, f Faults) {
	if f.Down {
		i.mu.Lock()
		i.stats.RefusedCalls++
		i.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if f.Hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.Delay <= 0 {
		return
	}
	timer := time.NewTimer(time.Duration(f.Delay))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}
