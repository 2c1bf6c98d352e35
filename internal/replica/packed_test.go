package replica

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"testing"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

// fullTarget returns a target in which each field that peers exchange is set, and fails for a
// field that it doesn't know.
func fullTarget(t *testing.T, name string) model.Target {
	t.Helper()
	target := model.Target{ID: model.TargetID(name + "-id"), Service: "nahled", Addr: netip.MustParseAddrPort("10.2.64.55:8504"),
		Location: model.Location{Region: "brno", FailureDomain: "brno-a"}, Slots: 6, MaxConns: 920, Leaving: true, StartMillis: 1775883144000}
	v := reflect.ValueOf(target)
	for i := range v.NumField() {
		if field := v.Type().Field(i); v.Field(i).IsZero() && field.Tag.Get("json") != "-" {
			t.Fatalf("field %s of a target is not covered", field.Name)
		}
	}
	return target
}

// TestPackedEntriesKeepEveryField guards against a field of targets that a relay drops.
func TestPackedEntriesKeepEveryField(t *testing.T) {
	plain := model.Target{ID: "2", Service: "odeslani", Addr: netip.MustParseAddrPort("[2001:db8::1]:80"), Slots: 1}
	entries := []TargetEntry{{Name: "1", Revision: 9, Target: fullTarget(t, "1"), ColdMillis: 1200}, {Name: "2", Revision: 7, Target: plain}}
	received := roundTrip(t, Delta{Packed: &PackedEntries{Entries: entries}})
	if !reflect.DeepEqual(received.Entries(), entries) {
		t.Errorf("received %+v, want %+v", received.Entries(), entries)
	}
}

// TestMalformedPackedEntriesAreRefused checks an index outside the tables.
func TestMalformedPackedEntriesAreRefused(t *testing.T) {
	raw, err := peer.Encode(map[int]any{8: packedForm{Entries: []packedEntry{{Name: "1"}}}})
	if err != nil {
		t.Fatal(err)
	}
	var out Delta
	var refused *PackedFormError
	if err := peer.Decode(raw, &out); !errors.As(err, &refused) {
		t.Errorf("decoded %+v, %v", out, err)
	}
}

// TestPartsOfManyChanges sends the registrations of a fleet that starts, beside removals and
// leaving targets: each part is small, and the first one has all that must not be used.
func TestPartsOfManyChanges(t *testing.T) {
	const count = 3700
	sender, _ := newReplica()
	sender.Targets.Decode = func(o Object) (model.Target, error) {
		target := fullTarget(t, o.Name)
		target.ID, target.Leaving = model.TargetID(o.Name), string(o.Value) == "leaving"
		return target, nil
	}
	sender.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("old", 5, "a")}}, removeAtOnce)
	receiver, out := newReplica()
	receiver.Merge(roundTrip(t, sender.DeltaFor(receiver.Versions())))
	var changes Batch
	for i := range Position(count) {
		changes.Objects = append(changes.Objects, object(fmt.Sprintf("i-%08x", i), 51+i, "ready"))
	}
	changes.Objects[count-2].Value = []byte("leaving")
	changes.Objects = append(changes.Objects, Object{Name: "old", Revision: 51 + count, Deleted: true})
	changes.AsOf = 51 + count
	sender.Targets.Update(changes, removeAtOnce)
	parts := 0
	for more := true; more; parts++ {
		d, err := sender.PartFor(receiver.Versions())
		if err != nil {
			t.Fatal(err)
		}
		raw, err := peer.Encode(d)
		if err != nil || len(raw) > 12_000 {
			t.Fatalf("part %d has %d B, %v", parts, len(raw), err)
		}
		receiver.Merge(roundTrip(t, d))
		if out.has("old") || !out.has(model.TargetID(changes.Objects[count-2].Name)) {
			t.Fatalf("after part %d a removed target is used, or a leaving one not known", parts)
		}
		more = d.More
	}
	if receiver.Versions() != sender.Versions() || parts != (count+maxPartEntries-1)/maxPartEntries {
		t.Errorf("%d parts lead to %+v, want %+v", parts, receiver.Versions(), sender.Versions())
	}
}

// TestIncompleteListIsNotOffered guards against an instance that has got a part of a list and
// passes it on as a whole: another one, without the store, would drop the other targets.
func TestIncompleteListIsNotOffered(t *testing.T) {
	sender, _ := newReplica()
	sender.Targets.partEntries = 2
	sender.Targets.Replace(Batch{AsOf: 50, Objects: []Object{object("1", 5, "a"), object("2", 6, "a"), object("3", 7, "a")}}, removeAtOnce)
	starting, _ := newReplica()
	part, err := sender.PartFor(starting.Versions())
	if err != nil {
		t.Fatal(err)
	}
	starting.Merge(roundTrip(t, part))
	other, out := newReplica()
	other.Targets.Replace(Batch{AsOf: 3, Objects: []Object{object("3", 2, "a")}}, removeAtOnce)
	other.Merge(roundTrip(t, starting.DeltaFor(other.Versions())))
	if !out.has("3") || starting.Targets.Known() {
		t.Errorf("lists %v after an offer of %+v, known: %v", out.lists, starting.Versions(), starting.Targets.Known())
	}
	if part, err = sender.PartFor(starting.Versions()); err != nil {
		t.Fatal(err)
	}
	starting.Merge(roundTrip(t, part))
	other.Merge(roundTrip(t, starting.DeltaFor(other.Versions())))
	if other.Versions() != sender.Versions() || !starting.Targets.Known() {
		t.Errorf("holds %+v, want %+v", other.Versions(), sender.Versions())
	}
}
