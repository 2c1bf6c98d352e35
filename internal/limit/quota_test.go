package limit

import (
	"testing"
	"testing/synctest"
	"time"
)

var (
	testTolerance = Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	testQuota     = Quota{Revision: 1, PerSecond: 40, Burst: 40}
)

// testAllowed is what testTolerance allows of testQuota in a window.
const testAllowed = 284

// grantAll asks one by one and returns what was granted until the first denial.
func grantAll(g *QuotaGrantor, q Quota) (granted int, denial QuotaGrant) {
	for {
		if denial = g.Grant("a", q, 1); denial.Granted == 0 {
			return granted, denial
		}
		granted++
	}
}

// TestQuotaGrantorsStayWithinWindow lets grantors grant all they can, each of them in lives that
// follow each other at once, and checks every window of grants that are used at the end of
// their lifetime.
func TestQuotaGrantorsStayWithinWindow(t *testing.T) {
	for _, life := range []time.Duration{300 * time.Millisecond, 2 * time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			const step, steps = 50 * time.Millisecond, 1200
			grantors := make([]*QuotaGrantor, 3)
			var granted [steps]int
			for n := range steps {
				for i, g := range grantors {
					if g == nil || time.Since(g.startedAt) > life {
						g = NewQuotaGrantor(len(grantors), testTolerance)
						grantors[i] = g
					}
					count, denial := grantAll(g, testQuota)
					granted[n] += count
					if denial.AvailableAfter <= 0 || denial.RetryAfter <= 0 {
						t.Errorf("denied without a time: %+v", denial)
					}
				}
				time.Sleep(step)
			}
			window := int((testTolerance.Window + testTolerance.PermitLifetime()) / step)
			for first := range steps - window {
				sum := 0
				for _, count := range granted[first : first+window] {
					sum += count
				}
				if sum > testAllowed {
					t.Fatalf("lives of %v: %d granted in a window, allowed %d", life, sum, testAllowed)
				}
			}
		})
	}
}

// TestQuotaGrantorGrantsBurstAndRate checks that one of two grantors grants half of the whole
// burst at once, and then at least half of the rate.
func TestQuotaGrantorGrantsBurstAndRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewQuotaGrantor(2, testTolerance)
		time.Sleep(time.Minute)
		if first, _ := grantAll(g, testQuota); first < 20 {
			t.Errorf("%d requests granted at once, want 20", first)
		}
		for range 10 {
			time.Sleep(time.Second)
			if more, _ := grantAll(g, testQuota); more < 20 {
				t.Errorf("%d requests granted in a second, want 20", more)
			}
		}
	})
}

// TestUnusedQuotasAreForgotten checks that a grantor keeps no state of organisations that send
// nothing, and that they have their burst when they come back.
func TestUnusedQuotasAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewQuotaGrantor(1, testTolerance)
		time.Sleep(time.Minute)
		first, _ := grantAll(g, testQuota)
		time.Sleep(2 * time.Minute)
		g.Grant("b", testQuota, 1)
		if len(g.buckets) != 1 {
			t.Errorf("%d organisations are remembered", len(g.buckets))
		}
		if again, _ := grantAll(g, testQuota); again != first {
			t.Errorf("%d granted, want %d", again, first)
		}
	})
}
