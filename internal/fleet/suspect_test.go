package fleet

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

// TestAccusersStateTheSame checks that an accusation spreads once, however many
// instances make it, and yields to any later word of the accused.
func TestAccusersStateTheSame(t *testing.T) {
	now := time.Date(2026, 12, 1, 9, 30, 0, 0, time.UTC)
	clock := func() time.Time { return now }
	accused := Fact{Kind: FactMember, Key: "c", Origin: "c", Stamp: 40, Value: encode(MemberValue{State: MemberAlive})}
	suspicion := encode(MemberValue{State: MemberSuspect})
	boards := make(map[model.InstanceID]*Facts)
	for _, id := range []model.InstanceID{"a", "b"} {
		boards[id] = NewFacts(id, events.NewClock(clock), clock)
		boards[id].Merge(accused)
		now = now.Add(300 * time.Millisecond)
		boards[id].Accuse(FactMember, "c", suspicion, tombstoneLife)
	}
	ofA, _ := boards["a"].Lookup(FactMember, "c")
	ofB, _ := boards["b"].Lookup(FactMember, "c")
	if ofA.Stamp != ofB.Stamp || ofA.Origin != ofB.Origin || ofA.Expires != ofB.Expires {
		t.Errorf("two accusers state %+v and %+v", ofA, ofB)
	}
	if boards["b"].Merge(ofA) {
		t.Error("the second accusation is news to an accuser")
	}
	accused.Stamp = ofA.Stamp + 1
	if !boards["a"].Merge(accused) {
		t.Error("the accused can't contradict")
	}
	boards["b"].Accuse(FactMember, "unknown", suspicion, tombstoneLife)
	if _, known := boards["b"].Lookup(FactMember, "unknown"); known {
		t.Error("an instance that never spoke was accused")
	}
}
