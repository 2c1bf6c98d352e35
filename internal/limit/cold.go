package limit

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// coldReserve is the share of the requests that a cold target may get in a second that no
	// permit uses. It is left for instances that don't know yet that the target is cold.
	coldReserve = 0.4
	// coldSpan is the time over which the requests to a cold target are counted.
	coldSpan = time.Second
)

// ColdBound is what a cold target may get in coldSpan from all instances together: a service's
// limit a second x Overage + Slack requests.
type ColdBound struct{ Overage, Slack float64 }

// ColdGrantor grants requests to cold targets, as one of several grantors that don't know of
// each other. It is safe for concurrent use.
type ColdGrantor struct {
	grantor  *Grantor
	shares   int
	bound    ColdBound
	validity time.Duration
}

// NewColdGrantor returns one of the given number of grantors. A grant may be used for the time
// validity.
func NewColdGrantor(shares int, bound ColdBound, validity time.Duration) *ColdGrantor {
	return &ColdGrantor{grantor: NewGrantor(shares), shares: max(shares, 1), bound: bound, validity: validity}
}

// Grant decides on one request to one of some cold targets that take perSecond requests a
// second each. Without a grant it returns when to ask again.
func (g *ColdGrantor) Grant(targets []model.TargetID, perSecond float64) (granted model.TargetID, retryAfter time.Duration) {
	rate := g.rate(perSecond)
	if rate < minGrantRate {
		return "", grantorTTL
	}
	for _, id := range targets {
		// A target that starts anew under its ID keeps its grants: instances may know it
		// by either start.
		grant := g.grantor.Grant(model.ProcessID(id), rate, time.Now())
		if grant.Granted {
			return id, 0
		}
		if retryAfter == 0 || grant.RetryAfter < retryAfter {
			retryAfter = grant.RetryAfter
		}
	}
	return "", retryAfter
}

// rate returns the grants a second of all grantors for one target. Each grants at most one at
// once, and what is granted within the validity before a span may be used in it.
func (g *ColdGrantor) rate(perSecond float64) float64 {
	allowed := (perSecond*g.bound.Overage + g.bound.Slack) * (1 - coldReserve)
	return min(perSecond, (allowed-float64(g.shares))/(coldSpan+g.validity).Seconds())
}
