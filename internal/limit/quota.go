package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// maxPermitLifetime and minPermitLifetime bound how long a permit may be used: long enough
	// to choose a target, and short beside the window.
	maxPermitLifetime = 100 * time.Millisecond
	minPermitLifetime = 20 * time.Millisecond
	// lifetimeShare is the share of the window that a permit may last.
	lifetimeShare = 0.02
	// arrivalSpread is by how much the times from a send to the arrival at the target may
	// differ: a new connection to another region takes some 50 ms.
	arrivalSpread = 50 * time.Millisecond
	// grantedShare is the share of what the tolerance allows that is granted. The rest is for
	// messages that are delayed further.
	grantedShare = 0.99
	// burstSlackShare is the share of the slack that adds to the burst, so that shares of small
	// quotas are whole requests.
	burstSlackShare = 0.5
	// maxQuotaRetry bounds the time after which a grantor advises to ask again: demand
	// changes within seconds.
	maxQuotaRetry = time.Second
	// backlogDecay is the time in which a denial counts less by two thirds as one of an asker
	// who will ask again.
	backlogDecay = 600 * time.Millisecond
	// quotaTTL is how long an organisation that asks for nothing is remembered beyond the time
	// in which its share fills up.
	quotaTTL = time.Minute
)

// Quota is how many requests of an organisation may be sent, over all instances together.
type Quota struct {
	// Revision is that of the routes that state the quota.
	Revision model.Revision
	// PerSecond is the sustained rate, and Burst how many requests may be sent beyond it in
	// a window.
	PerSecond, Burst float64
}

// Tolerance is by how much all instances together may exceed a quota.
type Tolerance struct {
	// Window is the time over which requests are counted.
	Window time.Duration
	// Overage is the share of what the quota allows in a window, and Slack the number of
	// requests, that may be sent beyond it.
	Overage, Slack float64
}

// PermitLifetime returns how long a permit may be used.
func (t Tolerance) PermitLifetime() time.Duration {
	return min(max(time.Duration(lifetimeShare*float64(t.Window)), minPermitLifetime), maxPermitLifetime)
}

// granted returns the rate and the burst that are granted together, so that what arrives in a
// window stays within the tolerance: the whole burst, and a rate that is above the quota's by
// the rest. Permits may be used at the end of their lifetime, so the time of a window is longer
// for grants than for arrivals.
func (t Tolerance) granted(q Quota) (perSecond, burst float64) {
	allowed := grantedShare * ((q.PerSecond*t.Window.Seconds()+q.Burst)*(1+t.Overage) + t.Slack)
	burst = q.Burst + burstSlackShare*t.Slack
	window := t.Window + t.PermitLifetime() + arrivalSpread
	return max((allowed-burst)/window.Seconds(), 0), burst
}

// QuotaPermit allows one request of an organisation to be sent until it expires. It is safe for
// concurrent use.
type QuotaPermit interface {
	// Expired reports whether the permit may no longer be used.
	Expired() bool
	// Release keeps the permit for another request of this instance, because its own will not
	// be sent. It must be called at most once, and not if the request may have been sent.
	Release()
}

// QuotaExceededError reports that an organisation has used up its quota.
type QuotaExceededError struct {
	Organisation model.OrganisationName
	// RetryAfter is when to ask again.
	RetryAfter time.Duration
}

func (e *QuotaExceededError) Error() string {
	return fmt.Sprintf("organisation %q has used up its quota", string(e.Organisation))
}

// QuotaUnknownError reports that not all grantors of a quota respond, and those that do grant
// nothing.
type QuotaUnknownError struct{ Organisation model.OrganisationName }

func (e *QuotaUnknownError) Error() string {
	return fmt.Sprintf("grantors of the quota of organisation %q don't respond", string(e.Organisation))
}

// QuotaGrantor grants requests of organisations, as one of several grantors that don't know of
// each other. Each grants an equal share of each quota, so that all together keep it whichever
// of them restart or are cut off. What is not used accumulates up to the share of the burst,
// from the beginning of the grantor: a process before it may have granted everything until then.
// It is safe for concurrent use.
type QuotaGrantor struct {
	tolerance Tolerance
	shares    float64
	startedAt time.Time

	mu      sync.Mutex
	buckets map[model.OrganisationName]*quotaBucket
}

