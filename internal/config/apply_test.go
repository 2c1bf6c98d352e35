package config

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/store"
)

func newApplier(store store.Store) *Applier {
	return &Applier{
		Store:    store,
		Known:    func() model.Revision { return 0 },
		Now:      time.Now,
		Recorder: events.Discard,
	}
}

// seed stores a first document and returns it for editing.
func seed(t testing.TB, a *Applier) *Document {
	t.Helper()
	accepted, err := a.Apply(context.Background(), Edit{Document: mustParse(t, valid).at(0), Change: "seed", Author: "seeder"})
	if err != nil {
		t.Fatal(err)
	}
	return accepted.Document
}

// at returns a copy that claims to start from a revision.
func (d *Document) at(revision model.Revision) *Document {
	copied := *d
	copied.Revision = revision
	copied.Exceptions = append([]Exception(nil), d.Exceptions...)
	return &copied
}

func (d *Document) withLimit(n int) *Document {
	d = d.at(d.Revision)
	d.Defaults.QueueLimit = &n
	return d
}

func (d *Document) withWeight(w float64) *Document {
	d = d.at(d.Revision)
	d.Defaults.TailWeight = &w
	return d
}

func TestDisjointEditsAreRebasedAndOverlappingOnesConflict(t *testing.T) {
	a := newApplier(newFaultyStore(t))
	base := seed(t, a)
	if _, err := a.Apply(t.Context(), Edit{Document: base.withLimit(10), Change: "1", Author: "jana"}); err != nil {
		t.Fatal(err)
	}
	second, err := a.Apply(t.Context(), Edit{Document: base.withWeight(0.25), Change: "2", Author: "petr"})
	if err != nil {
		t.Fatal(err)
	}
	if d := second.Document; d.Revision != 3 || *d.Defaults.QueueLimit != 10 || *d.Defaults.TailWeight != 0.25 || !second.Rebased {
		t.Errorf("rebased: %+v", d)
	}
	_, err = a.Apply(t.Context(), Edit{Document: base.withLimit(11), Change: "3", Author: "olga"})
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
	const want = "the edit of revision 1 by olga overlaps with changes up to revision 3:\n" +
		"  defaults.queueLimit: changed by jana in revision 2"
	if conflict.Error() != want {
		t.Errorf("got %s", conflict)
	}
}

func TestEditsThatContradictEachOtherConflict(t *testing.T) {
	a := newApplier(newFaultyStore(t))
	base := seed(t, a)
	without := base.at(base.Revision)
	without.Services = map[model.ServiceName]Service{"odeslani": base.Services["odeslani"]}
	if _, err := a.Apply(t.Context(), Edit{Document: without, Change: "1", Author: "jana"}); err != nil {
		t.Fatal(err)
	}
	limit := 5
	with := base.at(base.Revision)
	with.Exceptions = append(with.Exceptions, Exception{
		Scope: Scope{Service: "nahled"}, Set: Fields{QueueLimit: &limit}, Reason: "previews queue for long",
	})
	_, err := a.Apply(t.Context(), Edit{Document: with, Change: "2", Author: "petr"})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !strings.Contains(err.Error(), "exceptions[service=nahled].scope.service: changed by jana in revision 2") {
		t.Errorf("got %v", err)
	}
}

func TestApplyKeepsHistoryWithinItsBound(t *testing.T) {
	store := newFaultyStore(t)
	a := newApplier(store)
	d := seed(t, a)
	for n := range HistoryKept + 20 {
		accepted, err := a.Apply(t.Context(), Edit{Document: d.withLimit(n), Change: fmt.Sprint("c", n), Author: "jana"})
		if err != nil {
			t.Fatal(err)
		}
		d = accepted.Document
	}
	history, err := a.History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(history) != HistoryKept+1 || history[0].Revision != d.Revision || history[HistoryKept].Revision != d.Revision-HistoryKept {
		t.Errorf("%d documents, newest %d", len(history), history[0].Revision)
	}
	_, err = a.Apply(t.Context(), Edit{Document: d.withLimit(3).at(2), Change: "old", Author: "petr"})
	var gone *BaseGoneError
	if !errors.As(err, &gone) || gone.Revision != 2 {
		t.Errorf("an edit of a pruned revision: %v", err)
	}
}

