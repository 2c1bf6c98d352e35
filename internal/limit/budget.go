package limit

import "sync/atomic"

const (
	// tokenUnits is the resolution of a Ratio: one token in units.
	tokenUnits = 10_000
	// ratioBurst is the default of Ratio.Burst. It lets a service with little
	// traffic retry at all.
	ratioBurst = 10
)

// Ratio allows an extra action, such as a retry, for a share of all requests.
// Over any run of n requests it allows at most share × n + Burst actions. It takes
// no lock and is safe for concurrent use.
type Ratio struct {
	// Burst is the number of actions that are allowed at once after a pause; zero
	// means 10. It is set before the first use.
	Burst float64
	// missing counts the units below a full bucket, so that the zero value is full.
	missing atomic.Int64
}

// Earn counts one request of which the given share may cause an extra action.
func (r *Ratio) Earn(share float64) {
	units := int64(share * tokenUnits)
	for {
		missing := r.missing.Load()
		if missing == 0 {
			return
		}
		if r.missing.CompareAndSwap(missing, max(0, missing-units)) {
			return
		}
	}
}

// Spend pays for one extra action and reports whether the budget allows it. A
// share of zero allows none.
func (r *Ratio) Spend(share float64) bool {
	for share > 0 {
		missing := r.missing.Load()
		if missing+tokenUnits > r.full() {
			return false
		}
		if r.missing.CompareAndSwap(missing, missing+tokenUnits) {
			return true
		}
	}
	return false
}

// Exhaust empties the budget, as for a process that starts: its predecessor may just
// have spent all of it.
func (r *Ratio) Exhaust() { r.missing.Store(r.full()) }

// full returns the units of a full bucket.
func (r *Ratio) full() int64 {
	if r.Burst == 0 {
		return ratioBurst * tokenUnits
	}
	return int64(r.Burst * tokenUnits)
}
