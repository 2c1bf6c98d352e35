package peersync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// withdrawWithin is the time within which withdrawn keys must be out of use in these tests.
const withdrawWithin = 5 * time.Second

// confirmationFleet is a store, three relays and some instances that follow them, with random
// latencies of calls and messages.
type confirmationFleet struct {
	t     *testing.T
	store *relayStore
	net   *relayNetwork
	// maxLatency bounds the latencies.
	mu         sync.Mutex
	random     *rand.Rand
	maxLatency time.Duration
	// acknowledged are the times at which the store had acknowledged revisions of the routes.
	acknowledged map[model.Revision]time.Time
	// oldest are the greatest ages of a confirmation seen, by node.
	oldest map[string]time.Duration
}

// startConfirmationFleet starts a fleet whose confirmations are watched until ctx ends.
func startConfirmationFleet(ctx context.Context, t *testing.T, seed uint64) *confirmationFleet {
	f := &confirmationFleet{
		t: t, store: newRelayStore(3), net: &relayNetwork{nodes: make(map[string]*relayNode), withdrawWithin: withdrawWithin},
		random: rand.New(rand.NewPCG(seed, 5)), maxLatency: 25 * time.Millisecond,
		acknowledged: map[model.Revision]time.Time{1: time.Now()}, oldest: make(map[string]time.Duration),
	}
	f.store.responseDelay, f.net.delay = f.latency, f.latency
	seeds := []string{"seed-1", "seed-2", "seed-3"}
	for _, name := range seeds {
		f.net.start(ctx, f.store, name)
	}
	for i := range 4 {
		f.net.start(ctx, f.store, fmt.Sprint("node-", i), seeds...)
	}
	time.Sleep(10 * time.Second)
	go f.watch(ctx)
	return f
}

func (f *confirmationFleet) latency() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(f.maxLatency)))
}

func (f *confirmationFleet) setMaxLatency(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxLatency = d
}

// change writes the next revision of the routes.
func (f *confirmationFleet) change() {
	f.mu.Lock()
	next := model.Revision(len(f.acknowledged) + 1)
	f.mu.Unlock()
	f.store.put("routes", "main", fmt.Sprint(next))
	f.mu.Lock()
	f.acknowledged[next] = time.Now()
	f.mu.Unlock()
}

// watch checks, every 10 ms, that no node takes routes for the latest as of a time at which the
// store had acknowledged newer ones.
func (f *confirmationFleet) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		f.net.mu.Lock()
		for name, node := range f.net.nodes {
			confirmed := node.replica.Routes.Holder.Confirmed()
			revision := node.replica.Routes.Holder.Current().Revision
			f.mu.Lock()
			f.oldest[name] = max(f.oldest[name], confirmed.Age())
			if at, known := f.acknowledged[revision+1]; known && confirmed.At.After(at) {
				f.t.Errorf("%s: revision %d confirmed as of %v after revision %d was acknowledged", name, revision, confirmed.At.Sub(at), revision+1)
			}
			f.mu.Unlock()
		}
		f.net.mu.Unlock()
	}
}

// takeOldest returns the greatest age of a confirmation at a node and forgets all.
func (f *confirmationFleet) takeOldest(prefix string) (oldest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, age := range f.oldest {
		if strings.HasPrefix(name, prefix) {
			oldest = max(oldest, age)
		}
	}
	clear(f.oldest)
	return oldest
}

// TestConfirmationsNeverClaimMoreThanTheStoreSaid changes the routes while relays and nodes lose
// the store, relays fall silent and latencies rise, in random order.
func TestConfirmationsNeverClaimMoreThanTheStoreSaid(t *testing.T) {
	for seed := range uint64(12) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := startConfirmationFleet(ctx, t, seed)
			random := rand.New(rand.NewPCG(seed, 6))
			names := []string{"seed-1", "seed-2", "seed-3", "node-0", "node-1"}
			for range 60 {
				lost := make(map[string]bool)
				for _, name := range names {
					lost[name] = random.IntN(4) == 0
				}
				f.store.setDown(func(node, _ string) bool { return lost[node] })
				f.net.silence(names[random.IntN(3)], random.IntN(2) == 0)
				f.setMaxLatency(time.Duration(1+random.IntN(300)) * time.Millisecond)
				time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
				f.change()
				time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
}

// TestKeysStayConfirmedWhileThereIsAWayToTheStore checks the age of confirmations: on calm days
// the rest of withdrawWithin is enough for 0.6 of it without the store, and no single loss lets
// it run out.
func TestKeysStayConfirmedWhileThereIsAWayToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startConfirmationFleet(ctx, t, 1)
		f.takeOldest("")
		time.Sleep(time.Minute)
		if oldest := f.takeOldest(""); oldest > withdrawWithin*4/10 {
			t.Errorf("confirmations are up to %v old on a calm day", oldest)
		}
		losses := map[string]struct{ silent, withoutStore string }{
			"a silent relay":           {silent: "seed-1"},
			"silent relays":            {silent: "seed-"},
			"a relay without store":    {withoutStore: "seed-1"},
			"relays without store":     {withoutStore: "seed-"},
			"instances without store":  {withoutStore: "node-"},
			"one silent, one lost":     {silent: "seed-1", withoutStore: "seed-2"},
			"one silent, another lost": {silent: "seed-3", withoutStore: "seed-1"},
		}
		for name, loss := range losses {
			for _, seed := range []string{"seed-1", "seed-2", "seed-3"} {
				f.net.silence(seed, loss.silent != "" && strings.HasPrefix(seed, loss.silent))
			}
			f.store.setDown(func(node, _ string) bool {
				return loss.withoutStore != "" && strings.HasPrefix(node, loss.withoutStore)
			})
			time.Sleep(20 * time.Second)
			if oldest := f.takeOldest("node-"); oldest > withdrawWithin-100*time.Millisecond {
				t.Errorf("%s: confirmations are up to %v old", name, oldest)
			}
			f.store.setDown(func(string, string) bool { return false })
			for _, seed := range []string{"seed-1", "seed-2", "seed-3"} {
				f.net.silence(seed, false)
			}
			time.Sleep(20 * time.Second)
			f.takeOldest("")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}
