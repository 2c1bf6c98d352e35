package routing

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// fakePermits grants the targets in granted, once each, and records which were asked for.
type fakePermits struct {
	granted []model.TargetID
	asked   []model.TargetID
	// cold are the cold targets that are granted, once each, and askedCold those asked for.
	cold, askedCold []model.TargetID
}

func (p *fakePermits) AcquireCold(_ context.Context, targets []*Endpoint, _ float64) (*ColdPermit, time.Duration) {
	for _, e := range targets {
		p.askedCold = append(p.askedCold, e.Target.ID)
	}
	for _, e := range targets {
		if i := slices.Index(p.cold, e.Target.ID); i >= 0 {
			p.cold = slices.Delete(p.cold, i, i+1)
			return &ColdPermit{Target: e.Target.ID, GrantedAt: time.Now()}, 0
		}
	}
	return nil, time.Second
}

func (p *fakePermits) Acquire(_ context.Context, e *Endpoint, _ PermitExtent) (bool, time.Duration) {
	p.asked = append(p.asked, e.Target.ID)
	if i := slices.Index(p.granted, e.Target.ID); i >= 0 {
		p.granted = slices.Delete(p.granted, i, i+1)
		return true, 0
	}
	return false, time.Second
}

// stateLimit makes a target of the picker's table state a limit at a reading of the clock.
func stateLimit(p *ProbingPicker, id model.TargetID, at time.Duration) {
	for _, e := range p.table.Snapshot().Pool("s").Endpoints {
		if e.Target.ID == id {
			e.Load.RecordStatement(Statement{Limited: true, LimitPerSecond: 2}, true, at)
		}
	}
}

// TestLimitedTargetsNeedPermits checks when targets with a limit are used: rarely while others
// have free slots, if no other is in time, and never without a permit.
func TestLimitedTargetsNeedPermits(t *testing.T) {
	idleTarget, busyTarget := testTarget{"idle", prahaA, idle(2)}, testTarget{"busy", prahaA, busy(2, 2)}
	limited, remote := testTarget{"limited", prahaB, idle(2)}, testTarget{"remote", brnoA, idle(2)}
	for name, c := range map[string]struct {
		targets []testTarget
		age     time.Duration
		granted []model.TargetID
		want    model.TargetID
		asked   int
	}{
		"an idle target is preferred":                           {[]testTarget{idleTarget, limited}, limitRecheck / 2, []model.TargetID{"limited"}, "idle", 0},
		"an old limit is checked":                               {[]testTarget{idleTarget, limited}, limitRecheck, []model.TargetID{"limited"}, "limited", 1},
		"an old limit is not checked without a permit":          {[]testTarget{idleTarget, limited}, limitRecheck, nil, "idle", 1},
		"an old limit of another region is not checked":         {[]testTarget{idleTarget, remote}, limitRecheck, []model.TargetID{"remote"}, "idle", 0},
		"a busy target makes way":                               {[]testTarget{busyTarget, limited}, 0, []model.TargetID{"limited"}, "limited", 1},
		"a busy target stays the best without a permit":         {[]testTarget{busyTarget, limited}, 0, nil, "busy", 1},
		"a limited target of another region is the last resort": {[]testTarget{busyTarget, limited, remote}, 0, []model.TargetID{"remote"}, "remote", 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			p, prober, _ := newTestPicker(c.targets...)
			permits := p.permits.(*fakePermits)
			permits.granted = c.granted
			stateLimit(p, "limited", p.now()-c.age)
			if len(c.targets) != 2 || c.targets[1].id == "remote" {
				stateLimit(p, "remote", p.now()-c.age)
			}
			if got := best(t, p, previewRequest).Endpoint.Target.ID; got != c.want || len(permits.asked) != c.asked {
				t.Errorf("%s: picked %s after asking for %v, want %s after %d", name, got, permits.asked, c.want, c.asked)
			}
			if c.want != "limited" && prober.probed["limited"] != 0 {
				t.Errorf("%s: the target was probed without a permit", name)
			}
		})
	}
}

