package standin

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/store"
)

// Faults is what a platform does wrong. Shares are probabilities from 0 to 1.
type Faults struct {
	// Down refuses every call without an effect.
	Down bool `json:"down,omitempty"`
	// Hang accepts every call and answers none; writes have no effect.
	Hang bool `json:"hang,omitempty"`
	// Delay is added to every call before its effect.
	Delay config.Duration `json:"delay,omitempty"`
	// LoseAnswers cuts the connection after a write took effect.
	LoseAnswers float64 `json:"loseAnswers,omitempty"`
	// LateWrites gives no answer and lets a write take effect LateBy later.
	LateWrites float64 `json:"lateWrites,omitempty"`
	// LateBy is the delay of a late write.
	LateBy config.Duration `json:"lateBy,omitempty"`
	// StaleReads answers reads from a replica that lags by a few writes.
	StaleReads float64 `json:"staleReads,omitempty"`
	// DropWatches cuts watches without an answer.
	DropWatches float64 `json:"dropWatches,omitempty"`
	// ReorderWatches shuffles the changes of a watch.
	ReorderWatches bool `json:"reorderWatches,omitempty"`
}

// Step is one stage of a script of faults.
type Step struct {
	// For is the length of the stage; zero lasts until the next script.
	For    config.Duration `json:"for,omitempty"`
	Faults Faults          `json:"faults"`
}

// Script is a sequence of faults. After the last step nothing is wrong.
type Script struct {
	Seed  uint64 `json:"seed"`
	Steps []Step `json:"steps"`
}

// Tally counts the calls of a platform and the faults injected into them.
type Tally struct {
	Calls   int64 `json:"calls"`
	Reads   int64 `json:"reads"`
	Writes  int64 `json:"writes"`
	Watches int64 `json:"watches"`
	Refused int64 `json:"refused"`
	Lost    int64 `json:"lost"`
	Late    int64 `json:"late"`
	Stale   int64 `json:"stale"`
	Cut     int64 `json:"cut"`
}

// staleWrites is the largest lag of an old replica, in writes.
const staleWrites = 6

// injector follows a script. It is safe for concurrent use.
type injector struct {
	mu     sync.Mutex
	script Script
	start  time.Time
	random *rand.Rand
	tally  Tally
}

func (i *injector) set(s Script) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.script = s
	i.start = time.Now()
	i.random = rand.New(rand.NewPCG(s.Seed, 0))
}

func (i *injector) counts() Tally {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.tally
}

// current returns the faults of this instant and counts the call.
func (i *injector) current(kind *int64) Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.tally.Calls++
	*kind++
	at := time.Since(i.start)
	for _, step := range i.script.Steps {
		if step.For == 0 || at < time.Duration(step.For) {
			return step.Faults
		}
		at -= time.Duration(step.For)
	}
	return Faults{}
}

// hit draws whether a fault of a share happens and counts it.
func (i *injector) hit(share float64, count *int64) bool {
	if share <= 0 {
		return false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.random.Float64() >= share {
		return false
	}
	*count++
	return true
}

func (i *injector) lag(at store.Version) store.Version {
	i.mu.Lock()
	defer i.mu.Unlock()
	lag := store.Version(1 + i.random.Uint64N(staleWrites))
	return at - min(at, lag)
}

func (i *injector) reorder(b *store.Batch) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.random.Shuffle(len(b.Changes), func(x, y int) {
		b.Changes[x], b.Changes[y] = b.Changes[y], b.Changes[x]
	})
}

// before applies the faults that precede the effect of a call.
func (i *injector) before(r *http.Request, f Faults) {
	if f.Down {
		i.mu.Lock()
		i.tally.Refused++
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
