package limit

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// maxPermitLifetime and minPermitLifetime bound how long a permit may be used: long enough
	// to choose a target, and short beside the window.
	maxPermitLifetime = 150 * time.Millisecond
	minPermitLifetime = 20 * time.Millisecond
	// lifetimeShare is the share of the window that a permit may last.
	lifetimeShare = 0.03
	// arrivalSpread is by how much the times from a send to the arrival at the target may
	// differ: a new connection to another region takes some 50 ms.
	arrivalSpread = 100 * time.Millisecond
	// steadyShare is the part of the tolerance that is granted in a window. It makes up for
	// the longer window of the grantors, and for shares that aren't a whole number of requests.
	// The rest is for grantors that have just begun.
	steadyShare = 0.6
	// backlogDecay is the share of denials that still counts after a slot. Callers and instances
	// ask again after up to a second.
	backlogDecay = 0.85
	// manyAskers is the number of denied askers from which they are told their turns, instead
	// of all asking for the same request.
	manyAskers = 5
	// quotaSlots is the number of parts of a window in which grants are counted.
	quotaSlots = 50
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

// allowed returns how many requests may be sent in a window: the quota and a share of the
// tolerance.
func (t Tolerance) allowed(q Quota, share float64) float64 {
	return (q.PerSecond*t.Window.Seconds()+q.Burst)*(1+share*t.Overage) + share*t.Slack
}

// PermitLifetime returns how long a permit may be used.
func (t Tolerance) PermitLifetime() time.Duration {
	return min(max(time.Duration(lifetimeShare*float64(t.Window)), minPermitLifetime), maxPermitLifetime)
}

// grantedWindow returns the time over which grants are counted, so that requests that are sent
// at the end of their permits' lifetime stay within the window.
func (t Tolerance) grantedWindow() time.Duration {
	return t.Window + t.PermitLifetime() + arrivalSpread
}