func TestApplyDoesNotBelieveARevisionBelowTheKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newApplier(newFaultyStore(t))
		base := seed(t, a)
		a.Known = func() model.Revision { return 9 }
		_, err := a.Apply(t.Context(), Edit{Document: base.withLimit(1), Change: "1", Author: "jana"})
		var stale *StaleReadError
		if !errors.As(err, &stale) || stale.Read != 1 || stale.Known != 9 {
			t.Errorf("got %v", err)
		}
	})
}

func TestApplyTwiceWithOneChangeHasOneEffect(t *testing.T) {
	a := newApplier(newFaultyStore(t))
	base := seed(t, a)
	edit := Edit{Document: base.withLimit(10), Change: "1", Author: "jana"}
	for range 2 {
		accepted, err := a.Apply(t.Context(), edit)
		if err != nil || accepted.Document.Revision != 2 {
			t.Fatalf("%+v, %v", accepted, err)
		}
		// Another operator takes the edit back, which must stay so.
		if _, err := a.Apply(t.Context(), Edit{Document: base.at(2), Change: "2", Author: "petr"}); err != nil {
			t.Fatal(err)
		}
	}
	current, err := a.Current(t.Context())
	if err != nil || current.Revision != 3 || current.Defaults.QueueLimit != nil {
		t.Errorf("%+v, %v", current, err)
	}
}

func TestUnansweredApplyIsUnknownUntilItIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(t)
		a := newApplier(store)
		base := seed(t, a)
		store.next = func() fault { return lostAfter }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		edit := Edit{Document: base.withLimit(10), Change: "1", Author: "jana"}
		_, err := a.Apply(ctx, edit)
		var none *NotAppliedError
		if !errors.As(err, &none) {
			t.Errorf("unreadable store: %v", err)
		}
		reads := 0
		store.next = func() fault {
			if reads++; reads <= 2 {
				return ok
			}
			return lostAfter
		}
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = a.Apply(ctx, edit)
		var unknown *OutcomeUnknownError
		if !errors.As(err, &unknown) || unknown.Change != "1" {
			t.Errorf("lost answers: %v", err)
		}
		store.next = func() fault { return ok }
		accepted, err := a.Apply(t.Context(), edit)
		if err != nil || accepted.Document.Revision != 2 || len(store.documents()) != 2 {
			t.Errorf("again: %+v, %v", accepted, err)
		}
	})
}

// A change takes effect, its answer is lost, and the next read is older than the
// write: the state it shows conflicts with the edit, but the edit was accepted.
func TestLostAnswerIsNotJudgedByAStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(t)
		a := newApplier(store)
		base := seed(t, a)
		for i, d := range []*Document{base.withLimit(1), base.at(2)} {
			if _, err := a.Apply(t.Context(), Edit{Document: d, Change: fmt.Sprint("other", i), Author: "petr"}); err != nil {
				t.Fatal(err)
			}
		}
		store.age = 2
		// Reads current and two revisions, preserves, writes, writes again, reads.
		script := []fault{ok, ok, ok, ok, lostAfter, ok, stale}
		store.next = func() fault {
			if len(script) == 0 {
				return ok
			}
			f := script[0]
			script = script[1:]
			return f
		}
		accepted, err := a.Apply(t.Context(), Edit{Document: base.withLimit(2), Change: "own", Author: "jana"})
		if err != nil || accepted.Document.Revision != 4 || len(store.documents()) != 4 {
			t.Errorf("%+v, %v", accepted, err)
		}
	})
}

// operator is one edit of the property test and what its author was told.
type operator struct {
	edit     Edit
	accepted *Accepted
	err      error
}

// bubbled hides T.Deadline, which can't be called in virtual time.
type bubbled struct{ testing.TB }