func TestExhaustedLimitsTellWhenToReturn(t *testing.T) {
	p, prober, _ := newTestPicker(testTarget{"1", prahaA, idle(2)}, testTarget{"2", prahaB, idle(2)})
	stateLimit(p, "1", p.now())
	stateLimit(p, "2", p.now())
	_, err := p.Pick(t.Context(), previewRequest)
	var limited *UnavailableError
	if !errors.As(err, &limited) || limited.RetryAfter != time.Second {
		t.Errorf("%v, want *UnavailableError", err)
	}
	if len(prober.probed) != 0 {
		t.Errorf("probed %v", prober.probed)
	}
}

// TestRestartedTargetHasNoLimit guards against a limit, or other knowledge, that outlasts a
// restart under the same ID.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	p, _, table := newTestPicker(testTarget{"1", prahaA, idle(2)})
	stateLimit(p, "1", p.now())
	table.SetTargets("s", []model.Target{{ID: "1", Service: "s", Location: prahaA, Slots: 2}})
	if !table.Snapshot().Pool("s").Endpoints[0].Load.isLimited() {
		t.Error("the limit does not outlast a change of the list")
	}
	table.SetTargets("s", []model.Target{{ID: "1", Service: "s", Location: prahaA, Slots: 2, StartMillis: 5}})
	if table.Snapshot().Pool("s").Endpoints[0].Load.isLimited() {
		t.Error("the limit outlasts a restart")
	}
}

// TestPausedTargetIsLeftAlone checks that a target that asked for a pause gets neither probes
// nor requests until its end, whatever it states meanwhile, and that callers learn of the end
// if no other target is left.
func TestPausedTargetIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, prober, _ := newTestPicker(testTarget{"1", prahaA, idle(2)}, testTarget{"2", prahaB, idle(2)})
		first, second := p.table.Snapshot().Pool("s").Endpoints[0], p.table.Snapshot().Pool("s").Endpoints[1]
		first.Load.RecordStatement(Statement{Pause: 3 * time.Second}, false, p.now())
		first.Load.RecordStatement(Statement{Pause: time.Second}, false, p.now())
		first.Load.RecordStatement(Statement{}, true, p.now())
		if got := best(t, p, previewRequest).Endpoint; got != second || prober.probed["1"] != 0 {
			t.Errorf("picked %s, probed %v", got.Target.ID, prober.probed)
		}
		second.Load.RecordStatement(Statement{Pause: 5 * time.Second}, false, p.now())
		_, err := p.Pick(t.Context(), previewRequest)
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) || unavailable.RetryAfter > 3*time.Second || unavailable.RetryAfter < 2900*time.Millisecond {
			t.Errorf("%v, want *UnavailableError for 3 s", err)
		}
		time.Sleep(3 * time.Second)
		if got := best(t, p, previewRequest).Endpoint; got != first {
			t.Errorf("picked %s after the pause", got.Target.ID)
		}
	})
}

// TestTargetThatLeavesReturnsWithANewProcess also checks that a target that leaves doesn't
// count as paused: callers aren't told to wait for it.
func TestTargetThatLeavesReturnsWithANewProcess(t *testing.T) {
	p, _, table := newTestPicker(testTarget{"1", prahaA, idle(2)})
	e := table.Snapshot().Pool("s").Endpoints[0]
	e.Load.RecordStatement(Statement{Leaving: true, Pause: time.Second}, true, p.now())
	e.Load.RecordStatement(Statement{}, true, p.now())
	_, err := p.Pick(t.Context(), previewRequest)
	var none *NoTargetError
	if !errors.As(err, &none) {
		t.Errorf("%v, want *NoTargetError", err)
	}
	table.SetTargets("s", []model.Target{{ID: "1", Service: "s", Location: prahaA, Slots: 2, StartMillis: 5}})
	best(t, p, previewRequest)
}
