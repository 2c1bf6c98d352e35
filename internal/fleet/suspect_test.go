package fleet

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

// TestConcurrentSuspicionsAreIdentical checks that suspicions published by several
// instances are identical, so that they are disseminated only once, and that any later
// fact of the suspected instance supersedes them.
func TestConcurrentSuspicionsAreIdentical(t *testing.T) {
	now := time.Date(2026, 12, 1, 9, 30, 0, 0, time.UTC)
	clock := func() time.Time { return now }
	suspect := Fact{Kind: FactMember, Key: "c", Origin: "c", Stamp: 40, Value: encode(MemberValue{State: MemberAlive})}
	suspicion := encode(MemberValue{State: MemberSuspect})
	replicas := make(map[model.InstanceID]*FactReplica)
	for _, id := range []model.InstanceID{"a", "b"} {
		replicas[id] = NewFactReplica(id, events.NewClock(clock), clock)
		replicas[id].Merge(suspect)
		now = now.Add(300 * time.Millisecond)
		replicas[id].Supersede(FactMember, "c", suspicion, tombstoneTTL)
	}
	fromA, _ := replicas["a"].Lookup(FactMember, "c")
	fromB, _ := replicas["b"].Lookup(FactMember, "c")
	if fromA.Stamp != fromB.Stamp || fromA.Origin != fromB.Origin || fromA.Expires != fromB.Expires {
		t.Errorf("the suspicions of two instances differ: %+v and %+v", fromA, fromB)
	}
	if replicas["b"].Merge(fromA) {
		t.Error("the suspicion of one instance superseded the identical one of another")
	}
	suspect.Stamp = fromA.Stamp + 1
	if !replicas["a"].Merge(suspect) {
		t.Error("the suspected instance can't refute")
	}
	replicas["b"].Supersede(FactMember, "unknown", suspicion, tombstoneTTL)
	if _, known := replicas["b"].Lookup(FactMember, "unknown"); known {
		t.Error("a suspicion of an unknown instance was stored")
	}
}
