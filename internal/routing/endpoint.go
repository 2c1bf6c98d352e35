// Package routing picks a target for a request from an immutable snapshot of
// targets plus atomic counters. Picking takes no lock and does not allocate.
package routing

import (
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Standing is what the fleet currently believes of a target.
type Standing uint8

const (
	// Proven targets have answered recently and take every class of request.
	Proven Standing = iota
	// Unproven targets are new or come back from ejection; only idempotent
	// requests may try them.
	Unproven
	// Ejected targets are used only when nothing better is left.
	Ejected
	// Draining targets finish what they run and receive no new work.
	Draining
)

// Load holds the counters of one target. They outlive snapshots and are updated
// by every exchange without locks.
type Load struct {
	inFlight   atomic.Int32
	reported   atomic.Int32
	reportedAt atomic.Int64
}

// Begin counts an exchange that starts.
func (l *Load) Begin() { l.inFlight.Add(1) }

// End counts an exchange that ends.
func (l *Load) End() { l.inFlight.Add(-1) }

// InFlight returns the number of this instance's running exchanges.
func (l *Load) InFlight() int { return int(l.inFlight.Load()) }

// Report stores the number of requests that the target said it holds.
func (l *Load) Report(requests int, at time.Time) {
	l.reported.Store(int32(requests))
	l.reportedAt.Store(at.UnixNano())
}

// Reported returns the last reported number of requests and when it arrived.
func (l *Load) Reported() (requests int, at time.Time) {
	return int(l.reported.Load()), time.Unix(0, l.reportedAt.Load())
}

// Endpoint is one target of a snapshot. Everything but Load is immutable.
type Endpoint struct {
	Target   model.Target
	Distance model.Distance
	Standing Standing
	Load     *Load
}

// Request describes what a pick has to satisfy.
type Request struct {
	Service model.ServiceName
	Class   model.Class
	// Exclude lists targets that this request has tried already.
	Exclude []model.TargetID
}

// Picker chooses a target. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the endpoint for a request. It returns *UnknownServiceError
	// or *NoTargetError.
	Pick(req Request) (*Endpoint, error)
}

// UnknownServiceError reports a service that no target list names.
type UnknownServiceError struct{ Service model.ServiceName }

func (e *UnknownServiceError) Error() string { return "unknown service " + string(e.Service) }

// NoTargetError reports that no target of the service may take the request.
type NoTargetError struct{ Service model.ServiceName }

func (e *NoTargetError) Error() string { return "no target of " + string(e.Service) + " may be used" }

// SaturatedError reports that every usable target is believed to be full; a
// request may wait at the entry instance until one frees a slot.
type SaturatedError struct{ Service model.ServiceName }

func (e *SaturatedError) Error() string { return "every target of " + string(e.Service) + " is full" }
