package replica

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// evacuationLog records what Evacuations report.
type evacuationLog struct {
	in       map[model.FailureDomain]bool
	rejected []string
}

func (l *evacuationLog) SetEvacuated(domains map[model.FailureDomain]bool) { l.in = domains }
func (l *evacuationLog) EvacuationStarted(model.FailureDomain, Position, Position, route.Source) {
}
func (l *evacuationLog) EvacuationEnded(model.FailureDomain, Position, route.Source) {}
func (l *evacuationLog) EvacuationRejected(name string, _ error) {
	l.rejected = append(l.rejected, name)
}

func (l *evacuationLog) String() string { return fmt.Sprint(slices.Sorted(maps.Keys(l.in))) }

func newEvacuations() (*Evacuations, *evacuationLog) {
	log := new(evacuationLog)
	return &Evacuations{Table: log, Observer: log, Decode: func(o Object) (model.FailureDomain, error) {
		if o.Name == "nowhere" || string(o.Value) == "torn" {
			return "", errMalformed
		}
		return model.FailureDomain(o.Name), nil
	}}, log
}

// TestEvacuationsFollowTheStore checks lists and watches, with entries of an unknown failure
// domain and unreadable ones, which are reported once and change nothing else.
func TestEvacuationsFollowTheStore(t *testing.T) {
	e, log := newEvacuations()
	for _, c := range []struct {
		name    string
		batch   Batch
		replace bool
		want    string
	}{
		{"a list", Batch{AsOf: 5, Objects: []Object{object("a", 3, "{}"), object("nowhere", 4, "{}")}}, true, "[a]"},
		{"another one", Batch{AsOf: 7, Objects: []Object{object("b", 6, "{}"), object("nowhere", 7, "{}")}}, false, "[a b]"},
		{"a torn one", Batch{AsOf: 8, Objects: []Object{object("c", 8, "torn")}}, false, "[a b]"},
		{"a removal", Batch{AsOf: 9, Objects: []Object{{Name: "a", Revision: 9, Deleted: true}}}, false, "[b]"},
		{"a removal that tells the entry's revision", Batch{AsOf: 10, Objects: []Object{{Name: "b", Revision: 6, Deleted: true}}}, false, "[]"},
		{"removed and asked for again", Batch{AsOf: 13, Objects: []Object{object("a", 11, "{}"), {Name: "a", Revision: 12, Deleted: true}, object("a", 13, "{}")}}, false, "[a]"},
		{"a list without it", Batch{AsOf: 14}, true, "[]"},
	} {
		if c.replace {
			e.Replace(c.batch, removeAtOnce)
		} else {
			e.Update(c.batch, removeAtOnce)
		}
		if log.String() != c.want {
			t.Errorf("%s: %v, want %s", c.name, log, c.want)
		}
	}
	if !slices.Equal(log.rejected, []string{"nowhere", "c"}) {
		t.Errorf("reported %v, want nowhere and c once each", log.rejected)
	}
}

// TestEvacuationsNeverGoBack lets an instance learn from a peer that is ahead; then come, late,
// what a watch that lags behind and a peer that is behind know.
func TestEvacuationsNeverGoBack(t *testing.T) {
	e, log := newEvacuations()
	local := &Replica{Routes: &Routes{Holder: route.NewHolder(), Observer: nopObserver{}}, Targets: &Targets{Observer: nopObserver{}}, Evacuations: e}
	e.Replace(Batch{AsOf: 5, Objects: []Object{object("a", 3, "{}")}}, removeAtOnce)
	peer := func(asOf Position, objects ...Object) *Replica {
		held, _ := newEvacuations()
		held.Replace(Batch{AsOf: asOf, Objects: objects}, removeAtOnce)
		return &Replica{Routes: local.Routes, Targets: &Targets{Observer: nopObserver{}}, Evacuations: held}
	}
	ahead, behind := peer(20, object("b", 15, "{}")), peer(10, object("a", 3, "{}"), object("c", 8, "{}"))
	late := roundTrip(t, behind.DeltaFor(local.Versions()))
	local.Merge(roundTrip(t, ahead.DeltaFor(local.Versions())))
	if log.String() != "[b]" {
		t.Fatalf("%v after the merge, want [b]", log)
	}
	local.Merge(late)
	e.Update(Batch{AsOf: 10, Objects: []Object{object("c", 8, "{}")}}, removeAtOnce)
	e.Update(Batch{AsOf: 18, Objects: []Object{{Name: "c", Revision: 12, Deleted: true}, {Name: "b", Revision: 13, Deleted: true}}}, removeAtOnce)
	e.Replace(Batch{AsOf: 12, Objects: []Object{object("c", 8, "{}")}}, removeAtOnce)
	if log.String() != "[b]" || local.Versions().Evacuations.AsOf != 20 {
		t.Errorf("%v as of %d, want [b] as of 20", log, local.Versions().Evacuations.AsOf)
	}
	if delta := ahead.DeltaFor(local.Versions()); delta.Evacuations != nil {
		t.Error("equal evacuations were sent again")
	}
	if delta := ahead.DeltaFor(Versions{}); delta.Evacuations != nil {
		t.Error("evacuations were sent to an instance that doesn't follow them")
	}
}
