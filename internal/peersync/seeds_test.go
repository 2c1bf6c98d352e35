package peersync

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// newTestSeeds returns seeds whose list stays.
func newTestSeeds(isSeed bool, others ...string) *Seeds {
	return NewSeeds(isSeed, others, nil, zap.NewNop())
}

func newColdShare(seeds *Seeds) *Share[*limit.ColdGrantor] {
	return NewShare(seeds, func(shares int) *limit.ColdGrantor {
		return limit.NewColdGrantor(shares, testColdBound, routing.ColdPermitValidity)
	})
}

// handOver runs the hand-over of grants on some instances.
func (f *quotaFleet) handOver(instances ...int) {
	for _, i := range instances {
		ctx, cancel := context.WithCancel(context.Background())
		f.nodes[i].stop = cancel
		go f.nodes[i].seeds.Run(ctx)
	}
}

// upTo returns a random duration below a limit.
func (f *quotaFleet) upTo(limit time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(limit)))
}

// relist puts a list of seeds in force on some instances, each a little later than the one before.
func (f *quotaFleet) relist(list []int, instances ...int) {
	for _, i := range instances {
		f.nodes[i].seeds.Replace(seedsOf(i, list))
		time.Sleep(f.upTo(600 * time.Millisecond))
	}
}

// restart starts instances in turn with a list of seeds.
func (f *quotaFleet) restart(list []int, instances ...int) {
	for _, i := range instances {
		f.nodes[i].stop()
		f.startWith(i, list)
		f.nodes[i].seeds.AwaitOthers()
		f.handOver(i)
		time.Sleep(500*time.Millisecond + f.upTo(2*time.Second))
	}
}

// freeze stops some instances for a time.
func (f *quotaFleet) freeze(frozen bool, instances ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range instances {
		f.nodes[i].frozen = frozen
		if frozen {
			f.nodes[i].stop()
		}
	}
}

func (f *quotaFleet) isFrozen(node *quotaNode) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return node.frozen
}

func (f *quotaFleet) stopHandOver() {
	for _, node := range f.nodes {
		if node.stop != nil {
			node.stop()
		}
	}
	time.Sleep(time.Minute)
}

// sentSince returns the number of requests of an organisation that were sent since a time.
func (f *quotaFleet) sentSince(d demand, since time.Time) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.sent[d.name] {
		if at.After(since) {
			n++
		}
	}
	return n
}

