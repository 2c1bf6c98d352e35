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
// leaves the value of the layer below.
type Fields struct {
	// Deadline bounds an exchange in total; uploads are exempt.
	Deadline *Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"`
	// ProgressTimeout bounds the time in which an upload moves no byte.
	ProgressTimeout *Duration `json:"progressTimeout,omitempty" yaml:"progressTimeout,omitempty"`
	// HedgeQuantile is the latency quantile after which a hedge is sent; 0 disables.
	HedgeQuantile *float64 `json:"hedgeQuantile,omitempty" yaml:"hedgeQuantile,omitempty"`
	// HedgeBudget is the share of requests that may be hedged, 0 to 0.5.
	HedgeBudget *float64 `json:"hedgeBudget,omitempty" yaml:"hedgeBudget,omitempty"`
	// RetryBudget is the share of requests that may be retried, 0 to 0.1.
	RetryBudget *float64 `json:"retryBudget,omitempty" yaml:"retryBudget,omitempty"`
	// RequireKey makes Idempotency-Key mandatory for non-idempotent requests.
	RequireKey *bool `json:"requireKey,omitempty" yaml:"requireKey,omitempty"`
	// KeyRetention is how long the outcome of an idempotency key is kept.
	KeyRetention *Duration `json:"keyRetention,omitempty" yaml:"keyRetention,omitempty"`
	// QueueLimit is the number of requests that may wait at one instance.
	QueueLimit *int `json:"queueLimit,omitempty" yaml:"queueLimit,omitempty"`
	// HeldBody is the number of body bytes kept for a retry.
	HeldBody *int `json:"heldBody,omitempty" yaml:"heldBody,omitempty"`
	// CrossRegionBytes is the volume in bytes per second that one instance may
	// send to targets of other regions.
	CrossRegionBytes *int `json:"crossRegionBytes,omitempty" yaml:"crossRegionBytes,omitempty"`
	// TailWeight trades tail latency (1) against the cost of measuring (0).
	TailWeight *float64 `json:"tailWeight,omitempty" yaml:"tailWeight,omitempty"`
}

// Service declares one service.
type Service struct {
	Class model.Class `json:"class" yaml:"class"`
}

// Scope selects what an exception applies to. Empty fields match everything.
type Scope struct {
	Service model.ServiceName `json:"service,omitempty" yaml:"service,omitempty"`
	Region  model.Region      `json:"region,omitempty" yaml:"region,omitempty"`
}

// Exception overrides fields within a scope.
type Exception struct {
	Scope  Scope  `json:"scope" yaml:"scope"`
	Set    Fields `json:"set" yaml:"set"`
	Reason string `json:"reason" yaml:"reason"`
	Author string `json:"author" yaml:"author"`
	// Expires ends the exception; nil means never.
	Expires *time.Time `json:"expires,omitempty" yaml:"expires,omitempty"`
}

// Document is the whole configuration of a fleet at one revision.
type Document struct {
	Revision   model.Revision                `json:"revision" yaml:"revision"`
	Author     string                        `json:"author,omitempty" yaml:"author,omitempty"`
	Defaults   Fields                        `json:"defaults" yaml:"defaults"`
	Services   map[model.ServiceName]Service `json:"services" yaml:"services"`
	Exceptions []Exception                   `json:"exceptions,omitempty" yaml:"exceptions,omitempty"`
}
