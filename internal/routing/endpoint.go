// Package routing picks a target for each request from an immutable snapshot of
// targets plus atomic load counters. CostPicker takes no lock and does not allocate on
// success; ProbingPicker probes the targets and may block.
package routing

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// TargetState is the state of a target as this instance sees it.
type TargetState uint8

const (
	// Proven targets have answered recently and receive every class of request.
	Proven TargetState = iota
	// Unproven targets are new or have just returned from ejection. They receive
	// idempotent requests; other classes use them only if no proven target is left.
	Unproven
	// Ejected targets are used only if no proven or unproven target is left.
	Ejected
	// Draining targets finish their running requests and receive no new ones.
	Draining
)

var stateNames = [...]string{Proven: "proven", Unproven: "unproven", Ejected: "ejected", Draining: "draining"}

// String returns the lowercase name of s, or "unknown".
func (s TargetState) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Endpoint is one target in a snapshot. All fields are immutable; the counters that
// Load points to are shared by all snapshots.
type Endpoint struct {
	Target   model.Target
	Distance model.Distance
	State    TargetState
	Load     *Load
	// domain is the state of the target's failure domain, shared by all snapshots, or nil.
	domain *domainState
	// rendezvousHash orders the targets differently for each instance; lower hashes
	// are preferred.
	rendezvousHash uint64
	// slotShare is the number of the target's slots that this instance may use without
	// knowing what other instances use.
	slotShare int32
	// maxInFlight is the number of this instance's own exchanges at which the target
	// counts as full.
	maxInFlight int32
}

// Request describes the request to pick a target for.
type Request struct {
	Service model.ServiceName
	Class   model.Class
	// Exclude lists the targets that this request has already been sent to.
	Exclude []model.TargetID
	// Waited is how long the entry instance has held the request because of
	// *SaturatedError. It relaxes the slot share first and allows other regions later.
	Waited time.Duration
}

// Picker picks a target for a request. Implementations are safe for concurrent use.
type Picker interface {
	// Pick returns the endpoint to send a request to. It returns *UnknownServiceError,
	// *NoTargetError, or *SaturatedError if every usable target counts as full. After
	// *SaturatedError, Pick should be called again whenever an own exchange with the
	// service ends, and at least every SaturatedRetryInterval.
	Pick(req Request) (*Endpoint, error)
}

// UnknownServiceError reports a service without a target list.
type UnknownServiceError struct{ Service model.ServiceName }

func (e *UnknownServiceError) Error() string { return "unknown service " + string(e.Service) }

// NoTargetError reports that no target of the service is eligible for the request.
type NoTargetError struct{ Service model.ServiceName }

func (e *NoTargetError) Error() string { return "no target of " + string(e.Service) + " may be used" }

// SaturatedError reports that every usable target counts as full. The entry instance
// may queue the request until a slot is free.
type SaturatedError struct{ Service model.ServiceName }

func (e *SaturatedError) Error() string { return "every target of " + string(e.Service) + " is full" }
