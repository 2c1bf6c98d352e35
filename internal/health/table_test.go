package health

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

func TestTargetThatRejectsEverythingIsEjectedEverywhere(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 6)
		f.set(0, func(target *fakeTarget) { target.outcome = Shed })
		f.sendEach(t, model.Idempotent, 200, 10*time.Millisecond)
		f.wantStanding(t, 0, routing.Ejected)
		if got := f.received(0); got > 6*failureStreak {
			t.Errorf("the rejecting target received %d requests, want at most %d", got, 6*failureStreak)
		}
	})
}

func TestEjectionHeardOfCostsTheOthersNoRequest(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 2)
		f.set(0, func(target *fakeTarget) { target.outcome = Broken })
		f.instances[0].sendMany(t, model.Idempotent, 20)
		time.Sleep(spreadDelay + tickInterval)
		f.wantStanding(t, 0, routing.Ejected)
	})
}

func TestEjectedTargetComesBackThroughProbation(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 2)
		in := f.instances[0]
		f.set(0, func(target *fakeTarget) { target.outcome = Erred; target.endpoint = ProbeFailed })
		in.sendMany(t, model.Idempotent, 20)
		f.wantStanding(t, 0, routing.Ejected)
		f.set(0, func(target *fakeTarget) { target.outcome = Answered })
		time.Sleep(minHold + tickInterval)
		f.wantStanding(t, 0, routing.Unproven)
		before := f.received(0)
		in.sendMany(t, model.NonIdempotent, 20)
		if f.received(0) != before {
			t.Error("a print batch went to a target on probation")
		}
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeOK })
		time.Sleep((provingProbes + 1) * probationCheckInterval)
		f.wantStanding(t, 0, routing.Proven)
	})
}

func TestEjectionsInARowLastLonger(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 2)
		in := f.instances[0]
		f.set(0, func(target *fakeTarget) { target.outcome = Shed })
		ejections := 0
		was := routing.Proven
		for start := time.Now(); time.Since(start) < time.Minute; {
			in.send(t, model.Idempotent)
			time.Sleep(10 * time.Millisecond)
			now := in.standing(0)
			if now == routing.Ejected && was != now {
				ejections++
			}
			was = now
		}
		if ejections < 2 || ejections > 4 {
			t.Errorf("%d ejections in a minute, want 2 to 4", ejections)
		}
		if got := f.received(0); got > 40 {
			t.Errorf("a target that rejects received %d requests in a minute", got)
		}
	})
}

func TestHealthyEndpointDoesNotHideFailingAnswers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 4)
		f.set(0, func(target *fakeTarget) { target.outcome = TimedOut; target.endpoint = ProbeOK })
		f.sendEach(t, model.NonIdempotent, 100, 5*time.Millisecond)
		f.wantStanding(t, 0, routing.Ejected)
	})
}

func TestUnhealthyEndpointDoesNotOutweighAnswers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 4)
		f.sendEach(t, model.Idempotent, 100, 5*time.Millisecond)
		for _, in := range f.instances {
			for range 3 * failedProbes {
				in.table.Probed(targetID(0), ProbeFailed)
			}
		}
		f.wantStanding(t, 0, routing.Proven)
	})
}

func TestUnhealthyEndpointEjectsTargetWithoutAnswers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 4)
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeFailed })
		time.Sleep(quietTime + (failedProbes+1)*idleCheckInterval)
		f.wantStanding(t, 0, routing.Ejected)
		f.wantStanding(t, 1, routing.Proven)
	})
}

func TestMostTargetsFailingEjectsNoMoreThanHalf(t *testing.T) {
	for _, outcome := range []Outcome{Shed, Erred, TimedOut} {
		inBubble(t, func(t *testing.T) {
			f := newTestFleet(t, 3, 6)
			for i := range 6 {
				f.set(i, func(target *fakeTarget) { target.outcome = outcome })
			}
			f.sendEach(t, model.Idempotent, 200, 5*time.Millisecond)
			for n, in := range f.instances {
				ejected := 0
				for i := range 6 {
					if in.standing(i) == routing.Ejected {
						ejected++
					}
				}
				if ejected > 3 {
					t.Errorf("instance %d ejected %d of 6 targets", n, ejected)
				}
			}
		})
	}
}

func TestAllTargetsGoneLeavesAFloor(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 3)
		for i := range 3 {
			f.set(i, func(target *fakeTarget) { target.outcome = Unreachable; target.endpoint = ProbeFailed })
		}
		f.sendEach(t, model.NonIdempotent, 20, 5*time.Millisecond)
		for i := range 3 {
			f.wantStanding(t, i, routing.Ejected)
		}
		before := f.received(0) + f.received(1) + f.received(2)
		f.sendEach(t, model.NonIdempotent, 1, 0)
		if after := f.received(0) + f.received(1) + f.received(2); after != before+2 {
			t.Errorf("%d of 2 requests reached an ejected target", after-before)
		}
	})
}

