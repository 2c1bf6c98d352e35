// Package model holds the vocabulary that every other package shares: where a
// process runs, what a target is, and which guarantees a request class carries.
// It has no behaviour beyond parsing and printing.
package model

import (
	"fmt"
	"net/netip"
	"time"
)

// InstanceID names one machine that runs redwingpoint. It is unique in a fleet
// and is not reused after the machine is replaced.
type InstanceID string

// Region names a group of failure domains that share fast links.
type Region string

// FailureDomain names a group of machines that may fail together.
type FailureDomain string

// Location says where an instance or a target runs.
type Location struct {
	Region        Region        `json:"region" yaml:"region" cbor:"1,keyasint"`
	FailureDomain FailureDomain `json:"failureDomain" yaml:"failureDomain" cbor:"2,keyasint"`
}

// Distance orders locations by the cost of reaching them.
type Distance uint8

const (
	// SameDomain is a location in the same failure domain.
	SameDomain Distance = iota
	// SameRegion is another failure domain of the same region.
	SameRegion
	// OtherRegion is reached over a link that is paid by volume.
	OtherRegion
)

// DistanceTo returns the distance between two locations.
func (l Location) DistanceTo(other Location) Distance {
	switch {
	case l.Region != other.Region:
		return OtherRegion
	case l.FailureDomain != other.FailureDomain:
		return SameRegion
	default:
		return SameDomain
	}
}

// ServiceName names a service, such as "nahled".
type ServiceName string

// TargetID names one upstream server. It is unique across services.
type TargetID string

// Target is one upstream server as the platform lists it. Values are immutable.
type Target struct {
	ID       TargetID       `json:"id"`
	Service  ServiceName    `json:"service"`
	Addr     netip.AddrPort `json:"addr"`
	Location Location       `json:"location"`
	// Slots is the number of requests the target runs at once.
	Slots int `json:"slots"`
	// MaxConns is the number of connections the target accepts from all instances.
	MaxConns int `json:"maxConns"`
	// Leaving is set by the platform when it plans to stop the target.
	Leaving bool `json:"leaving,omitempty"`
	// ColdUntil is when the target has warmed up after its start; zero if not told.
	ColdUntil time.Time `json:"-"`
}

// RequestID identifies one exchange with a caller across all processes.
type RequestID string

// Revision counts accepted configuration changes; it only rises.
type Revision uint64

// Class is the set of guarantees that a service's requests carry.
type Class uint8

const (
	// Idempotent requests may run more than once.
	Idempotent Class = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Upload requests stream a large body and are bounded by progress, not by total time.
	Upload
)

var classNames = [...]string{Idempotent: "idempotent", NonIdempotent: "nonIdempotent", Upload: "upload"}

// String returns the configuration's spelling of c.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return classNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
// It returns *UnknownClassError for any other text.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if name == string(text) {
			*c = Class(i)
			return nil
		}
	}
	return &UnknownClassError{Text: string(text)}
}

// UnknownClassError reports text that names no request class.
type UnknownClassError struct{ Text string }

func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("unknown request class %q: use idempotent, nonIdempotent or upload", e.Text)
}

// Policy is the effective configuration of one service: the fleet's defaults
// with the exceptions that apply laid over them. Values are immutable.
type Policy struct {
	Service ServiceName
	Class   Class
	// Deadline bounds idempotent and non-idempotent exchanges in total.
	Deadline time.Duration
	// ProgressTimeout bounds the time in which an upload moves no byte.
	ProgressTimeout time.Duration
	// HedgeQuantile is the latency quantile after which a hedge is sent; 0 disables hedging.
	HedgeQuantile float64
	// HedgeBudget is the share of requests that may be hedged.
	HedgeBudget float64
	// RetryBudget is the share of requests that may be retried.
	RetryBudget float64
	// RequireKey makes Idempotency-Key mandatory for non-idempotent requests.
	RequireKey bool
	// KeyRetention is how long the outcome of an idempotency key is kept.
	KeyRetention time.Duration
	// QueueLimit is the number of requests that may wait at one instance.
	QueueLimit int
	// HeldBody is the number of body bytes kept for a retry.
	HeldBody int
	// CrossRegionBytes is the volume in bytes per second that one instance may
	// send to targets of other regions.
	CrossRegionBytes int
	// TailWeight trades tail latency (1) against the cost of measuring (0).
	TailWeight float64
}
