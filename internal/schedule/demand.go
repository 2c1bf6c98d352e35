// Package schedule decides which requests of one service get the targets' slots while there
// are too few: by priority, by the time left and by the work that they need. An instance
// decides alone, from its own requests and from the load that targets report.
package schedule

import (
	"math"
	"sync"
	"time"
)

const (
	// demandHalfLife is the time after which a request counts half in the demand. It spans
	// some requests of each kind at an instance that gets a few per second.
	demandHalfLife = 5 * time.Second
	// maxReservedShare is the largest share of a target's slots that is kept free of less
	// urgent requests. An urgent request looks at several targets, so that a slot at each is
	// a multiple of what it needs, and slots kept in vain cost the others more.
	maxReservedShare = 0.25
	// fairShare is the least share of its requests that a kind is served with, relative to
	// all requests. Callers count a kind as starved below a quarter; the rest is for the
	// requests that are already refused when it is noticed.
	fairShare = 0.4
	// shortShare is the share of full targets among those that were looked at from which room
	// counts as short: below it an urgent request finds a slot at one of several targets.
	shortShare = 0.2
	// lookWeight is the weight of one look in the mean share of full targets.
	lookWeight = 0.1
	// competingShare is the least share of the work that the kinds beside the largest must have
	// for an order among kinds to matter. Below it, slots kept free and turns cost the largest
	// kind more than the others can gain.
	competingShare = 0.1
	// minOffered is the decayed number of requests of a kind below which it isn't judged.
	minOffered = 4
)

// Demand measures the requests of one service by priority. It is safe for concurrent use.
type Demand struct {
	mu         sync.Mutex
	byPriority map[int]*kindDemand
	decayedAt  time.Time
	// fullShare is the mean share of full targets in recent looks.
	fullShare float64
}

// kindDemand is what was asked and served lately at one priority. All figures decay.
type kindDemand struct {
	// work is the sum of the work of requests in slot-seconds.
	work float64
	// offered and served count requests.
	offered, served float64
}

// Offer counts a request.
func (d *Demand) Offer(priority int, work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kind(priority)
	k.work += work.Seconds()
	k.offered++
}

// Serve counts a request that got a slot.
func (d *Demand) Serve(priority int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kind(priority).served++
}

// Competes reports whether several kinds have a notable share of the work.
func (d *Demand) Competes() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var total, largest float64
	for _, k := range d.byPriority {
		total += k.work
		largest = max(largest, k.work)
	}
	return total-largest >= competingShare*total && total > largest
}

// Look counts a look at the loads of targets, of which some were full.
func (d *Demand) Look(full, seen int) {
	if seen == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fullShare += lookWeight * (float64(full)/float64(seen) - d.fullShare)
}

// Reserve returns how many of a target's slots a request must leave free: the share of the
// demand that is more urgent, up to maxReservedShare, and one at least. It is 0 without such
// demand, while room isn't short, and for a kind that is being starved.
func (d *Demand) Reserve(priority, slots int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := d.kind(priority)
	var urgent, total, offered, served float64
	for p, k := range d.byPriority {
		total += k.work
		offered += k.offered
		served += k.served
		if p < priority {
			urgent += k.work
		}
	}
	if urgent < minUrgentWork || d.fullShare < shortShare || own.isStarved(offered, served) {
		return 0
	}
	return max(1, int(float64(slots)*min(urgent/total, maxReservedShare)))
}

// minUrgentWork is the decayed work in slot-seconds below which more urgent demand has ceased.
const minUrgentWork = 0.01

// Starved reports whether requests of a priority are served too rarely in comparison with all.
func (d *Demand) Starved(priority int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var offered, served float64
	for _, k := range d.byPriority {
		offered += k.offered
		served += k.served
	}
	return d.kind(priority).isStarved(offered, served)
}

func (k *kindDemand) isStarved(offered, served float64) bool {
	return k.offered >= minOffered && k.served/k.offered < fairShare*served/offered
}

// kind returns the demand at a priority after it has decayed all. The caller must hold d.mu.
func (d *Demand) kind(priority int) *kindDemand {
	now := time.Now()
	factor := math.Exp2(-float64(now.Sub(d.decayedAt)) / float64(demandHalfLife))
	d.decayedAt = now
	for _, k := range d.byPriority {
		k.work, k.offered, k.served = k.work*factor, k.offered*factor, k.served*factor
	}
	if d.byPriority == nil {
		d.byPriority = make(map[int]*kindDemand)
	}
	k := d.byPriority[priority]
	if k == nil {
		k = new(kindDemand)
		d.byPriority[priority] = k
	}
	return k
}
