// Package api holds the messages between the operator endpoint and the command line.
package api

import (
	"fmt"
	"time"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strict"
)

// Paths of the operator endpoint.
const (
	PathReady      = "/ready"
	PathConfig     = "/config"
	PathHistory    = "/config/history"
	PathInForce    = "/config/status"
	PathStatus     = "/status"
	PathTimeline   = "/timeline"
	PathQuarantine = "/quarantine"
	PathMetrics    = "/metrics"
	PathLogLevel   = "/loglevel"
)

// Code names a failure. The text is stable.
type Code string

// Codes of failures.
const (
	CodeUnauthorized   Code = "unauthorized"
	CodeBadRequest     Code = "bad-request"
	CodeInvalid        Code = "invalid"
	CodeConflict       Code = "conflict"
	CodeBaseMissing    Code = "base-missing"
	CodeBaseGone       Code = "base-gone"
	CodeStaleRead      Code = "stale-read"
	CodeNotApplied     Code = "not-applied"
	CodeOutcomeUnknown Code = "outcome-unknown"
	CodeStoreDown      Code = "store-down"
	CodeNotFound       Code = "not-found"
)

// Problem is a failure, in the form of RFC 9457.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	Code   Code   `json:"code"`
	// Mistakes are those of an invalid document.
	Mistakes strict.Problems `json:"mistakes,omitempty"`
	// Conflict is set with CodeConflict.
	Conflict *config.ConflictError `json:"conflict,omitempty"`
	// Change is set with CodeOutcomeUnknown.
	Change string `json:"change,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%s: %s", p.Code, p.Detail) }

// Source says where a configuration document comes from.
type Source string

// Sources of a document.
const (
	SourceStore    Source = "store"
	SourceInstance Source = "instance"
)

// Config answers a read of the configuration.
type Config struct {
	Source Source `json:"source"`
	// Text is the document in YAML.
	Text     string           `json:"text"`
	Document *config.Document `json:"document"`
}

// ApplyRequest asks to put a document in force.
type ApplyRequest struct {
	// Text is the document in YAML.
	Text string `json:"text"`
	// Change identifies the request; sending it again has no second effect.
	Change string `json:"change"`
	Author string `json:"author"`
	// DryRun asks only what would change.
	DryRun bool `json:"dryRun,omitempty"`
}

// ApplyResponse says what was stored or, after a dry run, what would be.
type ApplyResponse struct {
	DryRun bool `json:"dryRun,omitempty"`
	// Revision is the stored one; a dry run leaves it where it is.
	Revision  model.Revision  `json:"revision"`
	Previous  model.Revision  `json:"previous"`
	Rebased   bool            `json:"rebased,omitempty"`
	Unchanged bool            `json:"unchanged,omitempty"`
	Changes   []config.Change `json:"changes"`
	// Warnings name what is valid and yet has no effect now.
	Warnings []string `json:"warnings,omitempty"`
}

// Revision is one entry of the history.
type Revision struct {
	Revision model.Revision `json:"revision"`
	Author   string         `json:"author"`
	Time     *time.Time     `json:"time,omitempty"`
	Change   string         `json:"change,omitempty"`
}

// History lists accepted revisions, the newest first.
type History struct {
	Revisions []Revision `json:"revisions"`
}

// InstanceRevision is what one instance last reported.
type InstanceRevision struct {
	Instance model.InstanceID `json:"instance"`
	// Revision is the one in force there; zero means that none was reported.
	Revision model.Revision `json:"revision"`
	// Live is false if the instance is not among the live members as seen from
	// the instance that answers.
	Live bool `json:"live"`
}

// RegionRevision is the configuration in force in one region.
type RegionRevision struct {
	Region model.Region `json:"region"`
	// Revision is the lowest that a live instance reported; zero if one reported
	// none or if no instance of the region is live.
	Revision model.Revision `json:"revision"`
	Live     int            `json:"live"`
	// Unheard is the number of instances that the platform lists as live and that
	// the answering instance doesn't know as members.
	Unheard int `json:"unheard,omitempty"`
	// CutOff is set while the answering instance's region can't reach this one.
	CutOff    bool               `json:"cutOff,omitempty"`
	Instances []InstanceRevision `json:"instances"`
}

// InForce is the configuration in force by region, as one instance sees it.
type InForce struct {
	Instance model.InstanceID `json:"instance"`
	// Accepted is the highest revision that is known to be accepted.
	Accepted   model.Revision   `json:"accepted"`
	StoreError string           `json:"storeError,omitempty"`
	Regions    []RegionRevision `json:"regions"`
}

// Reached reports whether a revision or a higher one is in force everywhere.
func (f *InForce) Reached(revision model.Revision) bool {
	for _, r := range f.Regions {
		if r.Live == 0 || r.Revision < revision {
			return false
		}
	}
	return len(f.Regions) > 0
}

// Member is one instance of the fleet.
type Member struct {
	Instance     model.InstanceID `json:"instance"`
	Location     model.Location   `json:"location"`
	OperatorAddr string           `json:"operatorAddr,omitempty"`
	Leaving      bool             `json:"leaving,omitempty"`
	Revision     model.Revision   `json:"revision"`
}

// Service is one service as the answering instance sees it.
type Service struct {
	Service model.ServiceName `json:"service"`
	Class   model.Class       `json:"class"`
	Targets int               `json:"targets"`
	// Usable is the number of targets that may be picked for new work.
	Usable   int `json:"usable"`
	Draining int `json:"draining"`
	Ejected  int `json:"ejected"`
	InFlight int `json:"inFlight"`
}

// Status is the fleet as one instance sees it.
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

// Exception is one exception of the configuration in force.
type Exception struct {
	Scope   string     `json:"scope"`
	Reason  string     `json:"reason"`
	Author  string     `json:"author"`
	Expires *time.Time `json:"expires,omitempty"`
}

// Timeline is the answer to a read of one instance's events.
type Timeline struct {
	Instance model.InstanceID `json:"instance"`
	Events   []events.Event   `json:"events"`
}

// Quarantined is a request that is kept away from targets.
type Quarantined struct {
	Fingerprint string            `json:"fingerprint"`
	Service     model.ServiceName `json:"service"`
	Request     model.RequestID   `json:"request"`
	// Targets are those that the request crashed.
	Targets []model.TargetID `json:"targets"`
	Until   time.Time        `json:"until"`
}

// Quarantine lists the quarantined requests.
type Quarantine struct {
	Requests []Quarantined `json:"requests"`
}

// LogLevel is the least level that is logged: debug, info, warn or error.
type LogLevel struct {
	Level string `json:"level"`
}
