package limit

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// latencyWindow is the number of latencies that are remembered.
	latencyWindow = 512
	// latencyRefresh is the number of observations between two computations.
	latencyRefresh = 64
	// minLatencies is the number of observations below which nothing is known.
	minLatencies = 32
)

// Latency remembers the latest latencies of a service in a fixed amount of
// memory. It takes no lock and is safe for concurrent use.
type Latency struct {
	ring    [latencyWindow]atomic.Int64
	count   atomic.Uint64
	sorting atomic.Bool
	sorted  atomic.Pointer[[]int64]
}

// Observe adds a latency.
func (l *Latency) Observe(d time.Duration) {
	n := l.count.Add(1)
	l.ring[(n-1)%latencyWindow].Store(int64(d))
	due := n%latencyRefresh == 0 || n == minLatencies
	if due && l.sorting.CompareAndSwap(false, true) {
		l.refresh(n)
		l.sorting.Store(false)
	}
}

func (l *Latency) refresh(n uint64) {
	sorted := make([]int64, min(n, latencyWindow))
	for i := range sorted {
		sorted[i] = l.ring[i].Load()
	}
	slices.Sort(sorted)
	l.sorted.Store(&sorted)
}

// Quantile returns the latency that the share q of recent requests stayed
// within. It reports false while too few were observed.
func (l *Latency) Quantile(q float64) (time.Duration, bool) {
	sorted := l.sorted.Load()
	if sorted == nil {
		return 0, false
	}
	i := min(int(q*float64(len(*sorted))), len(*sorted)-1)
	return time.Duration((*sorted)[i]), true
}
