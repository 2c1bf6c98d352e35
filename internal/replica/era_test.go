package replica

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
)

// at returns the position of a revision of an era.
func at(era, revision uint64) Position {
	p, err := NewPosition(era, revision)
	if err != nil {
		panic(err)
	}
	return p
}

func TestPositionsAreOrderedByEraThenRevision(t *testing.T) {
	ordered := []Position{0, 1, at(0, 1<<48-1), at(1, 0), at(1, 7), at(2, 3), at(1<<16-1, 1<<48-1)}
	if !slices.IsSorted(ordered) {
		t.Errorf("not in order: %v", ordered)
	}
	if text := fmt.Sprint(ordered); text != "[0 1 281474976710655 1:0 1:7 2:3 65535:281474976710655]" {
		t.Error(text)
	}
	for _, p := range ordered {
		if at(p.Era(), p.Revision()) != p {
			t.Errorf("%v: era %d, revision %d", p, p.Era(), p.Revision())
		}
	}
	for _, tooLarge := range [][2]uint64{{1 << 16, 0}, {0, 1 << 48}} {
		if p, err := NewPosition(tooLarge[0], tooLarge[1]); err == nil {
			t.Errorf("%d became %v", tooLarge, p)
		}
	}
}

// TestFollowerNoticesAReturnedStore guards against a store that returns from an older copy:
// its revisions go back, so that its changes looked old, or a watch succeeds at a revision
// that was given out again and hides what lies between.
func TestFollowerNoticesAReturnedStore(t *testing.T) {
	first := Batch{AsOf: 100, Objects: []Object{object("1", 40, "a"), object("2", 90, "a")}}
	for name, returned := range map[string]response{
		"fewer revisions":              {batch: Batch{AsOf: at(1, 60)}},
		"more revisions":               {batch: Batch{AsOf: at(1, 120), Objects: []Object{object("4", at(1, 110), "a")}}},
		"history gone":                 {err: &HistoryGoneError{After: 100}},
		"twice":                        {batch: Batch{AsOf: at(2, 60)}},
		"a late response in between":   {batch: Batch{AsOf: at(1, 120)}},
		"two lists, the first too old": {batch: Batch{AsOf: at(1, 120)}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				era := max(returned.batch.AsOf.Era(), 1)
				second := Batch{AsOf: at(era, 130), Objects: []Object{object("1", at(era, 40), "a"), object("3", at(era, 105), "a")}}
				s := &scriptedSource{lists: []response{{batch: first}, {batch: second}}, watches: []response{returned}}
				switch name {
				case "a late response in between":
					s.watches = append(s.watches, response{batch: Batch{AsOf: 140, Objects: []Object{object("late", 135, "a")}}})
				case "two lists, the first too old":
					s.lists = slices.Insert(s.lists, 1, response{batch: Batch{AsOf: 101, Objects: []Object{object("late", 101, "a")}}})
				}
				out := runFollower(t, s, 4*time.Second)
				if !out.has("1") || !out.has("3") || out.has("2") || out.has("4") || out.has("late") || len(s.lists) > 0 {
					t.Errorf("targets %v, %d lists left", out.lists, len(s.lists))
				}
				if last := s.revisions[len(s.revisions)-1]; last != at(era, 130) {
					t.Errorf("watched from %v at last", last)
				}
				if name == "a late response in between" && s.requested[2] != Strong {
					t.Error("the late response was followed by a stale read")
				}
			})
		})
	}
}

// process returns an object for a target that decodeProcess decodes.
func process(name string, revision Position, start int, state string) Object {
	return Object{Name: name, Revision: revision, Value: fmt.Appendf(nil, "%d %s", start, state)}
}

func decodeProcess(o Object) (model.Target, error) {
	target := model.Target{ID: model.TargetID(o.Name), Service: "a"}
	var state string
	_, err := fmt.Sscan(string(o.Value), &target.StartMillis, &state)
	target.Leaving = state == "leaving"
	return target, err
}

