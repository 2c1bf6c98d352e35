package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// TestInspectTellsWhyTargetsAreLeftOut has one target for each reason not to ask it, and checks
// that an inspection names it, ranks the others as a pick does and acquires no permit.
func TestInspectTellsWhyTargetsAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		brno := model.Location{Region: "brno", FailureDomain: "brno-a"}
		prahaB := model.Location{Region: "praha", FailureDomain: "praha-b"}
		p, prober, table := newTestPicker(
			testTarget{"idle", prahaA, idle(2)}, testTarget{"busy", prahaA, busy(1, 2)}, testTarget{"limited", prahaA, idle(2)},
			testTarget{"paused", prahaA, idle(2)}, testTarget{"cold", prahaA, idle(2)}, testTarget{"far", brno, idle(2)}, testTarget{"emptied", prahaB, idle(2)})
		table.SetEvacuated(map[model.FailureDomain]bool{"praha-b": true})
		stateLimit(p, "limited", p.now())
		for _, e := range table.Snapshot().Pool("s").Endpoints {
			switch e.Target.ID {
			case "paused":
				e.Load.RecordStatement(Statement{Pause: time.Minute}, false, p.now())
			case "cold":
				e.RecordHealth(time.Minute, p.now(), p.now())
			}
		}
		req := previewRequest
		req.Homes, req.Cold = model.NewHomes([]model.Region{"praha"}), ColdLimit{PerSecond: 5}
		found, err := p.Inspect(t.Context(), req)
		if err != nil || len(found.Candidates) != 2 || found.Candidates[0].Endpoint.Target.ID != "idle" {
			t.Fatalf("%+v, %v, want idle before busy", found.Candidates, err)
		}
		for id, want := range map[model.TargetID]Exclusion{"limited": LimitStated, "paused": TargetPaused, "cold": TargetCold, "far": OutsideHomes, "emptied": DomainEvacuated} {
			if list := found.Excluded[want]; len(list) != 1 || list[0].Target.ID != id {
				t.Errorf("%q: %d targets, want %s", want, len(list), id)
			}
			if prober.probed[id] > 0 {
				t.Errorf("%s was asked for its load", id)
			}
		}
		if permits := p.permits.(*fakePermits); len(permits.asked)+len(permits.askedCold) > 0 {
			t.Errorf("permits for %v and %v were asked for", permits.asked, permits.askedCold)
		}
	})
}
