// Package config implements the fleet-wide configuration: a document of defaults,
// services and exceptions, its validation and storage with history, the three-way
// merge of concurrent edits, and its resolution into one policy per service.
package config

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// PolicyFields are the policy values that defaults and exceptions can set. A nil field
// inherits the value of the next wider layer. Parse accepts values within the
// range tag.
type PolicyFields struct {
	// Deadline is the total timeout of a request; it does not apply to uploads.
	Deadline *Duration `json:"deadline,omitempty" yaml:"deadline,omitempty" range:"10ms..10m"`
	// ProgressTimeout is how long an upload may go without transferring a byte.
	ProgressTimeout *Duration `json:"progressTimeout,omitempty" yaml:"progressTimeout,omitempty" range:"100ms..10m"`
	// HedgeQuantile is the latency quantile after which a hedged request is sent,
	// 0.5 to 0.999; 0 disables hedging.
	HedgeQuantile *float64 `json:"hedgeQuantile,omitempty" yaml:"hedgeQuantile,omitempty" range:"0..0.999"`
	// HedgeBudget is the share of requests that may be hedged.
	HedgeBudget *float64 `json:"hedgeBudget,omitempty" yaml:"hedgeBudget,omitempty" range:"0..0.5"`
	// RetryBudget is the share of requests that may be retried.
	RetryBudget *float64 `json:"retryBudget,omitempty" yaml:"retryBudget,omitempty" range:"0..0.1"`
	// RequireKey makes the Idempotency-Key header mandatory for non-idempotent
	// requests. Only an exception may set it to false.
	RequireKey *bool `json:"requireKey,omitempty" yaml:"requireKey,omitempty"`
	// KeyRetention is how long the result for an idempotency key is kept.
	KeyRetention *Duration `json:"keyRetention,omitempty" yaml:"keyRetention,omitempty" range:"1h..720h"`
	// QueueLimit is the maximum number of requests queued on one instance.
	QueueLimit *int `json:"queueLimit,omitempty" yaml:"queueLimit,omitempty" range:"0..65536"`
	// HeldBody is the number of bytes of a request body that are buffered for a retry.
	HeldBody *int `json:"heldBody,omitempty" yaml:"heldBody,omitempty" range:"0..16777216"`
	// CrossRegionBytes is the rate limit, in bytes per second, of what one instance
	// sends to targets in other regions.
	CrossRegionBytes *int `json:"crossRegionBytes,omitempty" yaml:"crossRegionBytes,omitempty" range:"0..500000000"`
	// TailWeight is the weight of tail latency. The higher it is, the larger the share of
	// slots that callers with a backlog leave free for others.
	TailWeight *float64 `json:"tailWeight,omitempty" yaml:"tailWeight,omitempty" range:"0..1"`
}

// Service declares one service.
type Service struct {
	// Class determines the retry and timeout rules for the service's requests.
	Class model.Class `json:"class" yaml:"class" required:"true"`
}

// Scope selects the services and regions that an exception applies to. An empty
// field matches all. If several exceptions set the same field, the most specific
// scope takes precedence: service and region, then service, then region.
type Scope struct {
	Service model.ServiceName `json:"service,omitempty" yaml:"service,omitempty"`
	Region  model.Region      `json:"region,omitempty" yaml:"region,omitempty"`
}

// Exception overrides fields within a scope.
type Exception struct {
	Scope Scope        `json:"scope" yaml:"scope" required:"true"`
	Set   PolicyFields `json:"set" yaml:"set" required:"true"`
	// Reason explains the exception; at least two words are required.
	Reason string `json:"reason" yaml:"reason" required:"true"`
	// Author defaults to the operator who applies the edit.
	Author string `json:"author" yaml:"author"`
	// Expires is when the exception stops applying, without a new revision; nil
	// means never.
	Expires *time.Time `json:"expires,omitempty" yaml:"expires,omitempty"`
}

// Document is the complete configuration of the fleet at one revision.
type Document struct {
	// Revision is the document's revision. In an Edit it is the base revision.
	Revision model.Revision `json:"revision" yaml:"revision"`
	// ChangeID is the ID of the edit that produced the document; Apply sets it.
	ChangeID string `json:"change,omitempty" yaml:"change,omitempty"`
	// Author is the operator who applied the document; Apply sets it.
	Author string `json:"author,omitempty" yaml:"author,omitempty"`
	// Time is when the document was applied; Apply sets it.
	Time       *time.Time                    `json:"time,omitempty" yaml:"time,omitempty"`
	Defaults   PolicyFields                  `json:"defaults" yaml:"defaults"`
	Services   map[model.ServiceName]Service `json:"services" yaml:"services" required:"true"`
	Exceptions []Exception                   `json:"exceptions,omitempty" yaml:"exceptions,omitempty"`
}
