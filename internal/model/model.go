// Package model defines the types shared by all other packages: identifiers,
// locations, targets, request classes and the effective policy of a service. It
// contains no logic beyond parsing, formatting and comparing locations.
package model

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"
)

// InstanceID identifies an instance. It is unique within a fleet and is not reused after
// the machine is replaced.
type InstanceID string

// Region is the name of a group of failure domains that are connected by fast links.
type Region string

// FailureDomain is the name of a group of machines that may fail together.
type FailureDomain string

// Location is the place where an instance or a target runs.
type Location struct {
	Region        Region        `json:"region" yaml:"region" cbor:"1,keyasint"`
	FailureDomain FailureDomain `json:"failureDomain" yaml:"failureDomain" cbor:"2,keyasint"`
}

// Distance is the network distance between two locations. Higher values mean higher
// cost.
type Distance uint8

const (
	// SameDomain is the distance between locations in the same failure domain.
	SameDomain Distance = iota
	// SameRegion is the distance between different failure domains of one region.
	SameRegion
	// OtherRegion is the distance between regions. Traffic between them is billed by
	// volume.
	OtherRegion
)

// String returns the name of the distance in metrics.
func (d Distance) String() string {
	switch d {
	case SameDomain:
		return "same_domain"
	case SameRegion:
		return "same_region"
	default:
		return "other_region"
	}
}

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

// ServiceName is the name of a service, such as "nahled".
type ServiceName string

// OrganisationName is the name of an organisation on whose behalf callers send requests.
type OrganisationName string

// TargetID identifies a target. It is unique across services.
type TargetID string

// Target is a server of an upstream as listed by the platform. Targets must not be
// modified.
type Target struct {
	ID       TargetID       `json:"id"`
	Service  ServiceName    `json:"service"`
	Addr     netip.AddrPort `json:"addr"`
	Location Location       `json:"location"`
	// Slots is the number of requests that the target processes concurrently.
	Slots int `json:"slots"`
	// MaxConns is the number of connections that the target accepts, from all
	// instances together.
	MaxConns int `json:"maxConns"`
	// Leaving is set by the platform if it plans to stop the target.
	Leaving bool `json:"leaving,omitempty"`
	// StartMillis is the Unix time in milliseconds at which the target's process started,
	// which tells a restarted target with the same ID from the earlier one; zero if unknown.
	StartMillis int64 `json:"startMillis,omitempty"`
	// WarmupEndsAt is when the target has warmed up after its start; zero if unknown.
	WarmupEndsAt time.Time `json:"-"`
	// ColdEndsAt is when the target stops being cold by its entry, zero if unknown, and
	// ColdKnownAt when this instance read or received that.
	ColdEndsAt, ColdKnownAt time.Time `json:"-"`
}

// ProcessID identifies one run of a target's process; it differs after a restart under the
// same ID.
type ProcessID string

// Process returns the process of the target.
func (t *Target) Process() ProcessID {
	return ProcessID(string(t.ID) + "@" + strconv.FormatInt(t.StartMillis, 10))
}

// RequestID identifies one request of a caller across all processes.
type RequestID string

// Revision is the number of a configuration revision. Each accepted change increases it.
type Revision uint64

// Class is the request class of a service. It determines how often a request may be
// executed and how its duration is limited.
type Class uint8

const (
	// Idempotent requests may be executed more than once.
	Idempotent Class = iota
	// NonIdempotent requests are executed at most once.
	NonIdempotent
	// Upload requests stream a large body. They are limited by a progress timeout
	// rather than by a deadline.
	Upload
)

var classNames = [...]string{Idempotent: "idempotent", NonIdempotent: "nonIdempotent", Upload: "upload"}

// String returns the name of the class as used in the configuration.
func (c Class) String() string {
	if int(c) >= len(classNames) {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return classNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns *UnknownClassError if
// the text is not the name of a class.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if name == string(text) {
			*c = Class(i)
			return nil
		}
	}
	return &UnknownClassError{Text: string(text)}
}

// UnknownClassError reports text that is not the name of a request class.
type UnknownClassError struct{ Text string }

func (e *UnknownClassError) Error() string {
	return fmt.Sprintf("unknown request class %q: use idempotent, nonIdempotent or upload", e.Text)
}

// Policy is the effective configuration of one service at one location: the fleet's
// defaults, overridden by the exceptions that apply. Policies must not be modified.
type Policy struct {
	Service ServiceName
	Class   Class
	// Deadline limits the total duration of idempotent and non-idempotent requests.
	Deadline time.Duration
	// ProgressTimeout limits how long an upload may transfer no data.
	ProgressTimeout time.Duration
	// HedgeQuantile is the quantile of the latency, from 0 to 1, after which a hedged
	// request is sent; 0 disables hedging.
	HedgeQuantile float64
	// HedgeBudget is the fraction of requests that may be hedged.
	HedgeBudget float64
	// RetryBudget is the fraction of requests that may be retried.
	RetryBudget float64
	// RequireKey makes Idempotency-Key mandatory for non-idempotent requests.
	RequireKey bool
	// KeyRetention is how long the outcome of a request is kept for its idempotency key.
	KeyRetention time.Duration
	// QueueLimit is the maximum number of queued requests at one instance.
	QueueLimit int
	// HeldBody is the maximum number of bytes of a request body that are buffered for
	// retries.
	HeldBody int
	// CrossRegionBytes is the number of bytes per second that one instance may send
	// to targets in other regions.
	CrossRegionBytes int
	// TailWeight, from 0 to 1, is the weight of tail latency. The higher it is, the
	// larger the share of slots that callers with a backlog leave free for others.
	TailWeight float64
}