// newProcesses returns targets that decodeProcess decodes and a function that tells their
// states: name, start and "!" if it gets no requests.
func newProcesses() (*Targets, func() string) {
	targets, out := newTargets()
	targets.Decode, targets.ReturnGrace = decodeProcess, 2900*time.Millisecond
	return targets, func() string {
		targets.mu.Lock()
		defer targets.mu.Unlock()
		var states []string
		for _, target := range out.lists["a"] {
			state := fmt.Sprint(target.ID, target.StartMillis)
			if target.Leaving {
				state += "!"
			}
			states = append(states, state)
		}
		return strings.Join(states, " ")
	}
}

// TestReturnedStoreIsNotBelievedAgainstWhatIsKnown guards against a copy of the store that
// lists targets as ready that were known to leave or to be gone, and lacks others that are in
// use.
func TestReturnedStoreIsNotBelievedAgainstWhatIsKnown(t *testing.T) {
	// The copy was made at revision 20.
	copied := []Object{process("a", 10, 1, "ready"), process("b", 11, 1, "ready"), process("c", 12, 1, "ready"), process("d", 13, 1, "ready"), process("e", 14, 1, "leaving")}
	lost := []Object{process("b", 21, 1, "leaving"), {Name: "c", Revision: 22, Deleted: true}, process("d", 23, 2, "ready"), process("f", 24, 1, "ready"), process("g", 25, 1, "leaving")}
	inEra := func(era uint64, objects []Object) []Object {
		objects = slices.Clone(objects)
		for i := range objects {
			objects[i].Revision = at(era, objects[i].Revision.Revision())
		}
		return objects
	}
	for _, c := range []struct {
		name string
		// later is what happens one second after the return.
		later func(*Targets)
		// at2s and at4s are the states 2 and 4 s after the return, later6s those after 6.5 s.
		at2s, at4s, later6s string
	}{
		{"nothing is written again", func(*Targets) {}, "a1 b1! c1! d2 e1! f1 g1!", "a1 b1! c1! d2 e1!", "a1 b1 c1 d2 e1!"},
		{"all is written again", func(targets *Targets) {
			targets.Update(Batch{AsOf: at(1, 30), Objects: []Object{process("b", at(1, 21), 1, "leaving"), {Name: "c", Revision: at(1, 22), Deleted: true},
				process("d", at(1, 23), 2, "ready"), process("f", at(1, 24), 1, "ready"), process("g", at(1, 25), 1, "leaving")}}, removeAtOnce)
		}, "a1 b1! d2 e1! f1 g1!", "a1 b1! d2 e1! f1 g1!", "a1 b1! d2 e1! f1 g1!"},
		{"changes are believed", func(targets *Targets) {
			targets.Update(Batch{AsOf: at(1, 30), Objects: []Object{process("b", at(1, 21), 3, "ready"), process("c", at(1, 22), 1, "ready")}}, removeAtOnce)
		}, "a1 b3 c1 d2 e1! f1 g1!", "a1 b3 c1 d2 e1!", "a1 b3 c1 d2 e1!"},
		{"it returns once more", func(targets *Targets) {
			targets.Replace(Batch{AsOf: at(2, 20), Objects: inEra(2, copied)}, removeAtOnce)
		}, "a1 b1! c1! d2 e1! f1 g1!", "a1 b1! c1! d2 e1!", "a1 b1! c1! d2 e1!"},
		{"a list and changes of the earlier era come late", func(targets *Targets) {
			targets.Replace(Batch{AsOf: 50, Objects: []Object{process("z", 50, 1, "ready")}}, removeAtOnce)
			targets.Update(Batch{AsOf: 51, Objects: []Object{process("y", 51, 1, "ready"), {Name: "a", Revision: 51, Deleted: true}}}, removeAtOnce)
		}, "a1 b1! c1! d2 e1! f1 g1!", "a1 b1! c1! d2 e1!", "a1 b1 c1 d2 e1!"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				targets, states := newProcesses()
				targets.Replace(Batch{AsOf: 20, Objects: copied}, removeAtOnce)
				targets.Update(Batch{AsOf: 25, Objects: lost}, removeAtOnce)
				if got := states(); got != "a1 b1! d2 e1! f1 g1!" {
					t.Fatalf("before the return: %s", got)
				}
				targets.Replace(Batch{AsOf: at(1, 20), Objects: inEra(1, copied)}, removeAtOnce)
				time.Sleep(time.Second)
				c.later(targets)
				for _, want := range []struct {
					after  time.Duration
					states string
				}{{time.Second, c.at2s}, {2 * time.Second, c.at4s}, {2500 * time.Millisecond, c.later6s}} {
					time.Sleep(want.after)
					synctest.Wait()
					if got := states(); got != want.states {
						t.Errorf("%s, want %s", got, want.states)
					}
				}
			})
		})
	}
}

