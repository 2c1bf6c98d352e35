// Package events records the decisions of an instance as typed events. Their timestamps
// come from a hybrid logical clock, so that the events of all instances can be merged
// into one timeline.
package events

import (
	"redwingpoint.org/redwingpoint/internal/model"
)

// Kind is the type of an event. The values are stable, because operators filter by them.
type Kind string

// Kinds of events. docs/OPERATIONS.md describes each of them.
const (
	RequestReceived Kind = "request-received"
	RequestAnswered Kind = "request-answered"
	RequestRefused  Kind = "request-refused"
	CallerGone      Kind = "caller-gone"

	TargetPicked      Kind = "target-picked"
	RequestRetried    Kind = "request-retried"
	RequestHedged     Kind = "request-hedged"
	TargetShed        Kind = "target-shed"
	ExchangeFailed    Kind = "exchange-failed"
	AnswerTruncated   Kind = "answer-truncated"
	BudgetExhausted   Kind = "budget-exhausted"
	RegionCrossed     Kind = "region-crossed"
	QuarantineAdded   Kind = "quarantine-added"
	QuarantineLifted  Kind = "quarantine-lifted"
	TargetEjected     Kind = "target-ejected"
	TargetReadmitted  Kind = "target-readmitted"
	TargetDraining    Kind = "target-draining"
	TargetAdded       Kind = "target-added"
	TargetRemoved     Kind = "target-removed"
	ClaimWritten      Kind = "claim-written"
	ClaimRefused      Kind = "claim-refused"
	ClaimSent         Kind = "claim-sent"
	ClaimDone         Kind = "claim-done"
	ClaimNotRun       Kind = "claim-not-run"
	ClaimAbandoned    Kind = "claim-abandoned"
	ClaimReplayed     Kind = "claim-replayed"
	ClaimUnknown      Kind = "claim-unknown"
	RevisionAccepted  Kind = "revision-accepted"
	RevisionInForce   Kind = "revision-in-force"
	ExceptionExpired  Kind = "exception-expired"
	RevisionStale     Kind = "revision-stale"
	MemberJoined      Kind = "member-joined"
	MemberLeaving     Kind = "member-leaving"
	MemberLeft        Kind = "member-left"
	MemberSuspected   Kind = "member-suspected"
	StoreDown         Kind = "store-down"
	StoreUp           Kind = "store-up"
	InstanceStarted   Kind = "instance-started"
	InstanceDraining  Kind = "instance-draining"
	InstanceStopped   Kind = "instance-stopped"
	SettingsReloaded  Kind = "settings-reloaded"
	PeerRefused       Kind = "peer-refused"
	LateAnswerDropped Kind = "late-answer-dropped"
)

// Event is one entry of the timeline. Fields that don't apply are empty.
type Event struct {
	Time     Timestamp         `json:"time"`
	Instance model.InstanceID  `json:"instance"`
	Kind     Kind              `json:"kind"`
	Request  model.RequestID   `json:"request,omitempty"`
	Service  model.ServiceName `json:"service,omitempty"`
	Target   model.TargetID    `json:"target,omitempty"`
	Member   model.InstanceID  `json:"member,omitempty"`
	Revision model.Revision    `json:"revision,omitempty"`
	// Detail is a short reason for people, which is never parsed.
	Detail string `json:"detail,omitempty"`
}

// Recorder records events. Implementations are safe for concurrent use.
type Recorder interface {
	// Record records an event and sets its Time and Instance. It never blocks.
	Record(Event)
}

// Discard is a Recorder that discards all events.
var Discard Recorder = discard{}

// discard implements Recorder for Discard.
type discard struct{}

func (discard) Record(Event) {}
