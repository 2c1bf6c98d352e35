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
	// HistoryLimit is the number of superseded documents that the store keeps.
	HistoryLimit = 100
	// pruneLookback is the number of documents beyond HistoryLimit that are deleted
	// after each accepted edit. It is above 1 so that failed deletions are retried.
	pruneLookback = 3
)

// historyKey returns the store key of a superseded document. The revision is
// zero-padded so that keys sort by it.
func historyKey(revision model.Revision) string {
	return fmt.Sprintf("%s%012d", store.ConfigHistoryPrefix, revision)
}

// archive writes the document that is about to be superseded to the history. It
// must succeed before the new document is written, so that the history has no gaps.
// A version conflict means that the document is in the history already.
func (a *Applier) archive(ctx context.Context, s storedDocument) error {
	if s.document.Revision == 0 {
		return nil
	}
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
		_, err := a.Store.Put(ctx, historyKey(s.document.Revision), 0, s.raw)
		var conflict *store.ConflictError
		var lost *store.UnknownOutcomeError
		switch {
		case err == nil || errors.As(err, &conflict):
			return nil
		case !errors.As(err, &lost) && !transient(err):
			return err
		}
		if sleep(ctx, wait) != nil {
			return err
		}
	}
}

// Revision returns the superseded document of a revision; that of revision 0 is
// empty. A missing document is looked up again until the backoff reaches its
// maximum, since a read may be stale. Errors are *RevisionNotFoundError, *DecodeError
// and those of the store.
func (a *Applier) Revision(ctx context.Context, revision model.Revision) (*Document, error) {
	if revision == 0 {
		return new(Document), nil
	}
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
		object, err := a.Store.Get(ctx, historyKey(revision))
		var notFound *store.NotFoundError
		switch {
		case err == nil:
			return Decode(object.Key, object.Value)
		case errors.As(err, &notFound) && wait >= maxBackoff:
			return nil, &RevisionNotFoundError{Revision: revision}
		case !errors.As(err, &notFound) && !transient(err):
			return nil, err
		}
		if sleep(ctx, wait) != nil {
			return nil, err
		}
	}
}

// History returns the stored document and the superseded ones, newest first.
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

// prune deletes documents beyond HistoryLimit. Errors are ignored, since later edits
// retry the deletion.
func (a *Applier) prune(ctx context.Context, current model.Revision) {
	for age := model.Revision(HistoryLimit + 1); age <= HistoryLimit+pruneLookback && age < current; age++ {
		object, err := a.Store.Get(ctx, historyKey(current-age))
		if err != nil {
			continue
		}
		_ = a.Store.Delete(ctx, object.Key, object.Version)
	}
}
