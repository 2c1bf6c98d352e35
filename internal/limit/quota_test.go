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

// grantAll asks one by one and returns what was granted until the first denial.
func grantAll(g *QuotaGrantor, q Quota) (granted int, denial QuotaGrant) {
	for {
		if denial = g.Grant("a", q, 1); denial.Granted == 0 {
			return granted, denial
		}
		granted++
	}
}

// TestQuotaGrantorDividesWindow checks one of two grantors: it grants half of the quota with
// most of the tolerance, at any time within a window, and says when the next one leaves it.
func TestQuotaGrantorDividesWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewQuotaGrantor(2, testTolerance)
		time.Sleep(time.Minute)
		first, _ := grantAll(g, testQuota)
		if first < 120 || first > 142 {
			t.Errorf("%d requests granted, want from the half of 240 to that of 284", first)
		}
		time.Sleep(2 * time.Second)
		more, denial := grantAll(g, testQuota)
		if more != 0 || denial.AvailableAfter < 3*time.Second || denial.AvailableAfter > 4*time.Second {
			t.Errorf("%d more granted, the next after %v", more, denial.AvailableAfter)
		}
		time.Sleep(denial.AvailableAfter)
		if again, _ := grantAll(g, testQuota); again != first {
			t.Errorf("%d granted after a window, want %d", again, first)
		}
	})
}

// TestQuotaGrantorThatBeganGrantsFromTolerance checks that the lives of a grantor that begins
// again and again grant no more than what the tolerance leaves beside a full window.
func TestQuotaGrantorThatBeganGrantsFromTolerance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewQuotaGrantor(1, testTolerance)
		time.Sleep(time.Minute)
		total, _ := grantAll(g, testQuota)
		for range 4 {
			g = NewQuotaGrantor(1, testTolerance)
			for range 12 {
				time.Sleep(100 * time.Millisecond)
				granted, denial := grantAll(g, testQuota)
				total += granted
				if denial.AvailableAfter <= 0 || denial.RetryAfter <= 0 {
					t.Errorf("denied without a time: %+v", denial)
				}
			}
		}
		if total > 284 {
			t.Errorf("%d granted in a window, allowed 284", total)
		}
	})
}

// TestReturnedPermitsAreGrantedAgain checks that those granted later still count until they
// leave the window.
func TestReturnedPermitsAreGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewQuotaGrantor(1, testTolerance)
		time.Sleep(time.Minute)
		lot := g.Grant("a", testQuota, 100).Lot
		time.Sleep(2 * time.Second)
		rest, _ := grantAll(g, testQuota)
		g.Return("a", 30, Lot{Life: lot.Life + 1, Slot: lot.Slot})
		if again, _ := grantAll(g, testQuota); again != 0 {
			t.Errorf("%d granted after 30 of another process were returned", again)
		}
		g.Return("a", 30, lot)
		if again, _ := grantAll(g, testQuota); again != 30 {
			t.Errorf("%d granted after 30 were returned", again)
		}
		time.Sleep(testTolerance.grantedWindow() - time.Second)
		if again, _ := grantAll(g, testQuota); again != 70 {
			t.Errorf("%d granted when the first 70 had left the window and %d had not", again, rest+30)
		}
	})
}
