package routing

import (
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

func evacuated(domains ...model.FailureDomain) map[model.FailureDomain]bool {
	set := make(map[model.FailureDomain]bool)
	for _, d := range domains {
		set[d] = true
	}
	return set
}

// TestEvacuatedTargetsGetNothing evacuates the nearest failure domain beside a burst: its
// targets, idle as they are, are neither probed nor chosen, not even by a pick that ranked
// them before, until the domain is taken back.
func TestEvacuatedTargetsGetNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, prober, table := newTestPicker(testTarget{"near", prahaA, idle(2)}, testTarget{"next", prahaB, busy(2, 2)}, testTarget{"far", brnoA, idle(2)})
		ranked := best(t, p, previewRequest)
		if ranked.Endpoint.Target.ID != "near" {
			t.Fatalf("picked %s, want near", ranked.Endpoint.Target.ID)
		}
		table.SetEvacuated(evacuated("praha-a"))
		if ranked.Endpoint.takesRequests(p.now()) {
			t.Error("a target that was ranked before the evacuation still takes the request")
		}
		probes := prober.probed["near"]
		for range 3 {
			if got := best(t, p, previewRequest).Endpoint.Target.ID; got != "far" {
				t.Errorf("picked %s, want far: the next domain is full", got)
			}
			time.Sleep(remoteBackoff)
		}
		if prober.probed["near"] != probes {
			t.Error("an evacuated target was probed")
		}
		table.SetTargets("s", []model.Target{{ID: "new", Service: "s", Location: prahaA, Slots: 2}, {ID: "next", Service: "s", Location: prahaB, Slots: 2}})
		if got := best(t, p, previewRequest).Endpoint.Target.ID; got != "next" {
			t.Errorf("picked %s, want next: new joined in the evacuated domain", got)
		}
		table.SetEvacuated(evacuated())
		prober.reports["new"] = idle(2)
		time.Sleep(2 * roundReuseTime)
		if got := best(t, p, previewRequest).Endpoint.Target.ID; got != "new" {
			t.Errorf("picked %s after the return, want new", got)
		}
	})
}
