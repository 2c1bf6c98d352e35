package limit

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestGrantorsShareALimit checks that several grantors, asked without end, grant no more than
// the limit and one request for each in any time, and that they use it up.
func TestGrantorsShareALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grantorCount, perSecond, seconds = 3, 2.0, 60
		var grantors []*Grantor
		for range grantorCount {
			grantors = append(grantors, NewGrantor(grantorCount))
		}
		granted := 0
		for range seconds * 100 {
			for _, g := range grantors {
				if g.Grant("a", perSecond, time.Now()).Granted {
					granted++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		if granted > perSecond*seconds+grantorCount || granted < perSecond*seconds-grantorCount {
			t.Errorf("%d granted in %d s, limit %v a second", granted, seconds, perSecond)
		}
	})
}

func TestGrantorStartsEmptyAndSavesOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGrantor(1)
		if got := g.Grant("a", 2, time.Now()); got.Granted || got.RetryAfter != 500*time.Millisecond {
			t.Errorf("an unknown target: %+v", got)
		}
		time.Sleep(10 * time.Second)
		if !g.Grant("a", 2, time.Now()).Granted || g.Grant("a", 2, time.Now()).Granted {
			t.Error("not exactly one request is granted after a pause")
		}
		g.Grant("a", 0, time.Now())
		time.Sleep(9 * time.Second)
		if g.Grant("a", 0, time.Now()).Granted {
			t.Error("granted above the lowest rate")
		}
		time.Sleep(time.Second)
		if !g.Grant("a", 0, time.Now()).Granted {
			t.Error("a target that takes nothing is never asked again")
		}
	})
}

func TestWithdrawnLimitEndsWithALaterStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGrantor(1)
		stated := time.Now()
		time.Sleep(time.Second)
		g.Withdraw("a")
		if !g.Grant("a", 2, stated).Withdrawn {
			t.Error("an instance that knows the earlier statement does not learn that it was withdrawn")
		}
		time.Sleep(time.Second)
		if g.Grant("a", 2, time.Now()).Withdrawn {
			t.Error("a later statement counts as withdrawn")
		}
	})
}
