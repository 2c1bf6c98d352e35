package replica

import (
	"strconv"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/route"
)

func newReplica() (*Replica, *recordingTable) {
	targets, out := newTargets()
	return &Replica{Routes: &Routes{Holder: route.NewHolder(), Observer: nopObserver{}}, Targets: targets}, out
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

// roundTrip returns a delta as a peer decodes it.
func roundTrip(t *testing.T, s Delta) Delta {
	t.Helper()
	raw, err := peer.Encode(s)
	if err != nil {
		t.Fatal(err)
	}
	var out Delta
	if err := peer.Decode(raw, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestEmptyInstanceReceivesFullState(t *testing.T) {
	source, _ := newReplica()
	source.Routes.apply(routesAt(7), route.FromStore)
	source.Targets.Replace(Batch{AsOf: 40, Objects: []Object{object("1", 1, "a"), object("2", 2, "b")}}, removeAtOnce)
	empty, out := newReplica()
	empty.Merge(roundTrip(t, source.DeltaFor(empty.Versions())))
	if !out.has("1") || !out.has("2") {
		t.Errorf("lists %v", out.lists)
	}
	if empty.Versions() != source.Versions() {
		t.Errorf("versions %+v, want %+v", empty.Versions(), source.Versions())
	}
	received := empty.Routes.Holder.Current()
	rule := received.Match("h.example", "/p/1")
	if rule == nil || rule.Class != model.Upload || rule.Timeout != 2*time.Second || rule.MaxAttempts != 2 || len(rule.Backends) != 2 ||
		rule.Priority != 1 || rule.Objective != time.Second || received.Limits.IdleTimeout != 15*time.Second || received.Service("a").HealthPath != "/health" {
		t.Errorf("received %+v", rule)
	}
	if more := source.DeltaFor(empty.Versions()); more.Routes != nil || more.NameHashes != nil {
		t.Errorf("sent again: %+v", more)
	}
}

func TestOnlyNewerStateIsMerged(t *testing.T) {
	local, out := newReplica()
	local.Routes.apply(routesAt(9), route.FromStore)
	local.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a")}}, removeAtOnce)
	older, _ := newReplica()
	older.Routes.apply(routesAt(8), route.FromStore)
	older.Targets.Replace(Batch{AsOf: 45, Objects: []Object{object("1", 5, "a"), object("gone", 2, "a")}}, removeAtOnce)
	local.Merge(roundTrip(t, older.DeltaFor(Versions{})))
	if local.Routes.Holder.Current().Revision != 9 || out.has("gone") {
		t.Errorf("reverted to %+v", local.Versions())
	}
	newer, _ := newReplica()
	newer.Targets.Replace(Batch{AsOf: 60, Objects: []Object{object("3", 58, "b")}}, removeAtOnce)
	local.Merge(roundTrip(t, newer.DeltaFor(local.Versions())))
	if out.has("1") || !out.has("3") || local.Routes.Holder.Current().Revision != 9 {
		t.Errorf("after a newer list: %v", out.lists)
	}
}

func TestEqualListIsNotSent(t *testing.T) {
	a, _ := newReplica()
	a.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a")}}, removeAtOnce)
	b, _ := newReplica()
	b.Targets.Replace(Batch{AsOf: 44, Objects: []Object{object("1", 5, "a")}}, removeAtOnce)
	delta := a.DeltaFor(b.Versions())
	if delta.Targets != nil || delta.NameHashes != nil {
		t.Error("an equal list was sent")
	}
	b.Merge(roundTrip(t, delta))
	if b.Versions().AsOf != 50 {
		t.Errorf("as of %d, want 50", b.Versions().AsOf)
	}
}

func TestOnlyChangedEntriesAreSent(t *testing.T) {
	a, _ := newReplica()
	a.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a"), object("2", 6, "a"), object("3", 7, "a")}}, removeAtOnce)
	b, out := newReplica()
	b.Merge(roundTrip(t, a.DeltaFor(b.Versions())))
	a.Targets.Update(Batch{AsOf: 60, Objects: []Object{object("2", 55, "b"), {Name: "1", Revision: 56, Deleted: true}}}, removeAtOnce)
	delta := a.DeltaFor(b.Versions())
	if len(delta.Targets) != 1 || delta.Targets[0].Name != "2" {
		t.Errorf("sent %+v", delta.Targets)
	}
	b.Merge(roundTrip(t, delta))
	if out.has("1") || len(out.lists["b"]) != 1 || len(out.lists["a"]) != 1 || b.Versions() != a.Versions() {
		t.Errorf("lists %v, versions %+v, want %+v", out.lists, b.Versions(), a.Versions())
	}
}

// TestLaggingWatchRestoresNoDeletedEntries merges a peer's newer list and then receives
// changes from an own watch that lags behind it: entries that the list lacks stay deleted.
func TestLaggingWatchRestoresNoDeletedEntries(t *testing.T) {
	ahead, _ := newReplica()
	ahead.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a")}}, removeAtOnce)
	local, out := newReplica()
	local.Targets.Replace(Batch{AsOf: 20, Objects: []Object{object("1", 5, "a")}}, removeAtOnce)
	local.Targets.Update(Batch{AsOf: 30, Objects: []Object{object("2", 25, "a")}}, removeAtOnce)
	local.Merge(roundTrip(t, ahead.DeltaFor(local.Versions())))
	local.Targets.Update(Batch{AsOf: 40, Objects: []Object{object("2", 25, "a"), object("3", 35, "a")}}, removeAtOnce)
	if out.has("2") || out.has("3") || !out.has("1") {
		t.Errorf("after a lagging watch: %v", out.lists)
	}
	local.Targets.Update(Batch{AsOf: 60, Objects: []Object{object("4", 55, "a")}}, removeAtOnce)
	if !out.has("4") {
		t.Error("a change after the merged list is missing")
	}
}

// TestRemovalsReplaceTheListOfNames checks what a delta contains by the revision from which
// on the sender knows all removals and by what the receiver accepts.
func TestRemovalsReplaceTheListOfNames(t *testing.T) {
	a, _ := newReplica()
	a.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a"), object("2", 6, "a")}}, removeAtOnce)
	a.Targets.Update(Batch{AsOf: 60, Objects: []Object{{Name: "1", Revision: 56, Deleted: true}, object("3", 57, "a")}}, removeAtOnce)
	for _, c := range []struct {
		name           string
		other          Versions
		names, removed int
	}{
		{"known since its list", Versions{AsOf: 50, AcceptsRemovals: true}, 0, 1},
		{"known since a later revision", Versions{AsOf: 57, AcceptsRemovals: true}, 0, 1},
		{"not known since its list", Versions{AsOf: 49, AcceptsRemovals: true}, 2, 0},
		{"older build", Versions{AsOf: 50}, 2, 0},
		{"without a list", Versions{AcceptsRemovals: true}, 2, 0},
	} {
		d := a.DeltaFor(c.other)
		if len(d.NameHashes) != c.names*nameHashBytes || len(d.Removed) != c.removed*nameHashBytes || !d.HasTargets() {
			t.Errorf("%s: %d bytes of names, %d of removals", c.name, len(d.NameHashes), len(d.Removed))
		}
	}
}

// TestReturnedEntryIsNotRemoved removes an entry that is registered again under its name.
func TestReturnedEntryIsNotRemoved(t *testing.T) {
	a, _ := newReplica()
	a.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a"), object("2", 6, "a")}}, removeAtOnce)
	b, out := newReplica()
	b.Merge(roundTrip(t, a.DeltaFor(b.Versions())))
	a.Targets.Update(Batch{AsOf: 60, Objects: []Object{{Name: "1", Revision: 56, Deleted: true}}}, removeAtOnce)
	a.Targets.Update(Batch{AsOf: 70, Objects: []Object{object("1", 65, "a")}}, removeAtOnce)
	b.Merge(roundTrip(t, a.DeltaFor(b.Versions())))
	if !out.has("1") || !out.has("2") || b.Versions() != a.Versions() {
		t.Errorf("lists %v, versions %+v, want %+v", out.lists, b.Versions(), a.Versions())
	}
}

// TestDroppedRemovalsAreNotAssumedKnown removes more entries than are kept.
func TestDroppedRemovalsAreNotAssumedKnown(t *testing.T) {
	a, _ := newReplica()
	var list Batch
	list.AsOf = 50
	for i := range 2 * maxRemovals {
		list.Objects = append(list.Objects, object(strconv.Itoa(i), 5, "a"))
	}
	a.Targets.Replace(list, removeAtOnce)
	b, _ := newReplica()
	b.Merge(roundTrip(t, a.DeltaFor(b.Versions())))
	for i := range Position(maxRemovals + 1) {
		removed := Object{Name: i.String(), Revision: 51 + i, Deleted: true}
		a.Targets.Update(Batch{AsOf: 51 + i, Objects: []Object{removed}}, removeAtOnce)
	}
	delta := a.DeltaFor(b.Versions())
	if delta.Since != 0 || len(delta.NameHashes) != (maxRemovals-1)*nameHashBytes {
		t.Errorf("since %d, %d bytes of names", delta.Since, len(delta.NameHashes))
	}
	b.Merge(roundTrip(t, delta))
	if b.Versions() != a.Versions() {
		t.Errorf("versions %+v, want %+v", b.Versions(), a.Versions())
	}
}