// TestQuotasFollowAReplacedList guards against quotas that nobody grants once the seeds of the
// start are gone, and against two sets of grantors after another list was put in force.
func TestQuotasFollowAReplacedList(t *testing.T) {
	before, after, oneOther := []int{0, 1, 2}, []int{3, 4, 5}, []int{0, 1, 3}
	all := []int{0, 1, 2, 3, 4, 5}
	hot := demand{name: "hot", quota: limit.Quota{Revision: 1, PerSecond: 40, Burst: 40}, load: 3}
	cases := map[string]struct {
		// at are the instances whose callers send.
		at     []int
		course func(f *quotaFleet)
		// served is the least share of the quota that is served for settled after the course.
		served float64
	}{
		"the seeds are lost for good": {after, func(f *quotaFleet) {
			f.freeze(true, before...)
			for _, i := range after {
				f.nodes[i].stop()
				f.start(i)
			}
			f.handOver(after...)
			time.Sleep(3 * time.Second)
			f.relist(after, after...)
			time.Sleep(takeoverSilence)
		}, 0.9},
		"all live": {all, func(f *quotaFleet) { f.relist(after, all...) }, 0.9},
		"the seeds get the list last": {all, func(f *quotaFleet) {
			f.relist(after, after...)
			time.Sleep(10 * time.Second)
			f.relist(after, before...)
		}, 0.9},
		"one seed is replaced on half of the instances": {all, func(f *quotaFleet) {
			f.relist(oneOther, after...)
			time.Sleep(15 * time.Second)
		}, 0.6},
		"one seed is replaced and doesn't know it": {all, func(f *quotaFleet) {
			f.relist(oneOther, 0, 1, 3, 4, 5)
			time.Sleep(15 * time.Second)
		}, 0.6},
		"frozen seeds wake up": {all, func(f *quotaFleet) {
			f.freeze(true, before...)
			time.Sleep(time.Second)
			f.relist(after, after...)
			time.Sleep(18*time.Second + f.upTo(2*time.Second))
			f.freeze(false, before...)
			f.handOver(before...)
			time.Sleep(10 * time.Second)
		}, 0.9},
		"a frozen seed wakes up, the others got the list": {all, func(f *quotaFleet) {
			f.freeze(true, 2)
			f.relist(oneOther, 0, 1, 3, 4, 5)
			time.Sleep(15 * time.Second)
			f.freeze(false, 2)
			f.handOver(2)
			time.Sleep(10 * time.Second)
		}, 0.9},
		"half of the instances restart with another list": {all, func(f *quotaFleet) {
			f.restart(oneOther, after...)
		}, 0.6},
		"all restart in turn with another list": {all, func(f *quotaFleet) {
			f.restart(oneOther, 3, 0, 4, 1, 5, 2)
			time.Sleep(2 * time.Second)
		}, 0.9},
		"all restart in turn": {all, func(f *quotaFleet) {
			f.restart(before, all...)
		}, 0.9},
		"the seeds restart at once": {all, func(f *quotaFleet) {
			f.freeze(true, before...)
			time.Sleep(time.Second)
			for _, i := range before {
				f.startWith(i, before)
				f.nodes[i].seeds.AwaitOthers()
			}
			f.handOver(before...)
		}, 0.9},
		"a seed is lost for good, another restarts": {all, func(f *quotaFleet) {
			f.freeze(true, 2)
			time.Sleep(time.Second)
			f.restart(before, 0)
			time.Sleep(seedStartWait)
		}, 0.6},
		"back to the first list": {all, func(f *quotaFleet) {
			f.relist(after, all...)
			time.Sleep(time.Second)
			f.relist(before, all...)
		}, 0.9},
	}
	for name, c := range cases {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playReplacedList(t, seed, hot, c.at, c.served, c.course) })
			})
		}
	}
}

// playReplacedList plays a demand of the callers of some instances beside a course of events, and
// checks what is served after it.
func playReplacedList(t *testing.T, seed uint64, d demand, at []int, served float64, course func(f *quotaFleet)) {
	const settled, measured = 3 * time.Second, 10 * time.Second
	f := newQuotaFleet(t, 6, seed)
	f.handOver(0, 1, 2, 3, 4, 5)
	stop := make(chan struct{})
	d.at = at
	go f.play(d, time.Minute, func() { close(stop) })
	time.Sleep(5*time.Second + f.upTo(2*time.Second))
	course(f)
	time.Sleep(settled)
	since := time.Now()
	time.Sleep(measured)
	sent, want := f.sentSince(d, since), served*d.quota.PerSecond*measured.Seconds()
	<-stop
	f.stopHandOver()
	f.checkWindows(d)
	t.Logf("%d sent in %v, at most %d in a window", sent, measured, f.mostInWindow(d.name))
	if float64(sent) < want {
		t.Errorf("%d requests sent in %v, want %.0f", sent, measured, want)
	}
}

// TestEmptyListOfSeedsIsIgnored checks that an instance doesn't grant the whole of each limit
// because its settings name no seed any longer.
func TestEmptyListOfSeedsIsIgnored(t *testing.T) {
	s := newTestSeeds(false, "0", "1")
	if s.Replace(false, nil) {
		t.Error("an empty list was put in force")
	}
	if tenure, grants := s.Tenure(); grants {
		t.Errorf("grants with %d shares", tenure.Shares)
	}
}

// TestPermitsFollowAReplacedList guards against targets with a limit, or cold ones, that get
// nothing once the seeds of the start are gone.
func TestPermitsFollowAReplacedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPermitFleet(7)
		ctx, cancel := context.WithCancel(t.Context())
		for _, lost := range f.seeds {
			f.setCut(lost, true)
		}
		list := []int{3, 4, 5}
		for _, i := range []int{3, 4, 5, 6} {
			node := f.nodes[fmt.Sprint(i)]
			go node.permits.Seeds.Run(ctx)
			node.permits.Seeds.Replace(seedsOf(i, list))
		}
		f.press("6", 10, takeoverSilence-time.Second)
		early := len(f.arrived)
		f.press("6", 10, 5*time.Second)
		before := len(f.arrived)
		f.press("6", 10, 10*time.Second)
		served := len(f.arrived) - before
		cancel()
		time.Sleep(time.Minute)
		if early > 0 {
			t.Errorf("%d requests were sent while the former grantors may still have granted", early)
		}
		if served < 90 {
			t.Errorf("%d requests were sent in 10 s once they could be granted again, want 90", served)
		}
	})
}

