package ledger

import (
	"sync/atomic"
	"time"
)

// Phases of an attempt. They only rise, by one atomic step each.
const (
	phaseClaimed uint32 = iota
	phaseSent
	phaseAbandoned
)

// right is the permission of one attempt to send once before its deadline.
type right struct {
	phase    atomic.Uint32
	deadline time.Time
	now      func() time.Time
}

// Send reports whether the request may be sent now; it is true at most once.
func (r *right) Send() bool {
	if !r.now().Before(r.deadline) {
		return false
	}
	return r.phase.CompareAndSwap(phaseClaimed, phaseSent)
}

// Abandon gives the right up and reports whether nothing will be sent.
func (r *right) Abandon() bool {
	return r.phase.CompareAndSwap(phaseClaimed, phaseAbandoned) || r.phase.Load() == phaseAbandoned
}
