package peersync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// coldFleet is a fleet of gateways that all want to send to one cold target, with three seeds.
type coldFleet struct {
	mu    sync.Mutex
	seeds map[string]*Share[*limit.ColdGrantor]
	// cut reports whether a gateway can't reach a seed.
	cut func(gateway int, seed string) bool
	// sent are the times at which requests were sent, of which granted were permitted.
	sent    []time.Time
	granted int
}

const (
	testColdPerSecond = 3.7
	testColdSeeds     = 3
)

var testColdBound = limit.ColdBound{Overage: 1.5, Slack: 8}

// coldLink implements Transport for one gateway.
type coldLink struct {
	fleet   *coldFleet
	gateway int
}

func (l coldLink) CallAddr(ctx context.Context, addr string, _ peer.Op, body, response any) (model.InstanceID, error) {
	l.fleet.mu.Lock()
	grantor, cut := l.fleet.seeds[addr], l.fleet.cut(l.gateway, addr)
	l.fleet.mu.Unlock()
	if cut || grantor == nil {
		<-ctx.Done()
		return "", ctx.Err()
	}
	time.Sleep(12 * time.Millisecond)
	raw, err := peer.Encode(body)
	if err != nil {
		return "", err
	}
	out, err := (&ColdPermitServer{Own: grantor}).HandleAcquire("asker", raw)
	if err != nil {
		return "", err
	}
	if raw, err = peer.Encode(out); err != nil {
		return "", err
	}
	time.Sleep(12 * time.Millisecond)
	return model.InstanceID(addr), peer.Decode(raw, response)
}

func (f *coldFleet) startSeed(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds[addr] = newColdShare(newTestSeeds(true, "other-1", "other-2"))
}

// press sends as many requests as it gets permits for until ctx ends, and holds some of them
// back.
func (f *coldFleet) press(ctx context.Context, gateway int, random *rand.Rand) {
	seeds := newTestSeeds(false, "seed-0", "seed-1", "seed-2")
	permits := &Permits{Transport: coldLink{f, gateway}, Seeds: seeds, OwnCold: newColdShare(seeds), Log: zap.NewNop()}
	target := []*routing.Endpoint{{Target: model.Target{ID: "cold"}, Load: new(routing.Load)}}
	for ctx.Err() == nil {
		permit, _ := permits.AcquireCold(ctx, target, testColdPerSecond)
		if permit != nil {
			f.mu.Lock()
			f.granted++
			f.mu.Unlock()
			time.Sleep(time.Duration(random.Int64N(int64(2 * routing.ColdPermitValidity))))
			if permit.Valid() {
				f.mu.Lock()
				f.sent = append(f.sent, time.Now())
				f.mu.Unlock()
			}
		}
		time.Sleep(time.Duration(1+random.Int64N(40)) * time.Millisecond)
	}
}

// worst returns the largest number of requests sent within one second.
func (f *coldFleet) worst() (worst int) {
	slices.SortFunc(f.sent, time.Time.Compare)
	first := 0
	for i := range f.sent {
		for f.sent[i].Sub(f.sent[first]) >= time.Second {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestFleetKeepsTheLimitOfAColdTarget presses with fleets of 17 and of 126 gateways against one
// cold target, of which a third is cut off, in which regions lose each other, or the seeds
// restart. All together may send limit x overage + slack requests in any second, less what is
// left for gateways that don't know yet; as long as seeds are reached, they send some.
func TestFleetKeepsTheLimitOfAColdTarget(t *testing.T) {
	const played = 20 * time.Second
	allowed := testColdPerSecond*testColdBound.Overage + testColdBound.Slack
	for name, c := range map[string]struct {
		cut func(gateway int, seed string) bool
		// restart is the time between two restarts of a seed, or 0.
		restart time.Duration
		least   float64
	}{
		"calm":                          {func(int, string) bool { return false }, 0, testColdPerSecond / 2},
		"a third is cut off":            {func(g int, _ string) bool { return g%3 == 0 }, 0, testColdPerSecond / 2},
		"regions lose each other":       {func(g int, seed string) bool { return seed != fmt.Sprint("seed-", g%3) }, 0, testColdPerSecond / 2},
		"two seeds are gone":            {func(_ int, seed string) bool { return seed != "seed-1" }, 0, testColdPerSecond / 6},
		"all seeds are gone":            {func(int, string) bool { return true }, 0, 0},
		"seeds restart again and again": {func(int, string) bool { return false }, 1300 * time.Millisecond, 0.1},
	} {
		for _, gateways := range []int{17, 126} {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), played)
				defer cancel()
				f := &coldFleet{seeds: make(map[string]*Share[*limit.ColdGrantor]), cut: c.cut}
				for i := range testColdSeeds {
					f.startSeed(fmt.Sprint("seed-", i))
				}
				var fleet sync.WaitGroup
				for g := range gateways {
					fleet.Go(func() { f.press(ctx, g, rand.New(rand.NewPCG(1, uint64(g)))) })
				}
				for i := 0; c.restart > 0 && ctx.Err() == nil; i++ {
					time.Sleep(c.restart)
					f.startSeed(fmt.Sprint("seed-", i%testColdSeeds))
				}
				fleet.Wait()
				if worst := float64(f.worst()); worst > allowed*0.6 {
					t.Errorf("%d gateways, %s: %.0f requests in one second, allowed are %.2f of %.2f", gateways, name, worst, allowed*0.6, allowed)
				}
				if granted := float64(f.granted) / played.Seconds(); granted < c.least {
					t.Errorf("%d gateways, %s: %.2f requests a second were permitted, want at least %.2f", gateways, name, granted, c.least)
				}
			})
		}
	}
}
