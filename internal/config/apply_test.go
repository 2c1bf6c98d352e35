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
		Store:         store,
		KnownRevision: func() model.Revision { return 0 },
		Now:           time.Now,
		Recorder:      events.Discard,
	}
}

// applyFirstDocument stores the first document and returns it.
func applyFirstDocument(t testing.TB, a *Applier) *Document {
	t.Helper()
	accepted, err := a.Apply(context.Background(), Edit{Document: mustParse(t, validDocument).withRevision(0), ChangeID: "seed", Author: "seeder"})
	if err != nil {
		t.Fatal(err)
	}
	return accepted.Document
}

// withRevision returns a copy with the given revision as its base.
func (d *Document) withRevision(revision model.Revision) *Document {
	copied := *d
	copied.Revision = revision
	copied.Exceptions = append([]Exception(nil), d.Exceptions...)
	return &copied
}

func (d *Document) withQueueLimit(n int) *Document {
	d = d.withRevision(d.Revision)
	d.Defaults.QueueLimit = &n
	return d
}

func (d *Document) withTailWeight(w float64) *Document {
	d = d.withRevision(d.Revision)
	d.Defaults.TailWeight = &w
	return d
}

func TestDisjointEditsAreMergedAndOverlappingOnesConflict(t *testing.T) {
	a := newApplier(newFaultyStore(t))
	base := applyFirstDocument(t, a)
	if _, err := a.Apply(t.Context(), Edit{Document: base.withQueueLimit(10), ChangeID: "1", Author: "jana"}); err != nil {
		t.Fatal(err)
	}
	second, err := a.Apply(t.Context(), Edit{Document: base.withTailWeight(0.25), ChangeID: "2", Author: "petr"})
	if err != nil {
		t.Fatal(err)
	}
	if d := second.Document; d.Revision != 3 || *d.Defaults.QueueLimit != 10 || *d.Defaults.TailWeight != 0.25 || !second.Rebased {
		t.Errorf("rebased: %+v", d)
	}
	_, err = a.Apply(t.Context(), Edit{Document: base.withQueueLimit(11), ChangeID: "3", Author: "olga"})
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

func TestConflictIfMergedDocumentIsInvalid(t *testing.T) {
	a := newApplier(newFaultyStore(t))
	base := applyFirstDocument(t, a)
	without := base.withRevision(base.Revision)
	without.Services = map[model.ServiceName]Service{"odeslani": base.Services["odeslani"]}
	if _, err := a.Apply(t.Context(), Edit{Document: without, ChangeID: "1", Author: "jana"}); err != nil {
		t.Fatal(err)
	}
	limit := 5
	with := base.withRevision(base.Revision)
	with.Exceptions = append(with.Exceptions, Exception{
		Scope: Scope{Service: "nahled"}, Set: PolicyFields{QueueLimit: &limit}, Reason: "previews queue for long",
	})
	_, err := a.Apply(t.Context(), Edit{Document: with, ChangeID: "2", Author: "petr"})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !strings.Contains(err.Error(), "exceptions[service=nahled].scope.service: changed by jana in revision 2") {
		t.Errorf("got %v", err)
	}
}

func TestApplyPrunesHistory(t *testing.T) {
	store := newFaultyStore(t)
	a := newApplier(store)
	d := applyFirstDocument(t, a)
	for n := range HistoryLimit + 20 {
		accepted, err := a.Apply(t.Context(), Edit{Document: d.withQueueLimit(n), ChangeID: fmt.Sprint("c", n), Author: "jana"})
		if err != nil {
			t.Fatal(err)
		}
		d = accepted.Document
	}
	history, err := a.History(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(history) != HistoryLimit+1 || history[0].Revision != d.Revision || history[HistoryLimit].Revision != d.Revision-HistoryLimit {
		t.Errorf("%d documents, newest %d", len(history), history[0].Revision)
	}
	_, err = a.Apply(t.Context(), Edit{Document: d.withQueueLimit(3).withRevision(2), ChangeID: "old", Author: "petr"})
	var notFound *RevisionNotFoundError
	if !errors.As(err, &notFound) || notFound.Revision != 2 {
		t.Errorf("an edit of a pruned revision: %v", err)
	}
}

func TestApplyRejectsStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newApplier(newFaultyStore(t))
		base := applyFirstDocument(t, a)
		a.KnownRevision = func() model.Revision { return 9 }
		_, err := a.Apply(t.Context(), Edit{Document: base.withQueueLimit(1), ChangeID: "1", Author: "jana"})
		var stale *StaleReadError
		if !errors.As(err, &stale) || stale.Read != 1 || stale.Known != 9 {
			t.Errorf("got %v", err)
		}
	})
}

