package schedule

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// kind is one kind of request of a burst.
type kind struct {
	name                         string
	priority                     int
	perSecond                    float64
	work, objective, deadline    time.Duration
	worth, lateWorth             float64
	asked, inTime, late, refused int
}

// Recorded shapes: what the sheets of two deployments say of services whose targets are
// shared, at several times the usual rate, on the number of slots of one failure domain.
func duesAndLedgers() []*kind {
	return []*kind{
		{name: "dues-payment", perSecond: 60, work: 170 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 1500 * time.Millisecond, worth: 4.6, lateWorth: 0.19},
		{name: "ledger-view", priority: 2, perSecond: 110, work: time.Second, objective: 5 * time.Second, deadline: 8 * time.Second, worth: 0.41, lateWorth: 0.061},
	}
}

func bulletinsAndArchives() []*kind {
	return []*kind{
		{name: "warning-issue", perSecond: 150, work: 140 * time.Millisecond, objective: 400 * time.Millisecond, deadline: 1200 * time.Millisecond, worth: 3, lateWorth: 0.3},
		{name: "archive-read", priority: 2, perSecond: 120, work: 760 * time.Millisecond, objective: 2 * time.Second, deadline: 6 * time.Second, worth: 1, lateWorth: 0.1},
	}
}

// burst plays requests of several kinds at many instances that share targets.
type burst struct {
	mu      sync.Mutex
	kinds   []*kind
	running []int
	rand    *rand.Rand
}

const (
	burstInstances = 12
	burstTargets   = 16
	burstSlots     = 6
	burstLength    = 15 * time.Second
	// burstLooks is the number of targets that a request looks at.
	burstLooks = 8
)

// play runs the burst in virtual time: the kinds but the first ask only in its middle two
// thirds. Each request calls place, which returns when the request has a slot or is refused.
func (b *burst) play(place func(instance int, k *kind, receivedAt time.Time, take func(*Demand, int) bool) bool) {
	var done sync.WaitGroup
	for i, k := range b.kinds {
		done.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 7))
			start := time.Now()
			for time.Since(start) < burstLength {
				time.Sleep(time.Duration(r.ExpFloat64() / k.perSecond * float64(time.Second)))
				if at := time.Since(start); i > 0 && (at < burstLength/6 || at > burstLength*5/6) {
					continue
				}
				instance := r.IntN(burstInstances)
				done.Go(func() { b.request(instance, k, place) })
			}
		})
	}
	done.Wait()
}

func (b *burst) request(instance int, k *kind, place func(int, *kind, time.Time, func(*Demand, int) bool) bool) {
	receivedAt := time.Now()
	var target int
	placed := place(instance, k, receivedAt, func(demand *Demand, priority int) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		best, full := -1, 0
		for range burstLooks {
			i := b.rand.IntN(burstTargets)
			if b.running[i] == burstSlots {
				full++
			}
			reserve := 0
			if demand != nil {
				reserve = demand.Reserve(priority, burstSlots)
			}
			if burstSlots-b.running[i] > reserve && (best < 0 || b.running[i] < b.running[best]) {
				best = i
			}
		}
		if demand != nil {
			demand.Look(full, burstLooks)
		}
		if best < 0 {
			return false
		}
		target = best
		b.running[target]++
		return true
	})
	if placed {
		time.Sleep(k.work)
		b.mu.Lock()
		b.running[target]--
		b.mu.Unlock()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	k.asked++
	switch took := time.Since(receivedAt); {
	case !placed:
		k.refused++
	case took <= k.objective:
		k.inTime++
	case took <= k.deadline:
		k.late++
	}
}

// firstCome is what instances did before: take any free slot, look again every 6 ms for a
// fifth of the objective, then give up.
func firstCome(_ int, k *kind, receivedAt time.Time, take func(*Demand, int) bool) bool {
	for !take(nil, k.priority) {
		if time.Since(receivedAt) > k.objective/5 {
			return false
		}
		time.Sleep(minPoll)
	}
	return true
}

// scheduled places requests by a Scheduler for each instance.
func scheduled() func(int, *kind, time.Time, func(*Demand, int) bool) bool {
	var schedulers [burstInstances]Scheduler
	return func(i int, k *kind, receivedAt time.Time, take func(*Demand, int) bool) bool {
		s := &schedulers[i]
		job := Job{Priority: k.priority, Work: k.work, Objective: receivedAt.Add(k.objective), Bytes: 1000}
		return s.Run(context.Background(), job, func() Outcome {
			if take(&s.Demand, k.priority) {
				return Placed
			}
			return NoRoom
		}) == nil
	}
}

func (k *kind) earned() float64 { return float64(k.inTime)*k.worth + float64(k.late)*k.lateWorth }
func (k *kind) owed() float64   { return float64(k.asked) * k.worth }

// TestUrgentRequestsKeepTheirRoomInABurst plays bursts of patient requests that crowd out
// urgent ones, first come beside scheduled. Urgent requests have to be in time nearly always,
// and patient ones must not be starved: a kind served less than a quarter as often as all is.
func TestUrgentRequestsKeepTheirRoomInABurst(t *testing.T) {
	for name, shape := range map[string]func() []*kind{"dues and ledgers": duesAndLedgers, "bulletins and archives": bulletinsAndArchives} {
		synctest.Test(t, func(t *testing.T) {
			totals := make(map[string]float64)
			for _, way := range []string{"first come", "scheduled"} {
				b := &burst{kinds: shape(), running: make([]int, burstTargets), rand: rand.New(rand.NewPCG(1, 2))}
				if way == "first come" {
					b.play(firstCome)
				} else {
					b.play(scheduled())
				}
				asked, served := 0, 0
				for _, k := range b.kinds {
					t.Logf("%s, %s: %s asked %d, in time %d, late %d, refused %d, lost %.1f of %.1f", name, way, k.name, k.asked, k.inTime, k.late, k.refused, k.owed()-k.earned(), k.owed())
					totals[way] += k.earned()
					asked, served = asked+k.asked, served+k.inTime+k.late
				}
				if way == "first come" {
					continue
				}
				if urgent := b.kinds[0]; float64(urgent.inTime) < 0.95*float64(urgent.asked) {
					t.Errorf("%s: %d of %d urgent requests in time", name, urgent.inTime, urgent.asked)
				}
				patient := b.kinds[1]
				if rate, all := float64(patient.inTime+patient.late)/float64(patient.asked), float64(served)/float64(asked); rate < all/4 {
					t.Errorf("%s: patient requests are starved: %.2f served, %.2f of all", name, rate, all)
				}
			}
			if totals["scheduled"] <= totals["first come"] {
				t.Errorf("%s: earned %.1f scheduled, %.1f first come", name, totals["scheduled"], totals["first come"])
			}
		})
	}
}
