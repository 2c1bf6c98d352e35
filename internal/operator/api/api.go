// Package api defines the paths and JSON messages of the operator API.
package api

import (
	"fmt"
	"time"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// Paths of the operator API.
const (
	PathReady        = "/ready"
	PathConfig       = "/config"
	PathHistory      = "/config/history"
	PathConfigStatus = "/config/status"
	PathStatus       = "/status"
	PathTimeline     = "/timeline"
	PathQuarantine   = "/quarantine"
	PathMetrics      = "/metrics"
	PathLogLevel     = "/loglevel"
)

// Code identifies an error. Its values are part of the API and don't change.
type Code string

// Error codes.
const (
	// CodeUnauthorized: the request has neither a valid token nor a client certificate.
	CodeUnauthorized Code = "unauthorized"
	// CodeBadRequest: the body or a parameter of the request is invalid.
	CodeBadRequest Code = "bad-request"
	// CodeInvalid: the document has errors.
	CodeInvalid Code = "invalid"
	// CodeConflict: the edit conflicts with one accepted after its base revision.
	CodeConflict Code = "conflict"
	// CodeBaseMissing: the document states no base revision, but one is stored.
	CodeBaseMissing Code = "base-missing"
	// CodeBaseGone: the history lacks a revision that is needed to merge the edit.
	CodeBaseGone Code = "base-gone"
	// CodeStaleRead: the store keeps returning a revision below a known one.
	CodeStaleRead Code = "stale-read"
	// CodeNotApplied: the edit has not taken effect and never will, for another reason.
	CodeNotApplied Code = "not-applied"
	// CodeOutcomeUnknown: the edit may or may not have taken effect.
	CodeOutcomeUnknown Code = "outcome-unknown"
	// CodeStoreDown: the configuration can't be read from the store.
	CodeStoreDown Code = "store-down"
	// CodeNotFound: the requested revision or quarantined request does not exist.
	CodeNotFound Code = "not-found"
)

// Problem is an error response in the format of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   Code   `json:"code"`
	// Errors lists the errors of the document; set with CodeInvalid.
	Errors strictyaml.ErrorList `json:"mistakes,omitempty"`
	// Conflict describes the conflicting changes; set with CodeConflict.
	Conflict *config.ConflictError `json:"conflict,omitempty"`
	// ChangeID is the ID to apply the edit again with; set with CodeOutcomeUnknown.
	ChangeID string `json:"change,omitempty"`
}

// Error implements error. The text consists of the code and the detail.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Detail) }

// Source is the place that a configuration document was read from.
type Source string

// Sources of a configuration document.
const (
	// SourceStore is the store.
	SourceStore Source = "store"
	// SourceInstance is the memory of the instance, used if the store can't be read.
	SourceInstance Source = "instance"
)

// Config is the response to a read of the configuration.
type Config struct {
	Source Source `json:"source"`
	// Text is the document in YAML.
	Text     string           `json:"text"`
	Document *config.Document `json:"document"`
}

// ApplyRequest is a request to apply an edited document.
type ApplyRequest struct {
	// Text is the document in YAML.
	Text string `json:"text"`
	// ChangeID is the ID that makes the request idempotent.
	ChangeID string `json:"change"`
	Author   string `json:"author"`
	// DryRun requests the changes without storing them.
	DryRun bool `json:"dryRun,omitempty"`
}

// ApplyResponse is the result of an ApplyRequest or of its dry run.
type ApplyResponse struct {
	DryRun bool `json:"dryRun,omitempty"`
	// Revision is the stored revision after the request; in a dry run it equals
	// Previous.
	Revision  model.Revision  `json:"revision"`
	Previous  model.Revision  `json:"previous"`
	Rebased   bool            `json:"rebased,omitempty"`
	Unchanged bool            `json:"unchanged,omitempty"`
	Changes   []config.Change `json:"changes"`
	// Warnings lists parts of the document that are valid but have no effect now.
	Warnings []string `json:"warnings,omitempty"`
}

// Revision is an entry of the history.
type Revision struct {
	Revision model.Revision `json:"revision"`
	Author   string         `json:"author"`
	Time     *time.Time     `json:"time,omitempty"`
	ChangeID string         `json:"change,omitempty"`
}

