package config

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Built-in policy values, used where the document's defaults set none.
const (
	defaultDeadline         = 2 * time.Second
	defaultProgressTimeout  = 15 * time.Second
	defaultHedgeQuantile    = 0.90 // latency quantile
	defaultHedgeBudget      = 0.1  // share of requests
	defaultRetryBudget      = 0.1  // share of requests
	defaultKeyRetention     = 24 * time.Hour
	defaultQueueLimit       = 256       // requests
	defaultHeldBody         = 256 << 10 // bytes
	defaultCrossRegionBytes = 1 << 20   // bytes per second
	defaultTailWeight       = 0.5
)

// Resolve returns the effective policy of a service at a location: the built-in
// values, overridden by the defaults and then by the exceptions that apply at now,
// the most specific scope last. It returns false if the service is not declared.
func (d *Document) Resolve(name model.ServiceName, location model.Location, now time.Time) (*model.Policy, bool) {
	service, ok := d.Services[name]
	if !ok {
		return nil, false
	}
	p := builtinPolicy(name, service.Class)
	d.Defaults.apply(p)
	for precedence := precedenceAll; precedence <= precedenceServiceRegion; precedence++ {
		for i := range d.Exceptions {
			if e := &d.Exceptions[i]; e.Scope.precedence() == precedence && e.applies(name, location, now) {
				e.Set.apply(p)
			}
		}
	}
	return p, true
}

// Precedence of scopes: exceptions with a higher one override those with a lower one.
const (
	precedenceAll = iota
	precedenceRegion
	precedenceService
	precedenceServiceRegion
)

func (s Scope) precedence() int {
	switch {
	case s.Service != "" && s.Region != "":
		return precedenceServiceRegion
	case s.Service != "":
		return precedenceService
	case s.Region != "":
		return precedenceRegion
	default:
		return precedenceAll
	}
}

// builtinPolicy returns the built-in policy of a service.
func builtinPolicy(name model.ServiceName, class model.Class) *model.Policy {
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

func (e *Exception) applies(name model.ServiceName, location model.Location, now time.Time) bool {
	if e.expired(now) {
		return false
	}
	if e.Scope.Service != "" && e.Scope.Service != name {
		return false
	}
	return e.Scope.Region == "" || e.Scope.Region == location.Region
}

func (e *Exception) expired(now time.Time) bool {
	return e.Expires != nil && !now.Before(*e.Expires)
}

// apply overrides the values of p with the fields that are not nil.
func (f *PolicyFields) apply(p *model.Policy) {
	setDurationIfPresent(&p.Deadline, f.Deadline)
	setDurationIfPresent(&p.ProgressTimeout, f.ProgressTimeout)
	setIfPresent(&p.HedgeQuantile, f.HedgeQuantile)
	setIfPresent(&p.HedgeBudget, f.HedgeBudget)
	setIfPresent(&p.RetryBudget, f.RetryBudget)
	setIfPresent(&p.RequireKey, f.RequireKey)
	setDurationIfPresent(&p.KeyRetention, f.KeyRetention)
	setIfPresent(&p.QueueLimit, f.QueueLimit)
	setIfPresent(&p.HeldBody, f.HeldBody)
	setIfPresent(&p.CrossRegionBytes, f.CrossRegionBytes)
	setIfPresent(&p.TailWeight, f.TailWeight)
}

func setIfPresent[T any](dst *T, src *T) {
	if src != nil {
		*dst = *src
	}
}

func setDurationIfPresent(dst *time.Duration, src *Duration) {
	if src != nil {
		*dst = time.Duration(*src)
	}
}
