package platform

import (
	"context"
	"errors"
	"time"
)

const (
	followBase = 100 * time.Millisecond
	followMax  = 5 * time.Second
)

// Follow reports the state of the objects under a prefix until ctx ends: first
// all of them, then each change. It resumes after failures from where it was and
// lists again when the cursor is gone. For each key the reported versions only
// rise, also when the platform reorders events or answers from an old replica.
// The listed function, if not nil, is called after each complete list.
func Follow(ctx context.Context, s Store, prefix string, apply func(Change), listed func()) {
	f := follower{store: s, prefix: prefix, apply: apply, listed: listed, seen: make(map[string]sighting)}
	pause := Backoff{Base: followBase, Max: followMax}
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			_ = pause.Wait(ctx)
			continue
		}
		pause.Reset()
	}
}

// follower is the state of one Follow.
type follower struct {
	store    Store
	prefix   string
	apply    func(Change)
	listed   func()
	seen     map[string]sighting
	cursor   Version
	watching bool
}

// sighting is the newest reported state of a key.
type sighting struct {
	version Version
	deleted bool
}

func (f *follower) step(ctx context.Context) error {
	if !f.watching {
		return f.list(ctx)
	}
	batch, err := f.store.Watch(ctx, f.prefix, f.cursor)
	var gone *CursorGoneError
	if errors.As(err, &gone) {
		f.watching = false
		return nil
	}
	if err != nil {
		return err
	}
	f.take(batch)
	return nil
}

func (f *follower) list(ctx context.Context) error {
	batch, err := f.store.List(ctx, f.prefix)
	if err != nil {
		return err
	}
	if batch.Next < f.cursor {
		return &StaleError{Have: f.cursor, Got: batch.Next}
	}
	f.dropMissing(batch)
	f.take(batch)
	f.watching = true
	if f.listed != nil {
		f.listed()
	}
	return nil
}

// dropMissing reports the deletion of known objects that a newer list lacks.
func (f *follower) dropMissing(batch Batch) {
	present := make(map[string]bool, len(batch.Changes))
	for _, c := range batch.Changes {
		present[c.Key] = true
	}
	for key, last := range f.seen {
		if !present[key] && !last.deleted && last.version <= batch.Next {
			f.report(Change{Object: Object{Key: key, Version: batch.Next}, Deleted: true})
		}
	}
}

func (f *follower) take(batch Batch) {
	for _, c := range batch.Changes {
		if c.Version > f.seen[c.Key].version {
			f.report(c)
		}
	}
	f.cursor = max(f.cursor, batch.Next)
}

func (f *follower) report(c Change) {
	f.seen[c.Key] = sighting{version: c.Version, deleted: c.Deleted}
	f.apply(c)
}
