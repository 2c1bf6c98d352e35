// Package config holds the fleet's configuration: one set of defaults, the list
// of services and a short list of exceptions, each with a written reason.
package config

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Duration is a time.Duration written as text, such as "250ms".
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

// Fields are the values that defaults set and exceptions override. A nil field
// leaves the value of the layer below. The range tag is what Parse accepts; times
// are durations such as 250ms, sizes are bytes.
type Fields struct {
	// Deadline bounds an exchange in total; uploads are exempt.
	Deadline *Duration `json:"deadline,omitempty" yaml:"deadline,omitempty" range:"10ms..10m"`
	// ProgressTimeout bounds the time in which an upload moves no byte.
	ProgressTimeout *Duration `json:"progressTimeout,omitempty" yaml:"progressTimeout,omitempty" range:"100ms..10m"`
	// HedgeQuantile is the latency quantile after which a hedge is sent, 0.5 to
	// 0.999; 0 disables hedging.
	HedgeQuantile *float64 `json:"hedgeQuantile,omitempty" yaml:"hedgeQuantile,omitempty" range:"0..0.999"`
	// HedgeBudget is the share of requests that may be hedged.
	HedgeBudget *float64 `json:"hedgeBudget,omitempty" yaml:"hedgeBudget,omitempty" range:"0..0.5"`
	// RetryBudget is the share of requests that may be retried.
	RetryBudget *float64 `json:"retryBudget,omitempty" yaml:"retryBudget,omitempty" range:"0..0.1"`
	// RequireKey makes Idempotency-Key mandatory for non-idempotent requests. The
	// defaults can't relax it; only an exception can.
	RequireKey *bool `json:"requireKey,omitempty" yaml:"requireKey,omitempty"`
	// KeyRetention is how long the outcome of an idempotency key is kept.
	KeyRetention *Duration `json:"keyRetention,omitempty" yaml:"keyRetention,omitempty" range:"1h..720h"`
	// QueueLimit is the number of requests that may wait at one instance.
	QueueLimit *int `json:"queueLimit,omitempty" yaml:"queueLimit,omitempty" range:"0..65536"`
	// HeldBody is the number of body bytes kept for a retry.
	HeldBody *int `json:"heldBody,omitempty" yaml:"heldBody,omitempty" range:"0..16777216"`
	// CrossRegionBytes is the volume in bytes per second that one instance may
	// send to targets of other regions.
	CrossRegionBytes *int `json:"crossRegionBytes,omitempty" yaml:"crossRegionBytes,omitempty" range:"0..500000000"`
	// TailWeight trades tail latency (1) against the cost of measuring (0).
	TailWeight *float64 `json:"tailWeight,omitempty" yaml:"tailWeight,omitempty" range:"0..1"`
}

// Service declares one service.
type Service struct {
	// Class sets the guarantees of the service's requests.
	Class model.Class `json:"class" yaml:"class" required:"true"`
}

// Scope selects what an exception applies to. An empty field matches everything.
// Of the exceptions that set one field the narrowest wins: service and region,
// then service, then region.
type Scope struct {
	Service model.ServiceName `json:"service,omitempty" yaml:"service,omitempty"`
	Region  model.Region      `json:"region,omitempty" yaml:"region,omitempty"`
}

// Exception overrides fields within a scope.
type Exception struct {
	Scope Scope  `json:"scope" yaml:"scope" required:"true"`
	Set   Fields `json:"set" yaml:"set" required:"true"`
	// Reason says why; it must have at least two words.
	Reason string `json:"reason" yaml:"reason" required:"true"`
	// Author is filled in with the operator who applies the exception if it is empty.
	Author string `json:"author" yaml:"author"`
	// Expires ends the exception, without a new revision; nil means never.
	Expires *time.Time `json:"expires,omitempty" yaml:"expires,omitempty"`
}

// Document is the whole configuration of a fleet at one revision.
type Document struct {
	// Revision is the document's own. In a document that is being applied it is
	// the revision that the edit started from.
	Revision model.Revision `json:"revision" yaml:"revision"`
	// Change identifies the application of an edit; Apply sets it.
	Change string `json:"change,omitempty" yaml:"change,omitempty"`
	// Author is the operator who applied the document; Apply sets it.
	Author string `json:"author,omitempty" yaml:"author,omitempty"`
	// Time is when the document was applied; Apply sets it.
	Time       *time.Time                    `json:"time,omitempty" yaml:"time,omitempty"`
	Defaults   Fields                        `json:"defaults" yaml:"defaults"`
	Services   map[model.ServiceName]Service `json:"services" yaml:"services" required:"true"`
	Exceptions []Exception                   `json:"exceptions,omitempty" yaml:"exceptions,omitempty"`
}
