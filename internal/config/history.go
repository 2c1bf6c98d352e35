package config

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// HistoryKept is the number of superseded documents in the store.
	HistoryKept = 100
	// pruneWindow is the number of documents beyond HistoryKept that each
	// accepted change looks at, so that a failed deletion is made up for.
	pruneWindow = 3
)

// historyKey pads the revision, so that keys sort by it.
func historyKey(revision model.Revision) string {
	return fmt.Sprintf("%s%012d", store.ConfigHistoryPrefix, revision)
}

// preserve writes the document that is about to be superseded into the history.
// It comes before the change, so that each accepted document can be found by its
// revision as long as the history reaches back to it.
func (a *Applier) preserve(ctx context.Context, s stored) error {
	if s.document.Revision == 0 {
		return nil
	}
	for wait := firstBackoff; ; wait = min(2*wait, maxBackoff) {
		_, err := a.Store.Put(ctx, historyKey(s.document.Revision), 0, s.raw)
		var conflict *store.ConflictError
		var lost *store.UnknownOutcomeError
		switch {
		case err == nil || errors.As(err, &conflict):
			return nil
		case !errors.As(err, &lost) && !transient(err):
			return err
		}
		if pause(ctx, wait) != nil {
			return err
		}
	}
}

// Revision returns a superseded document, or *BaseGoneError.
func (a *Applier) Revision(ctx context.Context, revision model.Revision) (*Document, error) {
	if revision == 0 {
		return new(Document), nil
	}
	for wait := firstBackoff; ; wait = min(2*wait, maxBackoff) {
		object, err := a.Store.Get(ctx, historyKey(revision))
		var absent *store.NotFoundError
		switch {
		case err == nil:
			return Decode(object.Key, object.Value)
		case errors.As(err, &absent) && wait >= maxBackoff:
			return nil, &BaseGoneError{Revision: revision}
		case !errors.As(err, &absent) && !transient(err):
			return nil, err
		}
		if pause(ctx, wait) != nil {
			return nil, err
		}
	}
}

// History returns the stored document and its predecessors, the newest first.
func (a *Applier) History(ctx context.Context) ([]*Document, error) {
	current, err := a.Current(ctx)
	if err != nil {
		return nil, err
	}
	batch, err := a.Store.List(ctx, store.ConfigHistoryPrefix)
	if err != nil {
		return nil, err
	}
	out := []*Document{current}
	for _, change := range batch.Changes {
		d, err := Decode(change.Key, change.Value)
		if err != nil {
			return nil, err
		}
		if d.Revision < current.Revision {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b *Document) int { return cmp.Compare(b.Revision, a.Revision) })
	return out, nil
}

// prune deletes the documents that are too old. A failure only leaves one more
// document, which a later change looks at again.
func (a *Applier) prune(ctx context.Context, current model.Revision) {
	for back := model.Revision(HistoryKept + 1); back <= HistoryKept+pruneWindow && back < current; back++ {
		object, err := a.Store.Get(ctx, historyKey(current-back))
		if err != nil {
			continue
		}
		_ = a.Store.Delete(ctx, object.Key, object.Version)
	}
}
