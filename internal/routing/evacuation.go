package routing

import (
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/model"
)

// domainState is what a table knows of a failure domain. Endpoints point to it, so that
// picks that hold an older snapshot follow changes too.
type domainState struct {
	evacuated atomic.Bool
	// returns counts the ends of evacuations.
	returns atomic.Uint32
}

// isEvacuated reports whether the targets of the failure domain get no requests. d may be
// nil.
func (d *domainState) isEvacuated() bool { return d != nil && d.evacuated.Load() }

// returnCount returns how often the failure domain has returned from an evacuation. d may be
// nil.
func (d *domainState) returnCount() uint32 {
	if d == nil {
		return 0
	}
	return d.returns.Load()
}

// SetEvacuated sets the failure domains whose targets get no further requests. It implements
// replica.EvacuationTable and takes effect for picks that run already.
func (t *Table) SetEvacuated(domains map[model.FailureDomain]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range domains {
		t.domain(name)
	}
	for name, d := range t.domains {
		if d.evacuated.Swap(domains[name]) && !domains[name] {
			d.returns.Add(1)
		}
	}
}

// domain returns the state of a failure domain, creating it if needed. The caller must hold
// t.mu.
func (t *Table) domain(name model.FailureDomain) *domainState {
	d := t.domains[name]
	if d == nil {
		d = new(domainState)
		t.domains[name] = d
	}
	return d
}
