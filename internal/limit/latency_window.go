package limit

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// windowSize is the number of latencies that are kept.
	windowSize = 512
	// refreshInterval is the number of observations between two computations of the
	// quantiles.
	refreshInterval = 64
	// minSamples is the number of observations below which no quantile is known.
	minSamples = 32
)

// LatencyWindow estimates quantiles of a service's recent latencies in a fixed amount of
// memory. It is lock-free and safe for concurrent use.
type LatencyWindow struct {
	samples    [windowSize]atomic.Int64
	count      atomic.Uint64
	refreshing atomic.Bool
	sorted     atomic.Pointer[[]int64]
}

// Observe records a latency.
func (l *LatencyWindow) Observe(d time.Duration) {
	n := l.count.Add(1)
	l.samples[(n-1)%windowSize].Store(int64(d))
	due := n%refreshInterval == 0 || n == minSamples
	if due && l.refreshing.CompareAndSwap(false, true) {
		l.refresh(n)
		l.refreshing.Store(false)
	}
}

// refresh sorts the latest latencies after n observations.
func (l *LatencyWindow) refresh(n uint64) {
	sorted := make([]int64, min(n, windowSize))
	for i := range sorted {
		sorted[i] = l.samples[i].Load()
	}
	slices.Sort(sorted)
	l.sorted.Store(&sorted)
}

// Quantile returns the q-quantile, from 0 to 1, of the recent latencies. It reports false
// while too few were observed.
func (l *LatencyWindow) Quantile(q float64) (time.Duration, bool) {
	sorted := l.sorted.Load()
	if sorted == nil {
		return 0, false
	}
	i := min(int(q*float64(len(*sorted))), len(*sorted)-1)
	return time.Duration((*sorted)[i]), true
}
