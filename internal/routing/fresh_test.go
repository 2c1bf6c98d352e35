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

// loads is a prober that answers from a table.
type loads struct {
	mu      sync.Mutex
	reports map[model.TargetID]LoadReport
	silent  map[model.TargetID]bool
	asked   map[model.TargetID]int
}

var errBroken = errors.New("broken")

func (l *loads) Probe(ctx context.Context, e *Endpoint, _ string) (LoadReport, error) {
	l.mu.Lock()
	l.asked[e.Target.ID]++
	report, ok := l.reports[e.Target.ID]
	silent := l.silent[e.Target.ID]
	l.mu.Unlock()
	if silent {
		<-ctx.Done()
		return LoadReport{}, ctx.Err()
	}
	time.Sleep(time.Millisecond)
	if !ok {
		return LoadReport{}, errBroken
	}
	return report, nil
}

func idle(slots int) LoadReport { return LoadReport{Slots: slots, Pace: UsualPace, Healthy: true} }

func busy(running, slots int) LoadReport {
	return LoadReport{Running: running, Slots: slots, Pace: UsualPace, Healthy: true}
}

func paceOf(percent, slots int) LoadReport {
	return LoadReport{Slots: slots, Pace: percent, Healthy: true}
}

// listed is a target of the test with its load.
type listed struct {
	id   model.TargetID
	at   model.Location
	load LoadReport
}

func newFresh(targets ...listed) (*FreshPicker, *loads, *Table) {
	l := &loads{reports: map[model.TargetID]LoadReport{}, silent: map[model.TargetID]bool{}, asked: map[model.TargetID]int{}}
	table := NewInstanceTable("i", prahaA)
	var list []model.Target
	for _, t := range targets {
		list = append(list, model.Target{ID: t.id, Service: "s", Location: t.at, Slots: t.load.Slots})
		l.reports[t.id] = t.load
	}
	table.SetTargets("s", list)
	base := time.Now()
	return NewFreshPicker(table, l, func() time.Duration { return time.Hour + time.Since(base) }, rate.NewLimiter(100, 100)), l, table
}

var preview = FreshRequest{Service: "s", Work: Work{Typical: 120 * time.Millisecond, Left: 300 * time.Millisecond, Bytes: 2200}}

func best(t *testing.T, p *FreshPicker, req FreshRequest) Candidate {
	t.Helper()
	candidates, err := p.Pick(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	return candidates[0]
}

func TestFreshPickRanksByTheLoadOfThisMoment(t *testing.T) {
	upload := preview
	upload.Work.Bytes = 60_000
	for name, c := range map[string]struct {
		req     FreshRequest
		targets []listed
		want    model.TargetID
	}{
		"the idle one": {preview, []listed{{"1", prahaA, busy(1, 2)}, {"2", prahaB, idle(2)}}, "2"},
		"a crowded one before one of four times the pace": {preview,
			[]listed{{"1", prahaA, paceOf(400, 2)}, {"2", prahaB, busy(1, 2)}}, "2"},
		"the near one among equals": {preview, []listed{{"1", prahaB, idle(2)}, {"2", prahaA, idle(2)}}, "2"},
		"the own domain for a large body": {upload,
			[]listed{{"1", prahaB, idle(2)}, {"2", prahaA, busy(1, 4)}}, "2"},
		"the own region though another is idle": {preview, []listed{{"1", brnoA, idle(2)}, {"2", prahaA, busy(1, 2)}}, "2"},
		"another region if the own would be late": {preview,
			[]listed{{"1", brnoA, idle(2)}, {"2", prahaA, paceOf(400, 2)}}, "1"},
		"not one that calls itself unhealthy": {preview,
			[]listed{{"1", prahaA, LoadReport{Slots: 2, Pace: 100}}, {"2", prahaB, busy(1, 2)}}, "2"},
	} {
		synctest.Test(t, func(t *testing.T) {
			p, _, _ := newFresh(c.targets...)
			if got := best(t, p, c.req).Endpoint.Target.ID; got != c.want {
				t.Errorf("%s: picked %s, want %s", name, got, c.want)
			}
		})
	}
}

func TestFreshPickAvoidsTargetsThatFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _, table := newFresh(listed{"1", prahaA, idle(2)}, listed{"2", prahaB, idle(2)})
		for _, e := range table.Snapshot().Pool("s").Endpoints {
			if e.Target.ID == "1" {
				for range 3 {
					e.Load.Reliability.Observe(false, p.now())
				}
			}
		}
		if got := best(t, p, preview); got.Endpoint.Target.ID != "2" {
			t.Errorf("picked the one that has failed three times: %+v", got.Estimate)
		}
		time.Sleep(20 * time.Second)
		if got := best(t, p, preview); got.Endpoint.Target.ID != "1" {
			t.Error("old failures are never forgotten")
		}
	})
}

func TestFreshPickNeverWaitsForASilentTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, l, _ := newFresh(listed{"1", prahaA, idle(2)}, listed{"2", prahaB, busy(1, 2)})
		l.silent["1"] = true
		startedAt := time.Now()
		got := best(t, p, preview)
		if took := time.Since(startedAt); got.Endpoint.Target.ID != "2" || took > askNear {
			t.Errorf("picked %s after %v", got.Endpoint.Target.ID, took)
		}
		time.Sleep(probeTimeout)
	})
}

func TestRequestsThatArriveTogetherShareProbesAndSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, l, _ := newFresh(listed{"1", prahaA, idle(2)}, listed{"2", prahaA, idle(2)}, listed{"3", prahaA, idle(2)})
		picked := map[model.TargetID]int{}
		for range 3 {
			c := best(t, p, preview)
			c.Endpoint.Load.BeginAt(p.now())
			picked[c.Endpoint.Target.ID]++
		}
		if len(picked) != 3 {
			t.Errorf("three requests of one moment went to %v", picked)
		}
		for id, n := range l.asked {
			if n != 1 {
				t.Errorf("target %s was asked %d times in one moment", id, n)
			}
		}
		time.Sleep(2 * sharedFor)
		best(t, p, preview)
		if l.asked["1"] != 2 {
			t.Error("an old figure was used again")
		}
	})
}

func TestOtherRegionsAreLeftAloneAfterTheyHadNothingBetter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, l, _ := newFresh(listed{"1", prahaA, busy(2, 2)}, listed{"2", brnoA, busy(2, 2)})
		for range 5 {
			best(t, p, preview)
			time.Sleep(20 * time.Millisecond)
		}
		if l.asked["2"] != 1 {
			t.Errorf("another region was asked %d times within %v", l.asked["2"], farPause)
		}
		time.Sleep(farPause)
		best(t, p, preview)
		if l.asked["2"] != 2 {
			t.Error("another region is never asked again")
		}
	})
}

func TestOneInstanceAsksAStableSetOfManyTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []listed
		for _, target := range manyTargets("s", 60) {
			targets = append(targets, listed{target.ID, prahaA, idle(2)})
		}
		p, l, _ := newFresh(targets...)
		for range 10 {
			best(t, p, preview)
			time.Sleep(20 * time.Millisecond)
		}
		if len(l.asked) != maxAskedNear {
			t.Errorf("%d targets were asked, want the same %d each time", len(l.asked), maxAskedNear)
		}
	})
}

func TestFreshPickSkipsTriedAndLeavingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _, table := newFresh(listed{"1", prahaA, idle(2)}, listed{"2", prahaB, idle(2)})
		req := preview
		req.Exclude = []model.TargetID{"1"}
		if got := best(t, p, req); got.Endpoint.Target.ID != "2" {
			t.Error("a target was picked twice for one request")
		}
		table.SetTargets("s", []model.Target{{ID: "2", Service: "s", Location: prahaB, Slots: 2, Leaving: true}})
		var none *NoTargetError
		if _, err := p.Pick(context.Background(), preview); !errors.As(err, &none) {
			t.Errorf("%v, want *NoTargetError", err)
		}
	})
}

func TestProbesStayWithinTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var targets []listed
		for _, target := range manyTargets("s", 8) {
			targets = append(targets, listed{target.ID, prahaA, busy(2, 2)})
		}
		p, l, _ := newFresh(targets...)
		const perSecond, burst = 100, 100
		spent, startedAt := 0, time.Now()
		for range 200 {
			best(t, p, preview)
			again := preview
			again.Repeated = true
			time.Sleep(25 * time.Millisecond)
			var none *ProbesSpentError
			if _, err := p.Pick(context.Background(), again); errors.As(err, &none) {
				spent++
			}
			time.Sleep(25 * time.Millisecond)
		}
		total := 0
		for _, n := range l.asked {
			total += n
		}
		seconds := time.Since(startedAt).Seconds()
		if float64(total) > seconds*perSecond+burst+minAsked || spent == 0 {
			t.Errorf("%d probes in %.1f s, %d repeated requests without; the budget is %d/s and %d at once", total, seconds, spent, perSecond, burst)
		}
	})
}