// History lists the accepted revisions, newest first.
type History struct {
	Revisions []Revision `json:"revisions"`
}

// InstanceRevision is the revision that one instance last reported.
type InstanceRevision struct {
	Instance model.InstanceID `json:"instance"`
	// Revision is the revision in force on the instance; zero if none was reported.
	Revision model.Revision `json:"revision"`
	// Live reports whether the responding instance sees the instance as a live member.
	Live bool `json:"live"`
}

// RegionRevision is the configuration in force in one region.
type RegionRevision struct {
	Region model.Region `json:"region"`
	// Revision is the lowest revision that a live instance reported; zero if a live
	// instance reported none or if no instance of the region is live.
	Revision model.Revision `json:"revision"`
	// Live is the number of live instances.
	Live int `json:"live"`
	// NonMembers is the number of instances that the platform lists as live but that the
	// responding instance doesn't see as members.
	NonMembers int `json:"unheard,omitempty"`
	// Unreachable is set while the region of the responding instance can't reach this one.
	Unreachable bool `json:"cutOff,omitempty"`
	// Instances are sorted by ID.
	Instances []InstanceRevision `json:"instances"`
}

// ConfigStatus is the configuration in force in each region, as seen by one instance.
type ConfigStatus struct {
	Instance model.InstanceID `json:"instance"`
	// Accepted is the highest revision that is known to be accepted.
	Accepted model.Revision `json:"accepted"`
	// StoreError is the error of reading the stored revision, if any.
	StoreError string           `json:"storeError,omitempty"`
	Regions    []RegionRevision `json:"regions"`
}

// InForceEverywhere reports whether a revision or a higher one is in force in all
// regions. It returns false if no region is known or a region has no live instance.
func (s *ConfigStatus) InForceEverywhere(revision model.Revision) bool {
	for _, r := range s.Regions {
		if r.Live == 0 || r.Revision < revision {
			return false
		}
	}
	return len(s.Regions) > 0
}

// Member is a live instance of the fleet.
type Member struct {
	Instance     model.InstanceID `json:"instance"`
	Location     model.Location   `json:"location"`
	OperatorAddr string           `json:"operatorAddr,omitempty"`
	Leaving      bool             `json:"leaving,omitempty"`
	Revision     model.Revision   `json:"revision"`
}

// Service is the state of a service, as seen by one instance.
type Service struct {
	Service model.ServiceName `json:"service"`
	Class   model.Class       `json:"class"`
	Targets int               `json:"targets"`
	// Usable is the number of targets that can be picked for new requests.
	Usable   int `json:"usable"`
	Draining int `json:"draining"`
	Ejected  int `json:"ejected"`
	// InFlight is the number of requests in flight to all targets.
	InFlight int `json:"inFlight"`
}

// Status is the state of the fleet, as seen by one instance.
type Status struct {
	Instance    model.InstanceID `json:"instance"`
	Version     string           `json:"version"`
	Ready       bool             `json:"ready"`
	Revision    model.Revision   `json:"revision"`
	Members     []Member         `json:"members"`
	Services    []Service        `json:"services"`
	Quarantined int              `json:"quarantined"`
	Exceptions  []Exception      `json:"exceptions"`
}

// Exception is an exception of the configuration in force.
type Exception struct {
	Scope   string     `json:"scope"`
	Reason  string     `json:"reason"`
	Author  string     `json:"author"`
	Expires *time.Time `json:"expires,omitempty"`
}

// Timeline lists events of one instance.
type Timeline struct {
	Instance model.InstanceID `json:"instance"`
	Events   []events.Event   `json:"events"`
}

// QuarantinedRequest is a quarantined request, which is not sent to targets.
type QuarantinedRequest struct {
	Fingerprint string            `json:"fingerprint"`
	Service     model.ServiceName `json:"service"`
	Request     model.RequestID   `json:"request"`
	// Targets are the targets that crashed while they processed the request.
	Targets []model.TargetID `json:"targets"`
	// Until is when the quarantine ends.
	Until time.Time `json:"until"`
}

// Quarantine lists the quarantined requests.
type Quarantine struct {
	Requests []QuarantinedRequest `json:"requests"`
}

// LogLevel is the minimum level that is logged: debug, info, warn or error.
type LogLevel struct {
	Level string `json:"level"`
}