// QuotaPermit allows one request of an organisation to be sent until it expires. It is safe for
// concurrent use.
type QuotaPermit interface {
	// Expired reports whether the permit may no longer be used.
	Expired() bool
	// Release gives the permit back because the request will not be sent. It must be called
	// at most once, and not if the request may have been sent.
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
// of them restart or are cut off. A grantor that has just begun doesn't know what the process
// before it granted, and has only a share of the tolerance until a window has passed. It is safe
// for concurrent use.
type QuotaGrantor struct {
	tolerance Tolerance
	shares    float64
	startedAt time.Time
	slot      time.Duration
	// life tells this grantor's lots from those of an earlier process.
	life uint32

	mu     sync.Mutex
	grants map[model.OrganisationName]*quotaGrants
}

// quotaGrants is the state of a QuotaGrantor for one organisation.
type quotaGrants struct {
	quota Quota
	// counts holds the grants of the latest slots, that of slot n at n modulo its length; newest
	// is the latest slot, and sum the sum of all.
	counts [quotaSlots + 1]int
	newest int64
	sum    int
	// backlog estimates the number of denied askers that will ask again: denials count less
	// with each slot that has passed.
	backlog float64
}

// NewQuotaGrantor returns one of the given number of grantors.
func NewQuotaGrantor(shares int, t Tolerance) *QuotaGrantor {
	return &QuotaGrantor{
		tolerance: t, shares: float64(max(shares, 1)), startedAt: time.Now(), slot: t.grantedWindow() / quotaSlots, life: rand.Uint32(),
		grants: make(map[model.OrganisationName]*quotaGrants),
	}
}

// Lot identifies the slot of a grantor in which it granted requests.
type Lot struct {
	Life uint32 `cbor:"1,keyasint,omitempty"`
	Slot int64  `cbor:"2,keyasint,omitempty"`
}

// QuotaGrant is the result of QuotaGrantor.Grant.
type QuotaGrant struct {
	// Granted is the number of requests that are granted, and Lot what Return needs to know
	// of them.
	Granted int
	Lot     Lot
	// If there is none, AvailableAfter is when to ask this grantor again, and RetryAfter when
	// the asker's turn is if all that were denied ask again.
	AvailableAfter, RetryAfter time.Duration
}

// Grant grants up to n requests of an organisation by the latest quota that the grantor was
// told. From a share that is used up by more than half it grants one at once, so that none is
// held in stock elsewhere while others are denied.
func (g *QuotaGrantor) Grant(name model.OrganisationName, q Quota, n int) QuotaGrant {
	g.mu.Lock()
	defer g.mu.Unlock()
	age := time.Since(g.startedAt)
	s := g.advance(name, int64(age/g.slot))
	if s == nil {
		s = &quotaGrants{quota: q, newest: int64(age / g.slot)}
		g.grants[name] = s
	}
	if q.Revision > s.quota.Revision {
		s.quota = q
	}
	limit := g.limit(s.quota, age)
	if s.sum*2 > limit {
		n = min(n, 1)
	}
	if granted := min(n, limit-s.sum); granted > 0 {
		s.counts[s.newest%int64(len(s.counts))] += granted
		s.sum += granted
		return QuotaGrant{Granted: granted, Lot: Lot{Life: g.life, Slot: s.newest}}
	}
	s.backlog++
	grant := QuotaGrant{AvailableAfter: g.timeUntil(s, limit, 1, age), RetryAfter: g.timeUntil(s, limit, int(s.backlog), age)}
	if s.backlog > manyAskers {
		grant.AvailableAfter = grant.RetryAfter
	}
	return grant
}

// limit returns how many requests of an organisation may be granted in a window, at an age of
// the grantor.
func (g *QuotaGrantor) limit(q Quota, age time.Duration) int {
	steady := g.tolerance.allowed(q, steadyShare) / g.shares
	window := g.tolerance.grantedWindow()
	if age > window+g.slot {
		return max(int(steady), 1)
	}
	spare := (g.tolerance.allowed(q, 1) - g.tolerance.allowed(q, steadyShare)) / g.shares
	return int(spare * min(float64(age)/float64(window), 1))
}

// timeUntil returns when n more requests can be granted, because as many as needed have left
// the window or because a new grantor's is complete.
func (g *QuotaGrantor) timeUntil(s *quotaGrants, limit, n int, age time.Duration) time.Duration {
	window := g.tolerance.grantedWindow() + g.slot
	if age <= window {
		return window - age + time.Millisecond
	}
	missing := s.sum + n - limit
	size := int64(len(s.counts))
	oldest := s.newest - size + 1
	for i := range size {
		if missing -= s.counts[max(oldest+i, 0)%size]; missing <= 0 && oldest+i >= 0 {
			return time.Duration(oldest+i+size)*g.slot - age + time.Millisecond
		}
	}
	return window
}

// Return takes back n requests of a lot that will not be sent.
func (g *QuotaGrantor) Return(name model.OrganisationName, n int, lot Lot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.advance(name, int64(time.Since(g.startedAt)/g.slot))
	if s == nil || lot.Life != g.life || n < 0 || lot.Slot < 0 || lot.Slot > s.newest || lot.Slot <= s.newest-int64(len(s.counts)) {
		return
	}
	count := &s.counts[lot.Slot%int64(len(s.counts))]
	taken := min(n, *count)
	*count -= taken
	s.sum -= taken
}

// advance forgets the grants that have left the window at a slot and returns the state of an
// organisation, or nil if there is none. Organisations without grants in the window are
// forgotten altogether. The caller must hold g.mu.
func (g *QuotaGrantor) advance(name model.OrganisationName, slot int64) *quotaGrants {
	s := g.grants[name]
	if s == nil {
		g.removeUnused(slot)
		return nil
	}
	s.advance(slot)
	return s
}

// advance forgets the grants that have left the window at a slot.
func (s *quotaGrants) advance(slot int64) {
	size := int64(len(s.counts))
	for range min(slot-s.newest, size) {
		s.newest++
		s.backlog *= backlogDecay
		s.sum -= s.counts[s.newest%size]
		s.counts[s.newest%size] = 0
	}
	s.newest = max(s.newest, slot)
}

// removeUnused forgets organisations that nothing was granted for in the window.
func (g *QuotaGrantor) removeUnused(slot int64) {
	for name, s := range g.grants {
		if s.advance(slot); s.sum == 0 {
			delete(g.grants, name)
		}
	}
}