func TestApplyIsIdempotentPerChange(t *testing.T) {
	a := newApplier(newFaultyStore(t))
	base := applyFirstDocument(t, a)
	edit := Edit{Document: base.withQueueLimit(10), ChangeID: "1", Author: "jana"}
	for range 2 {
		accepted, err := a.Apply(t.Context(), edit)
		if err != nil || accepted.Document.Revision != 2 {
			t.Fatalf("%+v, %v", accepted, err)
		}
		// Another operator reverts the edit. Applying it again must not undo that.
		if _, err := a.Apply(t.Context(), Edit{Document: base.withRevision(2), ChangeID: "2", Author: "petr"}); err != nil {
			t.Fatal(err)
		}
	}
	current, err := a.Current(t.Context())
	if err != nil || current.Revision != 3 || current.Defaults.QueueLimit != nil {
		t.Errorf("%+v, %v", current, err)
	}
}

func TestOutcomeIsUnknownAfterLostResponsesUntilRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(t)
		a := newApplier(store)
		base := applyFirstDocument(t, a)
		store.next = func() fault { return responseLost }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		edit := Edit{Document: base.withQueueLimit(10), ChangeID: "1", Author: "jana"}
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
			return responseLost
		}
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = a.Apply(ctx, edit)
		var unknown *OutcomeUnknownError
		if !errors.As(err, &unknown) || unknown.ChangeID != "1" {
			t.Errorf("lost answers: %v", err)
		}
		store.next = func() fault { return ok }
		accepted, err := a.Apply(t.Context(), edit)
		if err != nil || accepted.Document.Revision != 2 || len(store.documents()) != 2 {
			t.Errorf("again: %+v, %v", accepted, err)
		}
	})
}

// Guards against a false conflict after a lost response: the write took effect, but
// the next read is stale and returns a state that conflicts with the edit.
func TestStaleReadAfterLostResponseCausesNoConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFaultyStore(t)
		a := newApplier(store)
		base := applyFirstDocument(t, a)
		for i, d := range []*Document{base.withQueueLimit(1), base.withRevision(2)} {
			if _, err := a.Apply(t.Context(), Edit{Document: d, ChangeID: fmt.Sprint("other", i), Author: "petr"}); err != nil {
				t.Fatal(err)
			}
		}
		store.staleVersions = 2
		// Faults of the store calls in order: read the current document, read two
		// revisions, archive, write, repeat the write, read the current document.
		script := []fault{ok, ok, ok, ok, responseLost, ok, stale}
		store.next = func() fault {
			if len(script) == 0 {
				return ok
			}
			f := script[0]
			script = script[1:]
			return f
		}
		accepted, err := a.Apply(t.Context(), Edit{Document: base.withQueueLimit(2), ChangeID: "own", Author: "jana"})
		if err != nil || accepted.Document.Revision != 4 || len(store.documents()) != 4 {
			t.Errorf("%+v, %v", accepted, err)
		}
	})
}

// attempt is one edit of the property test with the result of Apply.
type attempt struct {
	edit     Edit
	accepted *ApplyResult
	err      error
}

// noDeadline hides testing.T.Deadline, which panics inside a synctest bubble.
type noDeadline struct{ testing.TB }

