package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// minGrantRate is the lowest rate of grants a second for one target, so that a target
	// that takes nothing is asked now and then whether it still does.
	minGrantRate = 0.1
	// grantorTTL is how long an unused target is remembered.
	grantorTTL = time.Minute
)

// Grantor grants the requests that a target with a limit may get, as one of several
// grantors that don't know of each other. Each grants an equal share of the limit, and at
// most one request at once, so that no more than one request for each grantor exceeds the
// limit in any time. It grants nothing at once for a target that it doesn't know, as it may
// have been restarted. It is safe for concurrent use.
type Grantor struct {
	shares int

	mu      sync.Mutex
	targets map[model.ProcessID]*grants
}

// grants is the state of a Grantor for one target.
type grants struct {
	limiter *rate.Limiter
	usedAt  time.Time
	// withdrawnAt is when the target withdrew its limit; zero if it did not.
	withdrawnAt time.Time
}

// NewGrantor returns one of the given number of grantors.
func NewGrantor(shares int) *Grantor {
	return &Grantor{shares: max(shares, 1), targets: make(map[model.ProcessID]*grants)}
}

// Grant is the result of Grantor.Grant.
type Grant struct {
	Granted bool
	// RetryAfter is when to ask again, if the request is not granted.
	RetryAfter time.Duration
	// Withdrawn is set if the target has withdrawn its limit since it was stated.
	Withdrawn bool
}

// Grant decides on one request to a target that stated its limit, in requests a second, at
// the given time.
func (g *Grantor) Grant(target model.ProcessID, perSecond float64, statedAt time.Time) Grant {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	s := g.target(target, rate.Limit(max(perSecond, minGrantRate)/float64(g.shares)), now)
	if !s.withdrawnAt.IsZero() && !statedAt.After(s.withdrawnAt) {
		return Grant{Withdrawn: true}
	}
	s.withdrawnAt = time.Time{}
	reservation := s.limiter.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return Grant{Granted: true}
	}
	reservation.CancelAt(now)
	return Grant{RetryAfter: delay}
}

// Withdraw records that a target has withdrawn its limit.
func (g *Grantor) Withdraw(target model.ProcessID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.target(target, 0, now).withdrawnAt = now
}

// target returns the state of a target with the given rate; zero leaves it as it is. The
// caller must hold g.mu.
func (g *Grantor) target(id model.ProcessID, r rate.Limit, now time.Time) *grants {
	s := g.targets[id]
	if s == nil {
		g.removeUnused(now)
		s = &grants{limiter: rate.NewLimiter(r, 1)}
		s.limiter.AllowN(now, 1)
		g.targets[id] = s
	}
	s.usedAt = now
	if r > 0 && r != s.limiter.Limit() {
		s.limiter.SetLimitAt(now, r)
	}
	return s
}

func (g *Grantor) removeUnused(now time.Time) {
	for id, s := range g.targets {
		if now.Sub(s.usedAt) > grantorTTL {
			delete(g.targets, id)
		}
	}
}
