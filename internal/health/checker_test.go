package health

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
)

// spent returns the bytes that all instances have paid for.
func (f *testFleet) spent() int {
	n := uint64(0)
	for _, in := range f.instances {
		bytes, _ := in.measuring.Usage()
		n += bytes
	}
	return int(n)
}

func TestProbesFollowTargetsNotInstances(t *testing.T) {
	const targets, minutes = 12, 5
	for _, instances := range []int{2, 6, 17} {
		inBubble(t, func(t *testing.T) {
			f := newTestFleet(t, instances, targets)
			time.Sleep(minutes * time.Minute)
			most := targets * checkersPerTarget * (minutes*60/int(idleCheckInterval/time.Second) + 1)
			if got := f.probes(); got > most || got < most*8/10 {
				t.Errorf("%d instances: %d probes, want about %d", instances, got, most)
			}
			t.Logf("%d instances, %d idle targets: %d probes in %d min", instances, targets, f.probes(), minutes)
		})
	}
}

func TestTargetsWithTrafficAreNotProbed(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 2)
		f.sendEach(t, model.Idempotent, 6000, 10*time.Millisecond)
		if got := f.probes(); got != 0 {
			t.Errorf("%d probes of targets that answer requests", got)
		}
	})
}

// monthEnd runs four minutes of load in which a target starts to reject, another
// drains and a third joins, and returns what was measured.
func monthEnd(t *testing.T, pause time.Duration) (requests, probes, bytes int) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 8)
		send := func() {
			for start := time.Now(); time.Since(start) < time.Minute; {
				f.sendEach(t, model.Idempotent, 1, pause)
			}
		}
		send()
		f.set(0, func(target *fakeTarget) { target.outcome = Shed })
		send()
		f.set(1, func(target *fakeTarget) { target.draining = true })
		send()
		f.list(9)
		send()
		for i := range 9 {
			requests += f.received(i)
		}
		probes, bytes = f.probes(), f.spent()
	})
	return requests, probes, bytes
}

// grown allows for the order in which loops that tick at the same instant run; it
// moves single probes. A cost that followed the load would be ten times as high.
func grown(got, before int) bool { return got*100 > before*105 }

func TestMeasuringDoesNotGrowWithLoad(t *testing.T) {
	quietRequests, quietProbes, quietBytes := monthEnd(t, 300*time.Millisecond)
	requests, probes, bytes := monthEnd(t, 30*time.Millisecond)
	t.Logf("1x: %d requests, %d probes, %d bytes; 10x: %d requests, %d probes, %d bytes",
		quietRequests, quietProbes, quietBytes, requests, probes, bytes)
	if requests < 9*quietRequests {
		t.Fatalf("the load rose from %d to %d requests only", quietRequests, requests)
	}
	if grown(probes, quietProbes) || grown(bytes, quietBytes) {
		t.Errorf("ten times the load raised probes from %d to %d or bytes from %d to %d", quietProbes, probes, quietBytes, bytes)
	}
	if budget := 6 * 4 * 60 * limit.DefaultControlBytesPerSecond; bytes > budget {
		t.Errorf("%d bytes spent, the budget is %d", bytes, budget)
	}
}

func TestFlappingTargetsStayWithinTheBudget(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 30)
		before := f.spent()
		start := time.Now()
		for i := range 3000 {
			outcome := []Outcome{Answered, Unreachable}[i/20%2]
			for n := range 30 {
				f.set(n, func(target *fakeTarget) { target.outcome = outcome })
			}
			f.sendEach(t, model.Idempotent, 1, 50*time.Millisecond)
		}
		seconds := int(time.Since(start).Seconds())
		burst := 5
		budget := 2 * (seconds + burst) * limit.DefaultControlBytesPerSecond
		if got := f.spent() - before; got > budget {
			t.Errorf("%d bytes in %d s, the budget is %d", got, seconds, budget)
		}
	})
}
