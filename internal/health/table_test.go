package health

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

func TestRejectingTargetIsEjectedByEveryInstance(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 6)
		f.set(0, func(target *fakeTarget) { target.outcome = Shed })
		f.sendFromEach(t, model.Idempotent, 200, 10*time.Millisecond)
		f.wantState(t, 0, routing.Ejected)
		if got := f.received(0); got > 6*failureStreak {
			t.Errorf("the rejecting target received %d requests, want at most %d", got, 6*failureStreak)
		}
	})
}

func TestEjectionPropagatesWithoutRequestsByOtherInstances(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 2)
		f.set(0, func(target *fakeTarget) { target.outcome = ConnectionLost })
		f.instances[0].sendMany(t, model.Idempotent, 20)
		time.Sleep(propagationDelay + tickInterval)
		f.wantState(t, 0, routing.Ejected)
	})
}

func TestEjectedTargetReturnsThroughProbation(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 2)
		in := f.instances[0]
		f.set(0, func(target *fakeTarget) { target.outcome = ServerError; target.endpoint = ProbeFailed })
		in.sendMany(t, model.Idempotent, 20)
		f.wantState(t, 0, routing.Ejected)
		f.set(0, func(target *fakeTarget) { target.outcome = Answered })
		time.Sleep(minEjectionTime + tickInterval)
		f.wantState(t, 0, routing.Unproven)
		before := f.received(0)
		in.sendMany(t, model.NonIdempotent, 20)
		if f.received(0) != before {
			t.Error("a non-idempotent request went to an unproven target")
		}
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeOK })
		time.Sleep((provingProbes + 1) * probationCheckInterval)
		f.wantState(t, 0, routing.Proven)
	})
}

func TestConsecutiveEjectionsLastLonger(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 2)
		in := f.instances[0]
		f.set(0, func(target *fakeTarget) { target.outcome = Shed })
		ejections := 0
		previous := routing.Proven
		for start := time.Now(); time.Since(start) < time.Minute; {
			in.send(t, model.Idempotent)
			time.Sleep(10 * time.Millisecond)
			now := in.state(0)
			if now == routing.Ejected && previous != now {
				ejections++
			}
			previous = now
		}
		if ejections < 2 || ejections > 4 {
			t.Errorf("%d ejections in a minute, want 2 to 4", ejections)
		}
		if got := f.received(0); got > 40 {
			t.Errorf("a rejecting target received %d requests in a minute", got)
		}
	})
}

func TestHealthyProbesDoNotHideFailingRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 4)
		f.set(0, func(target *fakeTarget) { target.outcome = TimedOut; target.endpoint = ProbeOK })
		f.sendFromEach(t, model.NonIdempotent, 100, 5*time.Millisecond)
		f.wantState(t, 0, routing.Ejected)
	})
}

func TestFailedProbesDoNotOutweighAnsweredRequests(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 4)
		f.sendFromEach(t, model.Idempotent, 100, 5*time.Millisecond)
		for _, in := range f.instances {
			for range 3 * failedProbeStreak {
				in.table.ObserveProbe(targetID(0), ProbeFailed)
			}
		}
		f.wantState(t, 0, routing.Proven)
	})
}

func TestFailedProbesEjectIdleTarget(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 4)
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeFailed })
		time.Sleep(idleThreshold + (failedProbeStreak+1)*idleCheckInterval)
		f.wantState(t, 0, routing.Ejected)
		f.wantState(t, 1, routing.Proven)
	})
}

