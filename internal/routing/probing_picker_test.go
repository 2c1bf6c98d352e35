package routing

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"redwingpoint.org/redwingpoint/internal/model"
)

// fakeProber answers probes from a table and counts them. A target without a report
// fails its probe; an unresponsive one doesn't answer.
type fakeProber struct {
	mu           sync.Mutex
	reports      map[model.TargetID]LoadReport
	unresponsive map[model.TargetID]bool
	probed       map[model.TargetID]int
	// coldFor is how long targets say that they are cold, by the clock now.
	coldFor map[model.TargetID]time.Duration
	now     Clock
}

var errBroken = errors.New("broken")

func (p *fakeProber) Probe(ctx context.Context, e *Endpoint, _ string) (LoadReport, error) {
	p.mu.Lock()
	p.probed[e.Target.ID]++
	report, ok := p.reports[e.Target.ID]
	unresponsive := p.unresponsive[e.Target.ID]
	coldFor, askedAt := p.coldFor[e.Target.ID], p.now()
	p.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return LoadReport{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	if !ok {
		return LoadReport{}, errBroken
	}
	e.RecordHealth(coldFor, askedAt, p.now())
	return report, nil
}

// setUnresponsive makes later probes of a target get no response, or one again.
func (p *fakeProber) setUnresponsive(id model.TargetID, unresponsive bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsive[id] = unresponsive
}

func idle(slots int) LoadReport { return LoadReport{Slots: slots, Pace: NormalPace, Healthy: true} }

func busy(running, slots int) LoadReport {
	return LoadReport{Running: running, Slots: slots, Pace: NormalPace, Healthy: true}
}

func paceOf(percent, slots int) LoadReport {
	return LoadReport{Slots: slots, Pace: percent, Healthy: true}
}

// testTarget is a target and the load that it reports.
type testTarget struct {
	id   model.TargetID
	at   model.Location
	load LoadReport
}

func newTestPicker(targets ...testTarget) (*ProbingPicker, *fakeProber, *Table) {
	prober := &fakeProber{reports: map[model.TargetID]LoadReport{}, unresponsive: map[model.TargetID]bool{}, probed: map[model.TargetID]int{}, coldFor: map[model.TargetID]time.Duration{}}
	table := NewInstanceTable("i", prahaA)
	var list []model.Target
	for _, t := range targets {
		list = append(list, model.Target{ID: t.id, Service: "s", Location: t.at, Slots: t.load.Slots})
		prober.reports[t.id] = t.load
	}
	table.SetTargets("s", list)
	base := time.Now()
	prober.now = func() time.Duration { return time.Hour + time.Since(base) }
	return NewProbingPicker(table, prober, prober.now, rate.NewLimiter(100, 100), new(fakePermits)), prober, table
}

var previewRequest = ProbingRequest{Service: "s", Work: Work{ServiceTime: 120 * time.Millisecond, TimeLeft: 300 * time.Millisecond, Bytes: 2200}}

func best(t *testing.T, p *ProbingPicker, req ProbingRequest) Candidate {
	t.Helper()
	candidates, err := p.Pick(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	return candidates[0]
}

func TestProbingPickerRanksByCurrentLoad(t *testing.T) {
	upload := previewRequest
	upload.Work.Bytes = 60_000
	for name, c := range map[string]struct {
		req     ProbingRequest
		targets []testTarget
		want    model.TargetID
	}{
		"an idle target": {previewRequest, []testTarget{{"1", prahaA, busy(1, 2)}, {"2", prahaB, idle(2)}}, "2"},
		"a highly loaded target rather than one at a quarter of its speed": {previewRequest,
			[]testTarget{{"1", prahaA, paceOf(400, 2)}, {"2", prahaB, busy(1, 2)}}, "2"},
		"the nearer of two equal targets": {previewRequest, []testTarget{{"1", prahaB, idle(2)}, {"2", prahaA, idle(2)}}, "2"},
		"the own failure domain for a large body": {upload,
			[]testTarget{{"1", prahaB, idle(2)}, {"2", prahaA, busy(1, 4)}}, "2"},
		"the own region although another region is idle": {previewRequest, []testTarget{{"1", brnoA, idle(2)}, {"2", prahaA, busy(1, 2)}}, "2"},
		"another region if the own one would be late": {previewRequest,
			[]testTarget{{"1", brnoA, idle(2)}, {"2", prahaA, paceOf(400, 2)}}, "1"},
		"not a target that reports itself unhealthy": {previewRequest,
			[]testTarget{{"1", prahaA, LoadReport{Slots: 2, Pace: 100}}, {"2", prahaB, busy(1, 2)}}, "2"},
	} {
		synctest.Test(t, func(t *testing.T) {
			p, _, _ := newTestPicker(c.targets...)
			if got := best(t, p, c.req).Endpoint.Target.ID; got != c.want {
				t.Errorf("%s: picked %s, want %s", name, got, c.want)
			}
		})
	}
}

func TestProbingPickerAvoidsFailingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _, table := newTestPicker(testTarget{"1", prahaA, idle(2)}, testTarget{"2", prahaB, idle(2)})
		for _, e := range table.Snapshot().Pool("s").Endpoints {
			if e.Target.ID == "1" {
				for range 3 {
					e.Load.Reliability.Observe(false, p.now())
				}
			}
		}
		if got := best(t, p, previewRequest); got.Endpoint.Target.ID != "2" {
			t.Errorf("picked the target that failed three times: %+v", got.Estimate)
		}
		time.Sleep(20 * time.Second)
		if got := best(t, p, previewRequest); got.Endpoint.Target.ID != "1" {
			t.Error("old failures still count")
		}
	})
}

