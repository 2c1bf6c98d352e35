package config

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Defaults of redwingpoint itself, below the fleet's defaults.
const (
	defaultDeadline         = 2 * time.Second
	defaultProgressTimeout  = 15 * time.Second
	defaultHedgeQuantile    = 0.90
	defaultHedgeBudget      = 0.1
	defaultRetryBudget      = 0.1
	defaultKeyRetention     = 24 * time.Hour
	defaultQueueLimit       = 256
	defaultHeldBody         = 256 << 10
	defaultCrossRegionBytes = 1 << 20
	defaultTailWeight       = 0.5
)

// Resolve returns the effective policy of a service at a location. It reports
// false for a service that the document does not declare.
func (d *Document) Resolve(name model.ServiceName, at model.Location, now time.Time) (*model.Policy, bool) {
	service, ok := d.Services[name]
	if !ok {
		return nil, false
	}
	p := builtin(name, service.Class)
	d.Defaults.apply(p)
	for rank := widest; rank <= narrowest; rank++ {
		for i := range d.Exceptions {
			if e := &d.Exceptions[i]; e.Scope.rank() == rank && e.applies(name, at, now) {
				e.Set.apply(p)
			}
		}
	}
	return p, true
}

// Ranks of scopes: a narrower one is laid over a wider one.
const (
	widest = iota
	regionOnly
	serviceOnly
	narrowest
)

func (s Scope) rank() int {
	switch {
	case s.Service != "" && s.Region != "":
		return narrowest
	case s.Service != "":
		return serviceOnly
	case s.Region != "":
		return regionOnly
	default:
		return widest
	}
}

func builtin(name model.ServiceName, class model.Class) *model.Policy {
	return &model.Policy{
		Service:          name,
		Class:            class,
		Deadline:         defaultDeadline,
		ProgressTimeout:  defaultProgressTimeout,
		HedgeQuantile:    defaultHedgeQuantile,
		HedgeBudget:      defaultHedgeBudget,
		RetryBudget:      defaultRetryBudget,
		RequireKey:       true,
		KeyRetention:     defaultKeyRetention,
		QueueLimit:       defaultQueueLimit,
		HeldBody:         defaultHeldBody,
		CrossRegionBytes: defaultCrossRegionBytes,
		TailWeight:       defaultTailWeight,
	}
}

func (e *Exception) applies(name model.ServiceName, at model.Location, now time.Time) bool {
	if e.expired(now) {
		return false
	}
	if e.Scope.Service != "" && e.Scope.Service != name {
		return false
	}
	return e.Scope.Region == "" || e.Scope.Region == at.Region
}

func (e *Exception) expired(now time.Time) bool {
	return e.Expires != nil && !now.Before(*e.Expires)
}

func (f *Fields) apply(p *model.Policy) {
	setDuration(&p.Deadline, f.Deadline)
	setDuration(&p.ProgressTimeout, f.ProgressTimeout)
	set(&p.HedgeQuantile, f.HedgeQuantile)
	set(&p.HedgeBudget, f.HedgeBudget)
	set(&p.RetryBudget, f.RetryBudget)
	set(&p.RequireKey, f.RequireKey)
	setDuration(&p.KeyRetention, f.KeyRetention)
	set(&p.QueueLimit, f.QueueLimit)
	set(&p.HeldBody, f.HeldBody)
	set(&p.CrossRegionBytes, f.CrossRegionBytes)
	set(&p.TailWeight, f.TailWeight)
}

func set[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}

func setDuration(dst *time.Duration, src *Duration) {
	if src != nil {
		*dst = time.Duration(*src)
	}
}