func TestEjectionStopsAtHalfTheTargets(t *testing.T) {
	for _, outcome := range []Outcome{Shed, ServerError, TimedOut} {
		inVirtualTime(t, func(t *testing.T) {
			f := newTestFleet(t, 3, 6)
			for i := range 6 {
				f.set(i, func(target *fakeTarget) { target.outcome = outcome })
			}
			f.sendFromEach(t, model.Idempotent, 200, 5*time.Millisecond)
			for n, in := range f.instances {
				ejected := 0
				for i := range 6 {
					if in.state(i) == routing.Ejected {
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

func TestEjectedTargetsServeIfAllAreUnreachable(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 3)
		for i := range 3 {
			f.set(i, func(target *fakeTarget) { target.outcome = Unreachable; target.endpoint = ProbeFailed })
		}
		f.sendFromEach(t, model.NonIdempotent, 20, 5*time.Millisecond)
		for i := range 3 {
			f.wantState(t, i, routing.Ejected)
		}
		before := f.received(0) + f.received(1) + f.received(2)
		f.sendFromEach(t, model.NonIdempotent, 1, 0)
		if after := f.received(0) + f.received(1) + f.received(2); after != before+2 {
			t.Errorf("%d of 2 requests reached an ejected target", after-before)
		}
	})
}

func TestColdStartGetsNoNonIdempotentRequestsUntilProven(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 2)
		f.listTargets(3)
		f.wantState(t, 2, routing.Unproven)
		f.set(2, func(target *fakeTarget) { target.endpoint = ProbeFailed })
		f.sendFromEach(t, model.NonIdempotent, 50, 10*time.Millisecond)
		if got := f.received(2); got != 0 {
			t.Errorf("an unproven target received %d non-idempotent requests", got)
		}
		f.set(2, func(target *fakeTarget) { target.endpoint = ProbeOK })
		time.Sleep(minEjectionTime + 2*drainCheckInterval + propagationDelay)
		f.wantState(t, 2, routing.Proven)
	})
}

func TestDrainPropagatesWithinThreeSeconds(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 17, 6)
		f.set(0, func(target *fakeTarget) { target.draining = true })
		for f.received(0) == 0 {
			f.instances[0].sendMany(t, model.Idempotent, 20)
		}
		time.Sleep(3 * time.Second)
		before := f.received(0)
		f.sendFromEach(t, model.Idempotent, 100, 100*time.Millisecond)
		if got := f.received(0) - before; got != 0 {
			t.Errorf("a draining target received %d requests after 3 s", got)
		}
		f.wantState(t, 0, routing.Draining)
	})
}

func TestAnnouncedDrainEndsOnlyAfterFailedProbe(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 2)
		f.set(0, func(target *fakeTarget) { target.draining = true; target.endpoint = ProbeOK })
		f.sendFromEach(t, model.Idempotent, 20, 2*time.Millisecond)
		time.Sleep(10 * probedDrainTTL)
		f.wantState(t, 0, routing.Draining)
		f.set(0, func(target *fakeTarget) { target.draining = false; target.endpoint = ProbeFailed })
		time.Sleep(2 * drainCheckInterval)
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeOK })
		time.Sleep((provingProbes+2)*drainCheckInterval + (provingProbes+2)*probationCheckInterval)
		f.wantState(t, 0, routing.Proven)
	})
}

func TestProbedDrainPropagates(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 3)
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeDraining })
		time.Sleep(idleThreshold + idleCheckInterval + propagationDelay)
		f.wantState(t, 0, routing.Draining)
		time.Sleep(5 * probedDrainTTL)
		f.wantState(t, 0, routing.Draining)
		f.set(0, func(target *fakeTarget) { target.endpoint = ProbeOK })
		time.Sleep(probedDrainTTL + 4*drainCheckInterval + provingProbes*probationCheckInterval + propagationDelay)
		f.wantState(t, 0, routing.Proven)
	})
}

func TestDrainingHalfTheTargetsKeepsTheOthersProven(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 6, 6)
		for i := range 3 {
			f.set(i, func(target *fakeTarget) { target.draining = true })
		}
		f.sendFromEach(t, model.Upload, 20, 10*time.Millisecond)
		time.Sleep(time.Second)
		before := f.received(0) + f.received(1) + f.received(2)
		f.sendFromEach(t, model.Upload, 100, 10*time.Millisecond)
		if got := f.received(0) + f.received(1) + f.received(2) - before; got != 0 {
			t.Errorf("draining targets received %d uploads", got)
		}
		for i := 3; i < 6; i++ {
			f.wantState(t, i, routing.Proven)
		}
	})
}

func TestOwnResponsesOutweighPeerFacts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 2, 2)
		connected, disconnected := f.instances[0], f.instances[1]
		connected.sendMany(t, model.Idempotent, 20)
		if f.received(0) == 0 || f.received(1) == 0 {
			t.Fatal("the connected instance did not use both targets")
		}
		for i, e := range disconnected.routing.Snapshot().Pool(testService).Endpoints {
			for range unreachableStreak {
				disconnected.table.Observe(Observation{Endpoint: e, Outcome: Unreachable})
			}
			time.Sleep(propagationDelay + tickInterval)
			if disconnected.state(i) != routing.Ejected || connected.state(i) != routing.Proven {
				t.Errorf("target %d: %s at the disconnected instance, want ejected; %s at the connected one, want proven", i, disconnected.state(i), connected.state(i))
			}
		}
	})
}

func TestObserveNeitherBlocksNorAllocates(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		f := newTestFleet(t, 1, 2)
		in := f.instances[0]
		e := in.routing.Snapshot().Pool(testService).Endpoints[0]
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