func TestProbingPickerDoesNotWaitForUnresponsiveTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, prober, _ := newTestPicker(testTarget{"1", prahaA, idle(2)}, testTarget{"2", prahaB, busy(1, 2)})
		prober.unresponsive["1"] = true
		startedAt := time.Now()
		got := best(t, p, previewRequest)
		if took := time.Since(startedAt); got.Endpoint.Target.ID != "2" || took > localProbeWait {
			t.Errorf("picked %s after %v", got.Endpoint.Target.ID, took)
		}
		time.Sleep(probeTimeout)
	})
}

func TestConcurrentPicksShareProbesAndSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, prober, _ := newTestPicker(testTarget{"1", prahaA, idle(2)}, testTarget{"2", prahaA, idle(2)}, testTarget{"3", prahaA, idle(2)})
		picked := map[model.TargetID]int{}
		for range 3 {
			c := best(t, p, previewRequest)
			c.Endpoint.Load.BeginAt(p.now())
			picked[c.Endpoint.Target.ID]++
		}
		if len(picked) != 3 {
			t.Errorf("three concurrent requests went to %v, want three targets", picked)
		}
		for id, n := range prober.probed {
			if n != 1 {
				t.Errorf("target %s was probed %d times for concurrent picks, want 1", id, n)
			}
		}
		time.Sleep(2 * roundReuseTime)
		best(t, p, previewRequest)
		if prober.probed["1"] != 2 {
			t.Error("an outdated load report was reused")
		}
	})
}

func TestProbingPickerBacksOffFromOtherRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, prober, _ := newTestPicker(testTarget{"1", prahaA, busy(2, 2)}, testTarget{"2", brnoA, busy(2, 2)})
		for range 5 {
			best(t, p, previewRequest)
			time.Sleep(20 * time.Millisecond)
		}
		if prober.probed["2"] != 1 {
			t.Errorf("the other region was probed %d times within %v, want 1", prober.probed["2"], remoteBackoff)
		}
		time.Sleep(remoteBackoff)
		best(t, p, previewRequest)
		if prober.probed["2"] != 2 {
			t.Error("the other region was not probed again after the backoff")
		}
	})
}

func TestProbingPickerProbesStableSubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []testTarget
		for _, target := range manyTargets("s", 60) {
			targets = append(targets, testTarget{target.ID, prahaA, idle(2)})
		}
		p, prober, _ := newTestPicker(targets...)
		for range 10 {
			best(t, p, previewRequest)
			time.Sleep(20 * time.Millisecond)
		}
		if len(prober.probed) != maxPreferredProbes {
			t.Errorf("%d different targets were probed, want the same %d each time", len(prober.probed), maxPreferredProbes)
		}
	})
}

func TestProbingPickerSkipsTriedAndDrainingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _, table := newTestPicker(testTarget{"1", prahaA, idle(2)}, testTarget{"2", prahaB, idle(2)})
		req := previewRequest
		req.Exclude = []model.TargetID{"1"}
		if got := best(t, p, req); got.Endpoint.Target.ID != "2" {
			t.Error("an excluded target was picked")
		}
		table.SetTargets("s", []model.Target{{ID: "2", Service: "s", Location: prahaB, Slots: 2, Leaving: true}})
		var none *NoTargetError
		if _, err := p.Pick(context.Background(), previewRequest); !errors.As(err, &none) {
			t.Errorf("%v, want *NoTargetError", err)
		}
	})
}

func TestProbesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []testTarget
		for _, target := range manyTargets("s", 8) {
			targets = append(targets, testTarget{target.ID, prahaA, busy(2, 2)})
		}
		p, prober, _ := newTestPicker(targets...)
		const perSecond, burst = 100, 100
		spent, startedAt := 0, time.Now()
		for range 200 {
			best(t, p, previewRequest)
			again := previewRequest
			again.Repeated = true
			time.Sleep(25 * time.Millisecond)
			var none *ProbeBudgetError
			if _, err := p.Pick(context.Background(), again); errors.As(err, &none) {
				spent++
			}
			time.Sleep(25 * time.Millisecond)
		}
		total := 0
		for _, n := range prober.probed {
			total += n
		}
		seconds := time.Since(startedAt).Seconds()
		if float64(total) > seconds*perSecond+burst+minProbes || spent == 0 {
			t.Errorf("%d probes in %.1f s, %d repeated requests without probes; the budget is %d/s with a burst of %d", total, seconds, spent, perSecond, burst)
		}
	})
}

// TestStagesProbeFewTargetsWhileOneIsUndisturbed plays the load of a platform on which
// probes are dear: most picks have to do with three of them.
func TestStagesProbeFewTargetsWhileOneIsUndisturbed(t *testing.T) {
	for name, c := range map[string]struct {
		load       func(i int) LoadReport
		wantProbes int
	}{
		"all idle":           {func(int) LoadReport { return idle(6) }, firstStageProbes},
		"all slow":           {func(int) LoadReport { return paceOf(200, 6) }, maxPreferredProbes},
		"all without a slot": {func(int) LoadReport { return busy(6, 6) }, maxPreferredProbes},
	} {
		synctest.Test(t, func(t *testing.T) {
			var targets []testTarget
			for i := range maxPreferredProbes {
				targets = append(targets, testTarget{model.TargetID(string(rune('a' + i))), prahaA, c.load(i)})
			}
			p, prober, _ := newTestPicker(targets...)
			p.InStages = true
			best(t, p, previewRequest)
			total := 0
			for _, n := range prober.probed {
				total += n
			}
			if total != c.wantProbes {
				t.Errorf("%s: %d probes, want %d", name, total, c.wantProbes)
			}
		})
	}
}

func TestSecondStageFindsTheOnlyUndisturbedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := []testTarget{{"quick", prahaA, idle(6)}}
		for i := range maxPreferredProbes - 1 {
			targets = append(targets, testTarget{model.TargetID(string(rune('a' + i))), prahaA, paceOf(400, 6)})
		}
		p, _, _ := newTestPicker(targets...)
		p.InStages = true
		for range 20 {
			if got := best(t, p, previewRequest).Endpoint.Target.ID; got != "quick" {
				t.Fatalf("picked %s, want the target at its normal pace", got)
			}
			time.Sleep(time.Second)
		}
	})
}
