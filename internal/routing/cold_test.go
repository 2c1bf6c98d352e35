package routing

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// coldRequest is previewRequest to a service whose cold targets take 2 requests a second and
// are cold for 3 s.
func coldRequest() ProbingRequest {
	req := previewRequest
	req.Cold = ColdLimit{PerSecond: 2, Start: 3 * time.Second}
	return req
}

func (p *fakeProber) setCold(coldFor time.Duration, ids ...model.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range ids {
		p.coldFor[id] = coldFor
	}
}

// TestColdTargetsNeedPermits checks when targets that say that they are cold are used: only
// with a permit, and only if no warm one is in time.
func TestColdTargetsNeedPermits(t *testing.T) {
	for name, c := range map[string]struct {
		load    LoadReport
		granted []model.TargetID
		want    model.TargetID
	}{
		"a warm target is preferred":            {idle(2), []model.TargetID{"cold"}, "warm"},
		"a full target makes way":               {busy(2, 2), []model.TargetID{"cold"}, "cold"},
		"a full target stays without a permit":  {busy(2, 2), nil, "warm"},
		"a permit for a cold target far away":   {busy(2, 2), []model.TargetID{"far"}, "far"},
		"the permit of the region is preferred": {busy(2, 2), []model.TargetID{"far", "cold"}, "cold"},
	} {
		synctest.Test(t, func(t *testing.T) {
			p, prober, _ := newTestPicker(testTarget{"warm", prahaA, c.load}, testTarget{"cold", prahaB, idle(2)}, testTarget{"far", brnoA, idle(2)})
			prober.setCold(3*time.Second, "cold", "far")
			busyOnes := []model.TargetID{"cold", "far"}
			for _, e := range p.table.Snapshot().Pool("s").Endpoints {
				for _, id := range busyOnes {
					if e.Target.ID == id {
						e.RecordHealth(3*time.Second, p.now(), p.now())
					}
				}
			}
			p.permits.(*fakePermits).cold = c.granted
			got := best(t, p, coldRequest())
			if got.Endpoint.Target.ID != c.want || (got.ColdPermit != nil) != (c.want != "warm") {
				t.Errorf("%s: picked %s with permit %v, want %s", name, got.Endpoint.Target.ID, got.ColdPermit, c.want)
			}
			if c.granted == nil && prober.probed["cold"]+prober.probed["far"] > 0 {
				t.Errorf("%s: a cold target was probed without a permit", name)
			}
		})
	}
}

// TestServiceWithoutWarmTargetsTellsWhenToReturn restarts a whole service: all its targets are
// cold, and without a permit the caller is told at once when to come back.
func TestServiceWithoutWarmTargetsTellsWhenToReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, prober, _ := newTestPicker(testTarget{"1", prahaA, idle(2)}, testTarget{"2", prahaB, idle(2)})
		prober.setCold(3*time.Second, "1", "2")
		var unavailable *UnavailableError
		if _, err := p.Pick(t.Context(), coldRequest()); !errors.As(err, &unavailable) || unavailable.RetryAfter != time.Second {
			t.Errorf("%v, want *UnavailableError for 1s", err)
		}
		p.permits.(*fakePermits).cold = []model.TargetID{"2"}
		if got := best(t, p, coldRequest()); got.Endpoint.Target.ID != "2" {
			t.Errorf("picked %s, want the permitted 2", got.Endpoint.Target.ID)
		}
		prober.setCold(0, "1", "2")
		time.Sleep(3 * time.Second)
		if got := best(t, p, coldRequest()); got.ColdPermit != nil {
			t.Error("a permit was used after the targets had warmed up")
		}
	})
}

