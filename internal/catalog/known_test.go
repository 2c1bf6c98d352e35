package catalog

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/route"
)

func newKnown() (*Known, *table) {
	targets, out := newTargets()
	return &Known{Routes: &Routes{Holder: route.NewHolder(), Observer: quiet{}}, Targets: targets}, out
}

func routesAt(revision model.Revision) route.Config {
	return route.Config{
		Revision: revision,
		Limits:   route.Limits{HeaderBytes: 1 << 14, IdleTimeout: 15 * time.Second},
		Rules: []*route.Rule{{Name: "r", Host: "h.example", Prefix: "/p/", Class: model.Upload, Objective: time.Second,
			Timeout: 2 * time.Second, MaxAttempts: 2, Priority: 1, Backends: []route.Backend{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}},
		Services: []route.Service{{Name: "a", HealthPath: "/health", MaxConnections: 240}, {Name: "b"}},
	}
}

// told returns a state as it arrives at a peer.
func told(t *testing.T, s State) State {
	t.Helper()
	raw, err := peer.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	var out State
	if err := peer.Decode(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestAnInstanceThatKnowsNothingLearnsAllFromAnother(t *testing.T) {
	knows, _ := newKnown()
	knows.Routes.put(routesAt(7))
	knows.Targets.Replace(Batch{AsOf: 40, Objects: []Object{object("1", 1, "a"), object("2", 2, "b")}}, settledLongAgo)
	fresh, out := newKnown()
	fresh.Adopt(told(t, knows.Beyond(fresh.Versions())))
	if !out.has("1") || !out.has("2") {
		t.Errorf("lists %v", out.lists)
	}
	if fresh.Versions() != knows.Versions() {
		t.Errorf("versions %+v, want %+v", fresh.Versions(), knows.Versions())
	}
	learnt := fresh.Routes.Holder.Current()
	rule := learnt.Match("h.example", "/p/1")
	if rule == nil || rule.Class != model.Upload || rule.Timeout != 2*time.Second || rule.MaxAttempts != 2 || len(rule.Backends) != 2 ||
		rule.Priority != 1 || rule.Objective != time.Second || learnt.Limits.IdleTimeout != 15*time.Second || learnt.Service("a").HealthPath != "/health" {
		t.Errorf("learnt %+v", rule)
	}
	if more := knows.Beyond(fresh.Versions()); more.Routes != nil || more.Present != nil {
		t.Errorf("told again: %+v", more)
	}
}

func TestOnlyWhatIsNewerIsTakenOver(t *testing.T) {
	own, out := newKnown()
	own.Routes.put(routesAt(9))
	own.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a")}}, settledLongAgo)
	older, _ := newKnown()
	older.Routes.put(routesAt(8))
	older.Targets.Replace(Batch{AsOf: 45, Objects: []Object{object("1", 5, "a"), object("gone", 2, "a")}}, settledLongAgo)
	own.Adopt(told(t, older.Beyond(Versions{})))
	if own.Routes.Holder.Current().Revision != 9 || out.has("gone") {
		t.Errorf("went back to %+v", own.Versions())
	}
	newer, _ := newKnown()
	newer.Targets.Replace(Batch{AsOf: 60, Objects: []Object{object("3", 58, "b")}}, settledLongAgo)
	own.Adopt(told(t, newer.Beyond(own.Versions())))
	if out.has("1") || !out.has("3") || own.Routes.Holder.Current().Revision != 9 {
		t.Errorf("after a newer list: %v", out.lists)
	}
}

func TestTheSameListIsNotToldAgain(t *testing.T) {
	a, _ := newKnown()
	a.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a")}}, settledLongAgo)
	b, _ := newKnown()
	b.Targets.Replace(Batch{AsOf: 44, Objects: []Object{object("1", 5, "a")}}, settledLongAgo)
	state := a.Beyond(b.Versions())
	if state.Targets != nil || state.Present != nil {
		t.Error("a list that is known was told")
	}
	b.Adopt(told(t, state))
	if b.Versions().AsOf != 50 {
		t.Errorf("as of %d, want 50", b.Versions().AsOf)
	}
}

func TestOnlyChangedEntriesAreTold(t *testing.T) {
	a, _ := newKnown()
	a.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a"), object("2", 6, "a"), object("3", 7, "a")}}, settledLongAgo)
	b, out := newKnown()
	b.Adopt(told(t, a.Beyond(b.Versions())))
	a.Targets.Update(Batch{AsOf: 60, Objects: []Object{object("2", 55, "b"), {Name: "1", Revision: 56, Deleted: true}}}, settledLongAgo)
	state := a.Beyond(b.Versions())
	if len(state.Targets) != 1 || state.Targets[0].Name != "2" {
		t.Errorf("told %+v", state.Targets)
	}
	b.Adopt(told(t, state))
	if out.has("1") || len(out.lists["b"]) != 1 || len(out.lists["a"]) != 1 || b.Versions() != a.Versions() {
		t.Errorf("lists %v, versions %+v, want %+v", out.lists, b.Versions(), a.Versions())
	}
}

// TestALaggingWatchBringsNothingBack checks that entries which a peer's newer list
// lacks stay away when an own watch that is behind tells of them.
func TestALaggingWatchBringsNothingBack(t *testing.T) {
	ahead, _ := newKnown()
	ahead.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a")}}, settledLongAgo)
	own, out := newKnown()
	own.Targets.Replace(Batch{AsOf: 20, Objects: []Object{object("1", 5, "a")}}, settledLongAgo)
	own.Targets.Update(Batch{AsOf: 30, Objects: []Object{object("2", 25, "a")}}, settledLongAgo)
	own.Adopt(told(t, ahead.Beyond(own.Versions())))
	own.Targets.Update(Batch{AsOf: 40, Objects: []Object{object("2", 25, "a"), object("3", 35, "a")}}, settledLongAgo)
	if out.has("2") || out.has("3") || !out.has("1") {
		t.Errorf("after a watch that is behind: %v", out.lists)
	}
	own.Targets.Update(Batch{AsOf: 60, Objects: []Object{object("4", 55, "a")}}, settledLongAgo)
	if !out.has("4") {
		t.Error("news after the adopted list is lost")
	}
}