// TestApplyUnderFaults lets operators edit at once over a store that loses and
// delays answers, is unavailable and answers with old states.
func TestApplyUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbled{t}, func(rt *rapid.T) {
			store := newFaultyStore(t)
			base := seed(t, newApplier(store))
			var operators []*operator
			for i := range rapid.IntRange(1, 4).Draw(rt, "operators") {
				name := fmt.Sprint("op", i)
				operators = append(operators, &operator{edit: Edit{Document: drawEdit(rt, base), Change: name, Author: name}})
			}
			store.age = rapid.IntRange(1, 3).Draw(rt, "age")
			calls := 0
			store.next = func() fault {
				if calls++; calls > 300 {
					return ok
				}
				return fault(rapid.IntRange(0, int(faults)-1).Draw(rt, "fault"))
			}
			started := 0
			run := func() {
				o := operators[started]
				started++
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				o.accepted, o.err = newApplier(store).Apply(ctx, o.edit)
			}
			// Before any call another operator may come in between, or a delayed write arrive.
			store.before = func() {
				if calls < 300 && started < len(operators) && rapid.Bool().Draw(rt, "interleave") {
					run()
				}
				if rapid.IntRange(0, 3).Draw(rt, "arrive") == 0 {
					store.flush()
				}
			}
			for started < len(operators) {
				run()
			}
			store.flush()
			checkHistory(rt, store.documents(), operators)
		})
	})
}

func drawEdit(rt *rapid.T, base *Document) *Document {
	d := base.at(base.Revision)
	if rapid.Bool().Draw(rt, "defaults") {
		d = d.withLimit(rapid.IntRange(0, 2).Draw(rt, "limit"))
	}
	if rapid.Bool().Draw(rt, "weight") {
		d = d.withWeight(float64(rapid.IntRange(0, 2).Draw(rt, "weight")) / 2)
	}
	switch rapid.IntRange(0, 3).Draw(rt, "exceptions") {
	case 0:
		d.Exceptions = d.Exceptions[:1]
	case 1:
		held := rapid.IntRange(0, 2).Draw(rt, "held")
		d.Exceptions[0].Set.HeldBody = &held
	case 2:
		held := rapid.IntRange(0, 2).Draw(rt, "held")
		d.Exceptions = append(d.Exceptions, Exception{
			Scope: Scope{Service: "nahled"}, Set: Fields{HeldBody: &held}, Reason: "some good reason", Author: "x",
		})
	}
	return d
}

func checkHistory(rt *rapid.T, documents []*Document, operators []*operator) {
	applied := make(map[string]*Document)
	for i, d := range documents {
		if d.Revision != model.Revision(i+1) {
			rt.Fatalf("document %d has revision %d", i, d.Revision)
		}
		if applied[d.Change] != nil {
			rt.Fatalf("change %s took effect twice", d.Change)
		}
		if problems := d.contradictions(); len(problems) > 0 {
			rt.Fatalf("revision %d is invalid: %v", d.Revision, problems)
		}
		applied[d.Change] = d
	}
	for _, o := range operators {
		stored := applied[o.edit.Change]
		var unknown *OutcomeUnknownError
		switch {
		case o.err == nil && o.accepted.Unchanged:
		case o.err == nil && (stored == nil || stored.Revision != o.accepted.Document.Revision):
			rt.Fatalf("%s was told revision %d; stored is %+v", o.edit.Author, o.accepted.Document.Revision, stored)
		case o.err == nil:
			checkMerged(rt, documents, o.edit, stored)
		case stored != nil && !errors.As(o.err, &unknown):
			rt.Fatalf("%s was told %v, but revision %d was stored", o.edit.Author, o.err, stored.Revision)
		}
	}
}

// checkMerged requires that a stored document differs from its predecessor by
// the edit and by nothing else.
func checkMerged(rt *rapid.T, documents []*Document, edit Edit, got *Document) {
	was, wanted := documents[0].flatten(), edit.signed().Document.flatten()
	before, after := documents[got.Revision-2].flatten(), got.flatten()
	for _, path := range paths(was, wanted, before, after) {
		want := before[path].text
		if wanted[path].text != was[path].text {
			want = wanted[path].text
		}
		if after[path].text != want {
			rt.Fatalf("revision %d, %s: got %s, want %s", got.Revision, path, after[path].text, want)
		}
	}
}
