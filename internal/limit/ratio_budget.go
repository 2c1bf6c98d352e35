package limit

import "sync/atomic"

const (
	// tokenUnits is the number of units in one token, which gives the resolution of a
	// RatioBudget.
	tokenUnits = 10_000
	// defaultRatioBurst is the default of RatioBudget.Burst in tokens. It lets a service
	// with little traffic retry at all.
	defaultRatioBurst = 10
)

// RatioBudget is a token bucket that is filled by requests instead of time. It allows
// extra actions, such as retries, for a share of all requests: in any sequence of n
// requests, at most share × n + Burst actions. The zero value is a full bucket. It is
// lock-free and safe for concurrent use.
type RatioBudget struct {
	// Burst is the capacity of the bucket in tokens, which is the number of actions that
	// are allowed at once; zero means 10. It must be set before the first use.
	Burst float64
	// deficit is the number of units that the bucket lacks, so that the zero value is
	// full.
	deficit atomic.Int64
}

// Deposit counts one request, which adds share tokens.
func (r *RatioBudget) Deposit(share float64) {
	units := int64(share * tokenUnits)
	for {
		deficit := r.deficit.Load()
		if deficit == 0 {
			return
		}
		if r.deficit.CompareAndSwap(deficit, max(0, deficit-units)) {
			return
		}
	}
}

// Withdraw takes one token and reports whether there was one. A share of zero allows no
// action.
func (r *RatioBudget) Withdraw(share float64) bool { return r.WithdrawKeeping(share, 0) }

// WithdrawKeeping is Withdraw for actions that must leave some tokens to others.
func (r *RatioBudget) WithdrawKeeping(share, keep float64) bool {
	for share > 0 {
		deficit := r.deficit.Load()
		if deficit+tokenUnits+int64(keep*tokenUnits) > r.capacity() {
			return false
		}
		if r.deficit.CompareAndSwap(deficit, deficit+tokenUnits) {
			return true
		}
	}
	return false
}

// Exhaust empties the bucket. A new process does so because its predecessor may have just
// used up the whole budget.
func (r *RatioBudget) Exhaust() { r.deficit.Store(r.capacity()) }

// capacity returns the units of a full bucket.
func (r *RatioBudget) capacity() int64 {
	if r.Burst == 0 {
		return defaultRatioBurst * tokenUnits
	}
	return int64(r.Burst * tokenUnits)
}
