// Package routing picks a target for a request from an immutable snapshot of
// targets plus atomic counters. Picking takes no lock and does not allocate.
package routing

import (
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

var standingNames = [...]string{Proven: "proven", Unproven: "unproven", Ejected: "ejected", Draining: "draining"}

// String returns the name of s.
func (s Standing) String() string {
	if int(s) >= len(standingNames) {
		return "unknown"
	}
	return standingNames[s]
}

// Endpoint is one target of a snapshot. Everything but Load is immutable.
type Endpoint struct {
	Target   model.Target
	Distance model.Distance
	Standing Standing
	Load     *Load
	// rank is the target's place in this instance's rendezvous order.
	rank uint64
	// share is the number of slots that this instance takes as its own part.
	share int32
	// slots is the number of own exchanges at which the target is full.
	slots int32
}

// Request describes what a pick has to satisfy.
type Request struct {
	Service model.ServiceName
	Class   model.Class
	// Exclude lists targets that this request has tried already.
	Exclude []model.TargetID
	// Waited is how long the entry instance has held the request because of
	// *SaturatedError; a request that waited long may cross regions.
	Waited time.Duration
}

// Picker chooses a target. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the endpoint for a request. It returns *UnknownServiceError,
	// *NoTargetError, or *SaturatedError when every usable target is believed to
	// be full. A caller that holds a saturated request asks again when one of its
	// exchanges with the service ends, and at least every AskAgain.
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
