package quarantine

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/model"
)

func newList(instance model.InstanceID) (*List, *fleet.FactReplica, *events.Ring) {
	clock := events.NewClock(time.Now)
	ring := events.NewRing(instance, clock, 64)
	facts := fleet.NewFactReplica(instance, clock, time.Now)
	return New(facts, ring), facts, ring
}

func crashOf(target model.TargetID) Crash {
	return Crash{Service: "odeslani", Target: target, Request: "r"}
}

func TestCrashOfSecondTargetQuarantinesUntilExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _, ring := newList("a")
		l.ReportCrash("f", crashOf("t1"))
		l.ReportCrash("f", crashOf("t1"))
		synctest.Wait()
		if !l.Empty() {
			t.Fatal("quarantined after crashes of one target")
		}
		l.ReportCrash("f", crashOf("t2"))
		synctest.Wait()
		if e, ok := l.Find("f"); !ok || e.First != "t1" || e.Second != "t2" {
			t.Fatalf("got %+v, %v", e, ok)
		}
		if _, ok := l.Find("g"); ok {
			t.Error("another request is quarantined")
		}
		time.Sleep(Duration + time.Second)
		if !l.Empty() {
			t.Error("the quarantine did not end")
		}
		recorded := ring.Snapshot()
		if len(recorded) != 2 || recorded[0].Kind != events.QuarantineAdded || recorded[1].Kind != events.QuarantineLifted {
			t.Errorf("events %v", recorded)
		}
	})
}

// Each instance saw one crash, and the facts arrive in either order. Both instances must
// quarantine the request, and lifting on one of them must lift on both.
func TestCrashesSeenByTwoInstancesAreCombined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, factsA, _ := newList("a")
		b, factsB, _ := newList("b")
		exchange := func(f fleet.Fact) {
			go factsA.Merge(f)
			go factsB.Merge(f)
		}
		a.ReportCrash("f", crashOf("t1"))
		b.ReportCrash("f", crashOf("t2"))
		for _, kind := range []fleet.FactKind{fleet.FactCrash, fleet.FactQuarantine} {
			for _, facts := range []*fleet.FactReplica{factsA, factsB} {
				facts.Each(kind, exchange)
			}
			synctest.Wait()
		}
		if a.Empty() || b.Empty() {
			t.Error("not quarantined on both instances")
		}
		b.Lift("f")
		factsB.Each(fleet.FactQuarantine, exchange)
		synctest.Wait()
		if !a.Empty() || !b.Empty() {
			t.Error("not lifted on both instances")
		}
	})
}

func TestRememberedCrashesAreBounded(t *testing.T) {
	l, _, _ := newList("a")
	for i := range 3 * maxCrashes {
		l.ReportCrash(strconv.Itoa(i), crashOf("t1"))
	}
	if len(l.crashes) > maxCrashes {
		t.Errorf("%d crashes are remembered", len(l.crashes))
	}
}