// quotaBucket is the state of a QuotaGrantor for one organisation.
type quotaBucket struct {
	revision model.Revision
	// perSecond and capacity are this grantor's share.
	perSecond, capacity float64
	// level is the number of requests that could be granted at the time updatedAt.
	level     float64
	updatedAt time.Time
	// backlog estimates the number of denied askers that will ask again.
	backlog float64
}

// NewQuotaGrantor returns one of the given number of grantors.
func NewQuotaGrantor(shares int, t Tolerance) *QuotaGrantor {
	return &QuotaGrantor{tolerance: t, shares: float64(max(shares, 1)), startedAt: time.Now(), buckets: make(map[model.OrganisationName]*quotaBucket)}
}

// QuotaGrant is the result of QuotaGrantor.Grant.
type QuotaGrant struct {
	// Granted is the number of requests that are granted.
	Granted int
	// If there is none, AvailableAfter is when the grantor can grant one, and RetryAfter when
	// the asker's turn is if all that were denied ask again.
	AvailableAfter, RetryAfter time.Duration
}

// Grant grants up to n requests of an organisation by the latest quota that the grantor was
// told. From a share that is used up by more than half it grants one at once, so that none is
// held in stock elsewhere while others are denied.
func (g *QuotaGrantor) Grant(name model.OrganisationName, q Quota, n int) QuotaGrant {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucket(name, q)
	if b.level < b.capacity/2 {
		n = min(n, 1)
	}
	if granted := min(n, int(b.level)); granted > 0 {
		b.level -= float64(granted)
		return QuotaGrant{Granted: granted}
	}
	b.backlog++
	return QuotaGrant{AvailableAfter: b.timeUntil(1), RetryAfter: b.timeUntil(max(1, b.backlog))}
}

// bucket returns the bucket of an organisation as of now. The caller must hold g.mu.
func (g *QuotaGrantor) bucket(name model.OrganisationName, q Quota) *quotaBucket {
	now := time.Now()
	b := g.buckets[name]
	if b == nil {
		g.removeUnused(now)
		b = &quotaBucket{updatedAt: g.startedAt}
		g.set(b, q)
		g.buckets[name] = b
	}
	b.refill(now)
	if q.Revision > b.revision {
		g.set(b, q)
	}
	return b
}

// set puts this grantor's share of a quota in force.
func (g *QuotaGrantor) set(b *quotaBucket, q Quota) {
	perSecond, burst := g.tolerance.granted(q)
	b.revision = q.Revision
	b.perSecond, b.capacity = perSecond/g.shares, max(burst/g.shares, 1)
	b.level = min(b.level, b.capacity)
}

// timeUntil returns when the level is reached, in whole milliseconds and at most
// maxQuotaRetry.
func (b *quotaBucket) timeUntil(level float64) time.Duration {
	seconds := (level - b.level) / b.perSecond
	if !(seconds < maxQuotaRetry.Seconds()) {
		return maxQuotaRetry
	}
	return time.Duration(seconds*float64(time.Second)).Truncate(time.Millisecond) + time.Millisecond
}

// refill adds what has accumulated until now.
func (b *quotaBucket) refill(now time.Time) {
	passed := now.Sub(b.updatedAt)
	b.level = min(b.level+passed.Seconds()*b.perSecond, b.capacity)
	b.backlog *= math.Exp(-float64(passed) / float64(backlogDecay))
	b.updatedAt = now
}

// removeUnused forgets organisations whose share is full again: that of a new bucket is full
// too, as it counts from the beginning of the grantor. The caller must hold g.mu.
func (g *QuotaGrantor) removeUnused(now time.Time) {
	for name, b := range g.buckets {
		if now.Sub(b.updatedAt).Seconds() > b.capacity/b.perSecond+quotaTTL.Seconds() {
			delete(g.buckets, name)
		}
	}
}