// TestPeersCompareEras lets an instance that was cut off, with a higher revision of an earlier
// era, meet one that has followed the returned store.
func TestPeersCompareEras(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		followed, followedStates := newProcesses()
		cutOff, cutOffStates := newProcesses()
		for _, targets := range []*Targets{followed, cutOff} {
			targets.Replace(Batch{AsOf: 20, Objects: []Object{process("a", 10, 1, "ready"), process("b", 11, 1, "ready")}}, removeAtOnce)
		}
		cutOff.Update(Batch{AsOf: 900, Objects: []Object{process("b", 800, 1, "leaving"), process("c", 850, 1, "ready")}}, removeAtOnce)
		followed.Replace(Batch{AsOf: at(1, 20), Objects: []Object{process("a", at(1, 10), 1, "ready"), process("b", at(1, 11), 1, "ready")}}, removeAtOnce)
		replicaOf := func(targets *Targets) *Replica {
			return &Replica{Routes: &Routes{Holder: route.NewHolder(), Observer: nopObserver{}}, Targets: targets}
		}
		a, b := replicaOf(followed), replicaOf(cutOff)
		if delta := b.DeltaFor(a.Versions()); delta.HasTargets() {
			t.Errorf("the earlier era was handed on: %+v", delta)
		}
		a.Merge(roundTrip(t, b.DeltaFor(Versions{})))
		if got := followedStates(); got != "a1 b1" {
			t.Errorf("the earlier era was taken: %s", got)
		}
		parts, err := a.PartFor(b.Versions())
		if err != nil || parts.Since != 0 {
			t.Errorf("changes since %v of an earlier era, %v", parts.Since, err)
		}
		b.Merge(roundTrip(t, parts))
		if got := cutOffStates(); got != "a1 b1! c1" || b.Versions().AsOf != at(1, 20) || b.Versions().Digest == a.Versions().Digest {
			t.Errorf("%s as of %v", got, b.Versions().AsOf)
		}
		time.Sleep(7 * time.Second)
		synctest.Wait()
		if got := cutOffStates(); got != "a1 b1" || b.Versions() != a.Versions() {
			t.Errorf("%s, %+v, want %+v", got, b.Versions(), a.Versions())
		}
	})
}

// TestEvacuationsOutlastAReturn checks that an evacuation that the copy lacks stays in force
// until it is written again, or for the grace period.
func TestEvacuationsOutlastAReturn(t *testing.T) {
	for _, writtenAgain := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e, log := newEvacuations()
			e.ReturnGrace = 2900 * time.Millisecond
			inForce := func() string {
				e.mu.Lock()
				defer e.mu.Unlock()
				return log.String()
			}
			e.Replace(Batch{AsOf: 20, Objects: []Object{object("a", 10, "{}"), object("b", 15, "{}")}}, removeAtOnce)
			e.Replace(Batch{AsOf: at(1, 12), Objects: []Object{object("a", at(1, 10), "{}")}}, removeAtOnce)
			e.Replace(Batch{AsOf: at(1, 13), Objects: []Object{object("a", at(1, 10), "{}")}}, removeAtOnce)
			e.Replace(Batch{AsOf: 21}, removeAtOnce)
			time.Sleep(2 * time.Second)
			if got := inForce(); got != "[a b]" {
				t.Errorf("%s after 2 s, want [a b]", got)
			}
			want := "[a]"
			if writtenAgain {
				e.Update(Batch{AsOf: at(1, 14), Objects: []Object{object("b", at(1, 14), "{}")}}, removeAtOnce)
				want = "[a b]"
			}
			time.Sleep(time.Second)
			synctest.Wait()
			if got := inForce(); got != want {
				t.Errorf("%s after 3 s, want %s", got, want)
			}
		})
	}
}
