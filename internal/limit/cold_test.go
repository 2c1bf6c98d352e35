package limit

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// TestColdGrantsLeaveRoomForTheUnaware checks for many limits, bounds and numbers of grantors
// that what may be used in any second stays below the share of the bound that is granted.
func TestColdGrantsLeaveRoomForTheUnaware(t *testing.T) {
	const validity = 250 * time.Millisecond
	for _, shares := range []int{1, 3, 9} {
		for _, perSecond := range []float64{0, 0.1, 1, 3.7, 40, 1e6} {
			for _, bound := range []ColdBound{{1, 0}, {1.5, 8}, {3, 100}} {
				g := NewColdGrantor(shares, bound, validity)
				rate := g.rate(perSecond)
				if rate < minGrantRate {
					if id, _ := g.Grant([]model.TargetID{"a"}, perSecond); id != "" {
						t.Errorf("%d shares of %v, %v: granted though no request fits", shares, perSecond, bound)
					}
					continue
				}
				worst := float64(shares) + rate*(coldSpan+validity).Seconds()
				if allowed := (perSecond*bound.Overage + bound.Slack) * (1 - coldReserve); worst > allowed*1.000001 || rate > perSecond {
					t.Errorf("%d shares of %v, %v: up to %.2f in one second, want %.2f", shares, perSecond, bound, worst, allowed)
				}
			}
		}
	}
}