// TestApplyUnderFaults applies edits concurrently over a store that loses responses,
// delays writes, is unavailable and returns stale reads.
func TestApplyUnderFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadline{t}, func(rt *rapid.T) {
			store := newFaultyStore(t)
			base := applyFirstDocument(t, newApplier(store))
			var attempts []*attempt
			for i := range rapid.IntRange(1, 4).Draw(rt, "operators") {
				name := fmt.Sprint("op", i)
				attempts = append(attempts, &attempt{edit: Edit{Document: drawEdit(rt, base), ChangeID: name, Author: name}})
			}
			store.staleVersions = rapid.IntRange(1, 3).Draw(rt, "age")
			calls := 0
			store.next = func() fault {
				if calls++; calls > 300 {
					return ok
				}
				return fault(rapid.IntRange(0, int(faultCount)-1).Draw(rt, "fault"))
			}
			started := 0
			run := func() {
				a := attempts[started]
				started++
				ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
				defer cancel()
				a.accepted, a.err = newApplier(store).Apply(ctx, a.edit)
			}
			// Before each store call another edit may be applied or delayed writes take effect.
			store.before = func() {
				if calls < 300 && started < len(attempts) && rapid.Bool().Draw(rt, "interleave") {
					run()
				}
				if rapid.IntRange(0, 3).Draw(rt, "arrive") == 0 {
					store.flush()
				}
			}
			for started < len(attempts) {
				run()
			}
			store.flush()
			requireConsistentHistory(rt, store.documents(), attempts)
		})
	})
}

// drawEdit returns a random edit of base.
func drawEdit(rt *rapid.T, base *Document) *Document {
	d := base.withRevision(base.Revision)
	if rapid.Bool().Draw(rt, "defaults") {
		d = d.withQueueLimit(rapid.IntRange(0, 2).Draw(rt, "limit"))
	}
	if rapid.Bool().Draw(rt, "weight") {
		d = d.withTailWeight(float64(rapid.IntRange(0, 2).Draw(rt, "weight")) / 2)
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
			Scope: Scope{Service: "nahled"}, Set: PolicyFields{HeldBody: &held}, Reason: "some good reason", Author: "x",
		})
	}
	return d
}

// requireConsistentHistory fails if the stored documents have gaps, are invalid,
// contain a change twice or don't match the results that the attempts got.
func requireConsistentHistory(rt *rapid.T, documents []*Document, attempts []*attempt) {
	applied := make(map[string]*Document)
	for i, d := range documents {
		if d.Revision != model.Revision(i+1) {
			rt.Fatalf("document %d has revision %d", i, d.Revision)
		}
		if applied[d.ChangeID] != nil {
			rt.Fatalf("change %s took effect twice", d.ChangeID)
		}
		if conflicts := d.validationConflicts(); len(conflicts) > 0 {
			rt.Fatalf("revision %d is invalid: %v", d.Revision, conflicts)
		}
		applied[d.ChangeID] = d
	}
	for _, a := range attempts {
		stored := applied[a.edit.ChangeID]
		var unknown *OutcomeUnknownError
		switch {
		case a.err == nil && a.accepted.Unchanged:
		case a.err == nil && (stored == nil || stored.Revision != a.accepted.Document.Revision):
			rt.Fatalf("Apply by %s returned revision %d; stored is %+v", a.edit.Author, a.accepted.Document.Revision, stored)
		case a.err == nil:
			requireOnlyEditApplied(rt, documents, a.edit, stored)
		case stored != nil && !errors.As(a.err, &unknown):
			rt.Fatalf("Apply by %s returned %v, but revision %d was stored", a.edit.Author, a.err, stored.Revision)
		}
	}
}

// requireOnlyEditApplied fails if a stored document differs from its predecessor in
// anything but the edit.
func requireOnlyEditApplied(rt *rapid.T, documents []*Document, edit Edit, got *Document) {
	baseLeaves, editedLeaves := documents[0].flatten(), edit.withAuthor().Document.flatten()
	before, after := documents[got.Revision-2].flatten(), got.flatten()
	for _, path := range unionPaths(baseLeaves, editedLeaves, before, after) {
		want := before[path].text
		if editedLeaves[path].text != baseLeaves[path].text {
			want = editedLeaves[path].text
		}
		if after[path].text != want {
			rt.Fatalf("revision %d, %s: got %s, want %s", got.Revision, path, after[path].text, want)
		}
	}
}
