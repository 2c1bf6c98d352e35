package routing

import (
	"fmt"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// TestStatementsOutlastALapse guards against a target whose entry lapses and returns, as when it
// is cut off from the platform alone: the pause, the limit and the leaving that it stated still
// hold, unless its process is another one.
func TestStatementsOutlastALapse(t *testing.T) {
	stated := Statement{Limited: true, LimitPerSecond: 2, Pause: time.Hour, Leaving: true}
	for name, c := range map[string]struct {
		before, after int64
		kept          bool
	}{
		"the same process":  {5, 5, true},
		"a later process":   {5, 6, false},
		"unknown processes": {0, 0, false},
	} {
		table := NewTable(model.Location{})
		list := func(startMillis int64) []model.Target {
			return []model.Target{{ID: "t", Service: "s", Slots: 1, StartMillis: startMillis}}
		}
		statement := func() Statement {
			s, _ := table.Snapshot().Pool("s").Endpoints[0].Load.Statement()
			return s
		}
		table.SetTargets("s", list(c.before))
		table.Snapshot().Pool("s").Endpoints[0].Load.RecordStatement(stated, true, Monotonic())
		table.SetTargets("s", nil)
		table.SetTargets("s", list(c.after))
		if got := statement(); (got == stated) != c.kept {
			t.Errorf("%s: %+v", name, got)
		}
	}
}

// TestLapsedEntriesAreBounded guards against a leak where targets are replaced for long.
func TestLapsedEntriesAreBounded(t *testing.T) {
	var lapsed lapsedEntries
	for n := range 3 * maxLapsed {
		lapsed.put(&model.Target{ID: model.TargetID(fmt.Sprint(n)), StartMillis: 1}, new(entry))
	}
	if len(lapsed.byProcess) != maxLapsed || len(lapsed.order) != maxLapsed {
		t.Errorf("%d entries, %d in order", len(lapsed.byProcess), len(lapsed.order))
	}
	first, last := &model.Target{ID: "0", StartMillis: 1}, &model.Target{ID: model.TargetID(fmt.Sprint(3*maxLapsed - 1)), StartMillis: 1}
	if lapsed.take(first) != nil || lapsed.take(last) == nil || lapsed.take(last) != nil {
		t.Error("another entry than the oldest was dropped")
	}
}
