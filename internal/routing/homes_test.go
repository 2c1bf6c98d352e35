package routing

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

var ostravaA = model.Location{Region: "ostrava", FailureDomain: "ostrava-a"}

func requestAtHome(regions ...model.Region) ProbingRequest {
	req := previewRequest
	req.Homes = model.NewHomes(regions)
	return req
}

// TestHomesBindBeforeProbes checks that a target outside a request's homes is neither picked
// nor probed for it, whatever the load: no idle target elsewhere, no retry and no spill-over
// leaves the homes, nor does a region that is lost.
func TestHomesBindBeforeProbes(t *testing.T) {
	here, full := testTarget{"praha", prahaA, idle(2)}, testTarget{"praha", prahaA, busy(2, 2)}
	brno, ostrava := testTarget{"brno", brnoA, idle(2)}, testTarget{"ostrava", ostravaA, idle(2)}
	for name, c := range map[string]struct {
		targets []testTarget
		homes   []model.Region
		exclude model.TargetID
		want    model.TargetID
	}{
		"no homes": {[]testTarget{here, brno}, nil, "", "praha"},
		"the homes exclude the idle local target":  {[]testTarget{here, brno, ostrava}, []model.Region{"brno"}, "", "brno"},
		"a burst spills over into a home alone":    {[]testTarget{full, brno, ostrava}, []model.Region{"praha", "ostrava"}, "", "ostrava"},
		"a retry stays in the homes":               {[]testTarget{here, brno, ostrava}, []model.Region{"praha", "brno"}, "praha", "brno"},
		"a retry of a request that has tried all":  {[]testTarget{here, brno}, []model.Region{"praha"}, "praha", ""},
		"the region of the homes has lost targets": {[]testTarget{here, ostrava}, []model.Region{"brno"}, "", ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			p, prober, _ := newTestPicker(c.targets...)
			req := requestAtHome(c.homes...)
			if c.exclude != "" {
				req.Exclude = []model.TargetID{c.exclude}
			}
			got, err := p.Pick(t.Context(), req)
			var none *NoTargetError
			switch {
			case c.want == "" && !errors.As(err, &none):
				t.Errorf("%s: %v, %v, want *NoTargetError", name, got, err)
			case c.want != "" && (err != nil || got[0].Endpoint.Target.ID != c.want):
				t.Errorf("%s: %v, %v, want %s", name, got, err, c.want)
			}
			for _, target := range c.targets {
				if !req.Homes.Allows(target.at.Region) && prober.probed[target.id] > 0 {
					t.Errorf("%s: %s, not in the homes, was probed", name, target.id)
				}
			}
		})
	}
}

// TestHomesDontStarveBesideOthers plays requests with different homes that arrive in turn,
// faster than a probe round is outdated, while the local targets are full: none may be left
// without targets because it joined the round or the backoff of another.
func TestHomesDontStarveBesideOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _, _ := newTestPicker(testTarget{"praha", prahaA, busy(2, 2)}, testTarget{"brno", brnoA, busy(2, 2)}, testTarget{"ostrava", ostravaA, idle(2)})
		for range 20 {
			if _, err := p.Pick(t.Context(), requestAtHome("praha", "brno")); err != nil {
				t.Fatal(err)
			}
			for _, homes := range [][]model.Region{{"ostrava"}, {"ostrava", "praha"}} {
				if got := best(t, p, requestAtHome(homes...)); got.Endpoint.Target.ID != "ostrava" {
					t.Fatalf("homes %v: picked %s, want ostrava", homes, got.Endpoint.Target.ID)
				}
			}
			time.Sleep(time.Millisecond)
		}
	})
}

// TestLimitedTargetsOutsideHomesAreNotAskedFor checks that no permit is spent, and no time to
// come back told, for targets outside the homes.
func TestLimitedTargetsOutsideHomesAreNotAskedFor(t *testing.T) {
	p, _, _ := newTestPicker(testTarget{"limited", brnoA, idle(2)}, testTarget{"paused", brnoA, idle(2)})
	stateLimit(p, "limited", p.now())
	for _, e := range p.table.Snapshot().Pool("s").Endpoints {
		if e.Target.ID == "paused" {
			e.Load.RecordStatement(Statement{Pause: time.Minute}, false, p.now())
		}
	}
	_, err := p.Pick(t.Context(), requestAtHome("praha"))
	var none *NoTargetError
	if asked := p.permits.(*fakePermits).asked; !errors.As(err, &none) || len(asked) > 0 {
		t.Errorf("%v after asking for %v, want *NoTargetError without asking", err, asked)
	}
}