// TestMarksFollowAReplacedList guards against marks that no longer reach the other instances once
// the seeds of the start are gone.
func TestMarksFollowAReplacedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMarkFleet(t, 6, 1)
		time.Sleep(5 * time.Second)
		for _, lost := range f.seeds {
			f.setCut(lost, true)
		}
		for i := 3; i < 6; i++ {
			f.node(fmt.Sprint(i)).exchange.Seeds.Replace(seedsOf(i, []int{3, 4}))
		}
		time.Sleep(5 * time.Second)
		f.node("3").registry.ReportEnd(markedRequest, "a")
		f.node("4").registry.ReportEnd(markedRequest, "b")
		time.Sleep(contactTime)
		for i := 3; i < 6; i++ {
			if _, found := f.node(fmt.Sprint(i)).registry.Find(markedRequest); !found {
				t.Errorf("instance %d doesn't know the quarantined request", i)
			}
		}
		f.stop()
	})
}

// TestRelaysFollowAReplacedList guards against instances that read the store themselves, or follow
// each other, once the seeds of the start are gone.
func TestRelaysFollowAReplacedList(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		other := n.start(ctx, store, "other", "seed-1", "seed-2")
		time.Sleep(10 * time.Second)
		n.silence("seed-1", true)
		n.silence("seed-2", true)
		for _, relay := range []*relayNode{node, other} {
			relay.server = &RelayServer{Replica: relay.replica, Seeds: relay.client.Seeds}
			relay.replica.Current = func() bool { return relay.client.Seeds.Current().IsSeed() && !relay.breaker.Open() }
			relay.replica.Routes.OnChange, relay.replica.Targets.OnChange = relay.replica.NotifyChanged, relay.replica.NotifyChanged
		}
		node.client.Seeds.Replace(true, []string{"seed-1"})
		other.client.Seeds.Replace(false, []string{"node", "seed-1"})
		time.Sleep(10 * time.Second)
		if node.client.Relayed() || !other.client.Relayed() {
			t.Fatalf("the new seed follows a relay: %v; the other follows it: %v", node.client.Relayed(), other.client.Relayed())
		}
		store.takeCalls("other")
		time.Sleep(10 * time.Second)
		if lists, watches := store.takeCalls("other"); lists+watches > 0 {
			t.Errorf("the store got %d calls of an instance behind a relay", lists+watches)
		}
		node.client.Seeds.Replace(false, []string{"seed-1"})
		time.Sleep(10 * time.Second)
		if other.client.Relayed() {
			t.Error("an instance that is no seed relays changes")
		}
	})
}

// TestSeedThatRefusesIsAskedAgainSoon guards against seeds that aren't asked for a second since they
// weren't granting yet when they started.
func TestSeedThatRefusesIsAskedAgainSoon(t *testing.T) {
	now := time.Now()
	var a availability
	for n, want := range []time.Duration{minRefusedBackoff, 2 * minRefusedBackoff, 4 * minRefusedBackoff, 8 * minRefusedBackoff, 16 * minRefusedBackoff, silentBackoff, silentBackoff} {
		a.recordFailure(now, &peer.RefusedError{})
		if a.isSilent(now.Add(want)) || !a.isSilent(now.Add(want-time.Millisecond)) {
			t.Errorf("refusal %d: not asked for another time than %v", n, want)
		}
	}
	a.recordAnswer()
	a.recordFailure(now, &NotHolderError{})
	if a.isSilent(now.Add(minRefusedBackoff)) {
		t.Error("an answer doesn't end the longer pauses")
	}
	a.recordFailure(now, context.DeadlineExceeded)
	if !a.isSilent(now.Add(silentBackoff - time.Millisecond)) {
		t.Error("a seed that doesn't respond is asked at once")
	}
}
