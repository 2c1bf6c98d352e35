package peersync

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
)

// TestQuotasBindAndDenyNothingBelow checks fleets without faults: hot organisations get their
// quota and no more, others everything.
func TestQuotasBindAndDenyNothingBelow(t *testing.T) {
	for _, instances := range fleetSizes {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const during = 20 * time.Second
				f := runQuotaFleet(t, instances, uint64(instances), during, nil)
				for _, d := range demands(instances) {
					denied, sent := f.exceeded[d.name]+f.unknown[d.name], len(f.sent[d.name])
					t.Logf("%s: %d sent, %d denied, at most %d in a window", d.name, sent, denied, f.mostInWindow(d.name))
					if d.load <= 1 && denied > 0 {
						t.Errorf("%s: %d of %d requests were denied within the quota", d.name, denied, denied+sent)
					}
					if least := 0.95 * d.quota.PerSecond * during.Seconds(); d.load > 1 && float64(sent) < least {
						t.Errorf("%s: %d requests sent, want %.0f", d.name, sent, least)
					}
				}
			})
		})
	}
}

// TestDenialsOfOneBurstCountOnce guards against grantors that are not asked for seconds since they
// denied the questions of one burst, which were asked before the first denial was known: what they
// grant meanwhile is missing, and requests within the quota are denied.
func TestDenialsOfOneBurstCountOnce(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			f := newQuotaFleet(t, 6, seed)
			d := demand{name: "at-one", quota: limit.Quota{Revision: 1, PerSecond: 20, Burst: 10}}
			var burst sync.WaitGroup
			for range 40 {
				burst.Go(func() { f.request(3, d, 0) })
			}
			burst.Wait()
			// The callers that were denied were told to come back by then.
			time.Sleep(1100 * time.Millisecond)
			before := f.exceeded[d.name]
			for range 40 {
				f.request(3, d, 0)
				time.Sleep(50 * time.Millisecond)
			}
			if denied := f.exceeded[d.name] - before; denied > 0 {
				t.Errorf("%d of 40 requests were denied at the rate of the quota", denied)
			}
		})
	}
}

// TestQuotasBindDuringFaults cuts instances off, restarts them and loses seeds, in random
// order: whatever happens, no window holds more than the tolerance allows.
func TestQuotasBindDuringFaults(t *testing.T) {
	for _, instances := range fleetSizes {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(instances, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runQuotaFleet(t, instances, seed, 30*time.Second, func(f *quotaFleet) {
						random := rand.New(rand.NewPCG(seed, 9))
						for range 40 {
							time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
							i := random.IntN(instances)
							if random.IntN(2) == 0 {
								i = random.IntN(3)
							}
							if random.IntN(3) == 0 {
								f.start(i)
								continue
							}
							f.mu.Lock()
							f.nodes[i].cut, f.nodes[i].silent = random.IntN(3) == 0, random.IntN(3) == 0
							f.mu.Unlock()
						}
					})
				})
			})
		}
	}
}

// TestQuotasOutlastALostSeed checks that organisations that use up to 0.6 of their quota go on
// without being denied while one of three seeds is lost.
func TestQuotasOutlastALostSeed(t *testing.T) {
	for _, instances := range fleetSizes {
		synctest.Test(t, func(t *testing.T) {
			f := newQuotaFleet(t, instances, 1)
			f.mu.Lock()
			f.nodes[1].silent = true
			f.mu.Unlock()
			d := demand{name: "usual", quota: limit.Quota{Revision: 1, PerSecond: 40, Burst: 40}, load: 0.6}
			var done sync.WaitGroup
			done.Add(1)
			f.play(d, 20*time.Second, done.Done)
			if denied := f.exceeded[d.name] + f.unknown[d.name]; denied > 0 {
				t.Errorf("%d instances: %d requests denied, %d sent", instances, denied, len(f.sent[d.name]))
			}
		})
	}
}

// TestLoweredQuotaBinds checks that a lower quota that only some instances know binds all: the
// grantors keep the latest.
func TestLoweredQuotaBinds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 17, 1)
		before := demand{name: "a", quota: limit.Quota{Revision: 1, PerSecond: 100, Burst: 100}, load: 2, at: []int{3, 4, 5, 6}}
		after := demand{name: "a", quota: limit.Quota{Revision: 2, PerSecond: 10, Burst: 10}, load: 20, at: []int{7, 8, 9}}
		var all sync.WaitGroup
		all.Add(2)
		go f.play(before, 20*time.Second, all.Done)
		time.Sleep(5 * time.Second)
		loweredAt := time.Now()
		go f.play(after, 15*time.Second, all.Done)
		all.Wait()
		f.sent["a"] = slices.DeleteFunc(f.sent["a"], func(at time.Time) bool { return at.Sub(loweredAt) < time.Second })
		f.checkWindows(after)
	})
}

// TestNearestGrantorIsAskedAlone checks that nothing passes between regions for an organisation
// within its quota, while another one is far beyond.
func TestNearestGrantorIsAskedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 17, 1)
		for _, node := range f.nodes {
			node.quotas.Nearest = func() string { return "2" }
		}
		quota := limit.Quota{Revision: 1, PerSecond: 40, Burst: 40}
		var all sync.WaitGroup
		all.Add(2)
		go f.play(demand{name: "calm", quota: quota, load: 0.1, at: []int{8}}, 30*time.Second, all.Done)
		go f.play(demand{name: "hot", quota: quota, load: 7, at: []int{3, 4, 5, 6}}, 30*time.Second, all.Done)
		all.Wait()
		if far := f.asked[[2]int{8, 0}] + f.asked[[2]int{8, 1}]; far > 0 || f.asked[[2]int{8, 2}] == 0 {
			t.Errorf("%d questions to far grantors", far)
		}
	})
}

// TestCutOffInstanceKeepsOnlyWhatItHolds checks that an instance that reaches no grantor stops
// at once and says that it doesn't know, as the quota may not be used up.
func TestCutOffInstanceKeepsOnlyWhatItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newQuotaFleet(t, 6, 1)
		quota := limit.Quota{Revision: 1, PerSecond: 1000, Burst: 1000}
		for range 20 {
			if permit, err := f.nodes[4].quotas.Acquire(t.Context(), "a", quota); err != nil || permit.Expired() {
				t.Fatal(err)
			}
		}
		f.nodes[4].cut = true
		time.Sleep(quotaTolerance.PermitLifetime())
		var unknown *limit.QuotaUnknownError
		if _, err := f.nodes[4].quotas.Acquire(t.Context(), "a", quota); !errors.As(err, &unknown) {
			t.Errorf("cut off: %v", err)
		}
		f.nodes[4].cut = false
		time.Sleep(2 * silentBackoff)
		if _, err := f.nodes[4].quotas.Acquire(t.Context(), "a", quota); err != nil {
			t.Errorf("back again: %v", err)
		}
	})
}