func TestColdStartGetsNoPrintBatchUntilItIsProven(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 2)
		f.list(3)
		f.wantStanding(t, 2, routing.Unproven)
		f.set(2, func(target *fakeTarget) { target.endpoint = ProbeFailed })
		f.sendEach(t, model.NonIdempotent, 50, 10*time.Millisecond)
		if got := f.received(2); got != 0 {
			t.Errorf("a cold target received %d print batches", got)
		}
		f.set(2, func(target *fakeTarget) { target.endpoint = ProbeOK })
		time.Sleep(minHold + 2*drainCheckInterval + spreadDelay)
		f.wantStanding(t, 2, routing.Proven)
	})
}

func TestDrainReachesEveryInstanceWithinThreeSeconds(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 17, 6)
		f.set(0, func(target *fakeTarget) { target.draining = true })
		for f.received(0) == 0 {
			f.instances[0].sendMany(t, model.Idempotent, 20)
		}
		time.Sleep(3 * time.Second)
		before := f.received(0)
		f.sendEach(t, model.Idempotent, 100, 100*time.Millisecond)
		if got := f.received(0) - before; got != 0 {
			t.Errorf("a leaving target received %d requests after 3 s", got)
		}
		f.wantStanding(t, 0, routing.Draining)
	})
}

func TestDrainThatAnswersAnnouncedEndsOnlyAfterAStop(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 2)
		f.set(0, func(target *fakeTarget) { target.draining = true; target.endpoint = ProbeOK })
		f.sendEach(t, model.Idempotent, 20, 2*time.Millisecond)
		time.Sleep(10 * drainMemory)
		f.wantStanding(t, 0, routing.Draining)
		f.set(0, func(target *fakeTarget) { target.draining = false; target.endpoint = ProbeFailed })
		time.Sleep(2 * drainCheckInterval)
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeOK })
		time.Sleep((provingProbes+2)*drainCheckInterval + (provingProbes+2)*probationCheckInterval)
		f.wantStanding(t, 0, routing.Proven)
	})
}

func TestDrainSeenByAProbeReachesEveryInstance(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 3)
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeDraining })
		time.Sleep(quietTime + idleCheckInterval + spreadDelay)
		f.wantStanding(t, 0, routing.Draining)
		time.Sleep(5 * drainMemory)
		f.wantStanding(t, 0, routing.Draining)
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeOK })
		time.Sleep(drainMemory + 4*drainCheckInterval + provingProbes*probationCheckInterval + spreadDelay)
		f.wantStanding(t, 0, routing.Proven)
	})
}

func TestHalfTheTargetsDrainingAtOnceLeavesTheOthers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 6)
		for i := range 3 {
			f.set(i, func(target *fakeTarget) { target.draining = true })
		}
		f.sendEach(t, model.Upload, 20, 10*time.Millisecond)
		time.Sleep(time.Second)
		before := f.received(0) + f.received(1) + f.received(2)
		f.sendEach(t, model.Upload, 100, 10*time.Millisecond)
		if got := f.received(0) + f.received(1) + f.received(2) - before; got != 0 {
			t.Errorf("leaving targets received %d uploads", got)
		}
		for i := 3; i < 6; i++ {
			f.wantStanding(t, i, routing.Proven)
		}
	})
}

func TestOwnAnswersOutweighAPeersWord(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 2)
		sound, cut := f.instances[0], f.instances[1]
		sound.sendMany(t, model.Idempotent, 20)
		if f.received(0) == 0 || f.received(1) == 0 {
			t.Fatal("the sound instance did not use both targets")
		}
		for i, e := range cut.routing.Snapshot().Pool(letters).Endpoints {
			for range unreachableStreak {
				cut.table.Observe(Observation{Endpoint: e, Outcome: Unreachable})
			}
			time.Sleep(spreadDelay + tickInterval)
			if cut.standing(i) != routing.Ejected || sound.standing(i) != routing.Proven {
				t.Errorf("target %d: %s where it is cut off, %s where it answers", i, cut.standing(i), sound.standing(i))
			}
		}
	})
}

func TestObserveNeitherBlocksNorAllocates(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 2)
		in := f.instances[0]
		e := in.routing.Snapshot().Pool(letters).Endpoints[0]
		in.table.mu.Lock()
		defer in.table.mu.Unlock()
		for range 2 * pendingLength {
			in.table.Observe(Observation{Endpoint: e, Outcome: Shed})
		}
		if n := testing.AllocsPerRun(100, func() { in.table.Observe(Observation{Endpoint: e}) }); n != 0 {
			t.Errorf("Observe allocates %.0f times", n)
		}
	})
}