// TestBurstBesideADomainThatTurnsCold lets the targets of a failure domain turn cold at a
// moment of a burst, dark for the store: no pick made after a probe round that began later may
// give one of them without a permit.
func TestBurstBesideADomainThatTurnsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, prober, _ := newTestPicker(testTarget{"1", prahaA, idle(2)}, testTarget{"2", prahaA, idle(2)}, testTarget{"3", prahaB, busy(1, 2)})
		turnedCold := 0
		for i := range 200 {
			if i == 100 {
				prober.setCold(3*time.Second, "1", "2")
				time.Sleep(2 * roundReuseTime)
			}
			got := best(t, p, coldRequest())
			if i >= 100 && got.Endpoint.Target.ID != "3" {
				turnedCold++
			}
			time.Sleep(time.Millisecond)
		}
		if turnedCold > 0 {
			t.Errorf("%d requests to cold targets without a permit", turnedCold)
		}
	})
}

// TestOnlyFreshEvidenceOfWarmthCounts checks what a gateway may send on its own word: to a
// target that doesn't respond to its probe, or whose failure domain has returned from an
// evacuation, only what a health response of the last second allows.
func TestOnlyFreshEvidenceOfWarmthCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, prober, table := newTestPicker(testTarget{"1", prahaA, idle(2)})
		best(t, p, coldRequest())
		prober.setUnresponsive("1", true)
		time.Sleep(2 * roundReuseTime)
		if got := best(t, p, coldRequest()); got.Err == nil {
			t.Error("a silent target has a load report")
		}
		time.Sleep(warmEvidenceAge)
		var none *NoTargetError
		if _, err := p.Pick(t.Context(), coldRequest()); !errors.As(err, &none) {
			t.Errorf("%v, want *NoTargetError: nobody knows whether the target has restarted", err)
		}
		if _, err := p.Pick(t.Context(), previewRequest); err != nil {
			t.Errorf("%v for a service without a limit of cold targets", err)
		}
		prober.setUnresponsive("1", false)
		time.Sleep(probeTimeout)
		e := best(t, p, coldRequest()).Endpoint
		table.SetEvacuated(evacuated("praha-a"))
		table.SetEvacuated(evacuated())
		if e.IsKnownWarm(coldRequest().Cold, p.now()) {
			t.Error("what a target said before the evacuation counts after the return")
		}
	})
}

// TestLaterOfEntryAndHealthResponseCounts checks which statement tells whether a target is
// cold, and that the service's time to warm up bounds figures that are too large.
func TestLaterOfEntryAndHealthResponseCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := coldRequest().Cold
		now := func() time.Duration { return time.Hour + time.Since(time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)) }
		entry := func(left time.Duration) *Endpoint {
			e := &Endpoint{Load: new(Load)}
			e.Target.ColdKnownAt, e.Target.ColdEndsAt = time.Now(), time.Now().Add(left)
			return e
		}
		e := entry(2 * time.Second)
		if left := e.coldLeft(cold, now()); left != 2*time.Second {
			t.Errorf("cold for %v by the entry, want 2s", left)
		}
		time.Sleep(time.Second)
		e.RecordHealth(0, now(), now())
		if left := e.coldLeft(cold, now()); left != 0 || !e.IsKnownWarm(cold, now()) {
			t.Errorf("cold for %v though its later health response says that it is warm", left)
		}
		time.Sleep(time.Second)
		again := entry(2 * time.Second)
		again.Load = e.Load
		if left := again.coldLeft(cold, now()); left != 2*time.Second {
			t.Errorf("cold for %v though a later entry tells of a start 2s", left)
		}
		if left := entry(time.Hour).coldLeft(cold, now()); left != cold.Start {
			t.Errorf("cold for %v, want at most %v", left, cold.Start)
		}
	})
}

// TestPermitsThatAreHeldBackExpire also covers a clock that was set, as after a suspension.
func TestPermitsThatAreHeldBackExpire(t *testing.T) {
	for name, c := range map[string]struct {
		grantedAt time.Time
		valid     bool
	}{
		"just granted":             {time.Now(), true},
		"held back":                {time.Now().Add(-2 * ColdPermitValidity), false},
		"the clock went backwards": {time.Now().Add(time.Minute).Round(0), false},
	} {
		if permit := (&ColdPermit{GrantedAt: c.grantedAt}); permit.Valid() != c.valid {
			t.Errorf("%s: valid is %t", name, permit.Valid())
		}
	}
}
