package health

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
)

// spent returns the bytes that all instances have charged to their budgets.
func (f *testFleet) spent() int {
	n := uint64(0)
	for _, in := range f.instances {
		bytes, _ := in.controlBudget.Usage()
		n += bytes
	}
	return int(n)
}

func TestProbeCountDependsOnTargetsNotInstances(t *testing.T) {
	const targets, minutes = 12, 5
	for _, instances := range []int{2, 6, 17} {
		inVirtualTime(t, func(t *testing.T) {
			f := newTestFleet(t, instances, targets)
			time.Sleep(minutes * time.Minute)
			maxProbeCount := targets * checkersPerTarget * (minutes*60/int(idleCheckInterval/time.Second) + 1)
			if got := f.probes(); got > maxProbeCount || got < maxProbeCount*8/10 {
				t.Errorf("%d instances: %d probes, want about %d", instances, got, maxProbeCount)
			}
			t.Logf("%d instances, %d idle targets: %d probes in %d min", instances, targets, f.probes(), minutes)
		})
	}
}

func TestTargetsWithTrafficAreNotProbed(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 2)
		f.sendFromEach(t, model.Idempotent, 6000, 10*time.Millisecond)
		if got := f.probes(); got != 0 {
			t.Errorf("%d probes of targets that answer requests", got)
		}
	})
}

// runLoad applies four minutes of load, during which one target starts to reject
// requests, another one drains and a third one joins. It returns the requests, the
// probes and the bytes charged to the budgets.
func runLoad(t *testing.T, pause time.Duration) (requests, probes, bytes int) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 8)
		send := func() {
			for start := time.Now(); time.Since(start) < time.Minute; {
				f.sendFromEach(t, model.Idempotent, 1, pause)
			}
		}
		send()
		f.set(0, func(target *fakeTarget) { target.outcome = Shed })
		send()
		f.set(1, func(target *fakeTarget) { target.draining = true })
		send()
		f.listTargets(9)
		send()
		for i := range 9 {
			requests += f.received(i)
		}
		probes, bytes = f.probes(), f.spent()
	})
	return requests, probes, bytes
}

// exceeds reports whether got is more than 5% above before. The tolerance covers the
// execution order of loops that tick at the same instant, which moves single probes; a
// cost proportional to the load would be ten times as high.
func exceeds(got, before int) bool { return got*100 > before*105 }

func TestProbesAndFactsDoNotGrowWithLoad(t *testing.T) {
	baseRequests, baseProbes, baseBytes := runLoad(t, 300*time.Millisecond)
	requests, probes, bytes := runLoad(t, 30*time.Millisecond)
	t.Logf("1x: %d requests, %d probes, %d bytes; 10x: %d requests, %d probes, %d bytes",
		baseRequests, baseProbes, baseBytes, requests, probes, bytes)
	if requests < 9*baseRequests {
		t.Fatalf("the load rose from %d to %d requests, want nine times as many", baseRequests, requests)
	}
	if exceeds(probes, baseProbes) || exceeds(bytes, baseBytes) {
		t.Errorf("ten times the load raised probes from %d to %d or bytes from %d to %d", baseProbes, probes, baseBytes, bytes)
	}
	if budget := 6 * 4 * 60 * limit.DefaultControlBytesPerSecond; bytes > budget {
		t.Errorf("%d bytes spent, the budget is %d", bytes, budget)
	}
}

func TestFlappingTargetsStayWithinBudget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 30)
		before := f.spent()
		start := time.Now()
		for i := range 3000 {
			outcome := []Outcome{Answered, Unreachable}[i/20%2]
			for n := range 30 {
				f.set(n, func(target *fakeTarget) { target.outcome = outcome })
			}
			f.sendFromEach(t, model.Idempotent, 1, 50*time.Millisecond)
		}
		seconds := int(time.Since(start).Seconds())
		burst := 5
		budget := 2 * (seconds + burst) * limit.DefaultControlBytesPerSecond
		if got := f.spent() - before; got > budget {
			t.Errorf("%d bytes in %d s, the budget is %d", got, seconds, budget)
		}
	})
}
