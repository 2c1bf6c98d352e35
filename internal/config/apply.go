package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/store"
)

// Edit is a change that an operator makes to the configuration.
type Edit struct {
	// Document holds the desired values; its revision is the base of the edit.
	Document *Document
	// ChangeID is the ID that makes the edit idempotent.
	ChangeID string
	Author   string
}

// ApplyResult is the result of Apply and DryRun.
type ApplyResult struct {
	// Document is the resulting document.
	Document *Document
	// Previous is the document that it replaces.
	Previous *Document
	// Rebased is set if the edit was merged with edits made after its base revision.
	Rebased bool
	// Unchanged is set if the stored document already had these values.
	Unchanged bool
}

// Applier edits the stored configuration with conditional writes only. It is
// safe for concurrent use, and several instances may apply edits at the same time.
type Applier struct {
	Store store.Store
	// KnownRevision returns the highest revision that this instance has seen. Reads
	// that return a lower one are treated as stale.
	KnownRevision func() model.Revision
	Now           func() time.Time
	Recorder      events.Recorder
}

const (
	// initialBackoff is the delay before the first retry of a store call. It doubles
	// with each retry up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	// maxBackoff is the longest delay between two retries of a store call.
	maxBackoff = time.Second
	// maxStaleReads is the number of stale reads that are retried before Apply fails.
	maxStaleReads = 10
)

// storedDocument is the configuration document as read from the store.
type storedDocument struct {
	document *Document
	version  store.Version
	raw      []byte
}

// Apply merges an edit into the stored document and returns once the result is
// known to be stored. It retries version conflicts and transient errors of the
// store until ctx ends.
//
// It returns *ConflictError, *BaseMissingError, *RevisionNotFoundError,
// *StaleReadError, *DecodeError or *NotAppliedError if the edit has not taken effect
// and never will, and *OutcomeUnknownError if it may have taken effect.
func (a *Applier) Apply(ctx context.Context, edit Edit) (*ApplyResult, error) {
	edit = edit.withAuthor()
	var minVersion store.Version
	mayBeStored := false
	for {
		plan, err := a.plan(ctx, edit, minVersion)
		if err != nil {
			return nil, classifyError(err, edit, mayBeStored)
		}
		if plan.done {
			if mayBeStored && !plan.Unchanged {
				a.recordAccepted(ctx, plan.Document)
			}
			return &plan.ApplyResult, nil
		}
		result, err := a.replace(ctx, plan)
		mayBeStored = mayBeStored || result.responseLost
		switch {
		case err != nil:
			return nil, classifyError(err, edit, mayBeStored)
		case result.stored:
			a.recordAccepted(ctx, plan.Document)
			return &plan.ApplyResult, nil
		}
		minVersion = max(result.current, plan.from.version+1)
	}
}

// DryRun returns the result that Apply would have now and stores nothing. Errors
// are those of Apply except *OutcomeUnknownError.
func (a *Applier) DryRun(ctx context.Context, edit Edit) (*ApplyResult, error) {
	plan, err := a.plan(ctx, edit.withAuthor(), 0)
	if err != nil {
		return nil, classifyError(err, edit, false)
	}
	return &plan.ApplyResult, nil
}

// withAuthor returns a copy of the edit whose author is filled in for exceptions
// that have none.
func (e Edit) withAuthor() Edit {
	d := *e.Document
	d.Exceptions = append([]Exception(nil), d.Exceptions...)
	for i := range d.Exceptions {
		if d.Exceptions[i].Author == "" {
			d.Exceptions[i].Author = e.Author
		}
	}
	e.Document = &d
	return e
}

// classifyError converts an error into one that tells whether the edit took
// effect. A *ConflictError is final even if an earlier write may have been stored:
// it is returned only after the change was not found in any revision since the base.
func classifyError(err error, edit Edit, mayBeStored bool) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return err
	}
	if mayBeStored {
		return &OutcomeUnknownError{ChangeID: edit.ChangeID, Cause: err}
	}
	var missing *BaseMissingError
	var notFound *RevisionNotFoundError
	var stale *StaleReadError
	var decode *DecodeError
	if errors.As(err, &missing) || errors.As(err, &notFound) || errors.As(err, &stale) || errors.As(err, &decode) {
		return err
	}
	return &NotAppliedError{Cause: err}
}

// plan is one attempt: the document to write and the one that it replaces.
type plan struct {
	ApplyResult
	from storedDocument
	// done is set if no write is needed.
	done bool
}

// plan reads the stored document at minVersion or later and merges the edit into it.
func (a *Applier) plan(ctx context.Context, edit Edit, minVersion store.Version) (*plan, error) {
	from, err := a.readFresh(ctx, edit.Document.Revision, minVersion)
	if err != nil {
		return nil, err
	}
	p := &plan{from: from}
	p.Previous = from.document
	since, err := a.documentsSince(ctx, edit, from)
	if err != nil {
		return nil, err
	}
	if i := indexOfChange(since, edit.ChangeID); i >= 0 {
		p.Document, p.done = since[i], true
		p.Previous = since[max(i-1, 0)]
		return p, nil
	}
	if err := p.merge(edit, since); err != nil {
		return nil, err
	}
	if sameContent(p.Document, from.document) {
		p.Document, p.Unchanged, p.done = from.document, true, true
		return p, nil
	}
	now := a.Now().UTC()
	p.Document.Revision = from.document.Revision + 1
	p.Document.ChangeID = edit.ChangeID
	p.Document.Author = edit.Author
	p.Document.Time = &now
	return p, nil
}

// merge sets the document to be stored, or returns *ConflictError. The first
// element of since is the edit's base, the last the stored document.
func (p *plan) merge(edit Edit, since []*Document) error {
	base := since[0]
	merged, conflicts := merge(base, p.from.document, edit.Document)
	if len(conflicts) > 0 {
		for i := range conflicts {
			blame(&conflicts[i], since)
		}
		return &ConflictError{
			Base: base.Revision, Current: p.from.document.Revision, Author: edit.Author, Paths: conflicts,
		}
	}
	p.Document = merged
	p.Rebased = len(since) > 1
	return nil
}

// blame sets the author and revision of the last document in since that changed
// the path, or those of the stored document if none did.
func blame(c *PathConflict, since []*Document) {
	last := since[len(since)-1]
	c.Author, c.Revision = last.Author, last.Revision
	for i := len(since) - 1; i > 0; i-- {
		if since[i].flatten()[c.Path].text != since[i-1].flatten()[c.Path].text {
			c.Author, c.Revision = since[i].Author, since[i].Revision
			return
		}
	}
}

// indexOfChange returns the index of the document that the change produced, or -1.
func indexOfChange(documents []*Document, change string) int {
	for i, d := range documents {
		if change != "" && d.ChangeID == change {
			return i
		}
	}
	return -1
}

// documentsSince returns the documents from the edit's base to the stored one,
// both included. Errors are *BaseMissingError and those of Revision.
func (a *Applier) documentsSince(ctx context.Context, edit Edit, from storedDocument) ([]*Document, error) {
	base, current := edit.Document.Revision, from.document.Revision
	if base == 0 && current > 0 {
		if from.document.ChangeID == edit.ChangeID {
			return []*Document{from.document}, nil
		}
		return nil, &BaseMissingError{Current: current}
	}
	var out []*Document
	for revision := base; revision < current; revision++ {
		d, err := a.Revision(ctx, revision)
		if err != nil {
			return nil, err
		}
		out = append(out, d)
	}
	return append(out, from.document), nil
}

// writeResult is the result of a conditional write.
type writeResult struct {
	stored bool
	// responseLost is set if the response to at least one attempt was lost, so
	// that the write may have taken effect.
	responseLost bool
	// current is a version that the object has reached; set if the write was
	// rejected because of a version conflict.
	current store.Version
}

// replace stores the plan's document if the stored one is still the one that the
// plan was made from. After a lost response it repeats the same conditional write:
// at most one of the two can take effect, and a version conflict proves that
// neither can take effect any more.
func (a *Applier) replace(ctx context.Context, p *plan) (writeResult, error) {
	var result writeResult
	if err := a.archive(ctx, p.from); err != nil {
		return result, err
	}
	raw, err := p.Document.Encode()
	if err != nil {
		return result, err
	}
	for wait := initialBackoff; ; wait = min(2*wait, maxBackoff) {
		_, err := a.Store.Put(ctx, store.ConfigKey, p.from.version, raw)
		var conflict *store.ConflictError
		var lost *store.UnknownOutcomeError
		switch {
		case err == nil:
			result.stored = true
			return result, nil
		case errors.As(err, &conflict):
			result.current = conflict.Current
			return result, nil
		case errors.As(err, &lost):
			result.responseLost = true
		case !transient(err):
			return result, err
		}
		if sleep(ctx, wait) != nil {
			return result, err
		}
	}
}

// readFresh reads the stored document until it is at minVersion or later and its
// revision is neither below base nor below the known one. It returns
// *StaleReadError after too many stale reads.
func (a *Applier) readFresh(ctx context.Context, base model.Revision, minVersion store.Version) (storedDocument, error) {
	known := max(base, a.KnownRevision())
	wait := initialBackoff
	for stale := 0; ; wait = min(2*wait, maxBackoff) {
		s, err := a.read(ctx)
		switch {
		case err == nil && s.version >= minVersion && s.document.Revision >= known:
			return s, nil
		case err == nil:
			stale++
			err = &StaleReadError{Read: s.document.Revision, Known: known}
		case !transient(err):
			return s, err
		}
		if stale > maxStaleReads || sleep(ctx, wait) != nil {
			return s, err
		}
	}
}

// read returns the stored document, or one with revision 0 if there is none.
func (a *Applier) read(ctx context.Context) (storedDocument, error) {
	object, err := a.Store.Get(ctx, store.ConfigKey)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		return storedDocument{document: new(Document)}, nil
	}
	if err != nil {
		return storedDocument{}, err
	}
	d, err := Decode(object.Key, object.Value)
	return storedDocument{document: d, version: object.Version, raw: object.Value}, err
}

// Current returns the stored document, or one with revision 0 if there is none.
// Errors are *StaleReadError, *DecodeError and those of the store.
func (a *Applier) Current(ctx context.Context) (*Document, error) {
	s, err := a.readFresh(ctx, 0, 0)
	return s.document, err
}

// StoredRevision reads the stored revision once, without a check for staleness or
// a retry. It returns 0 if no document is stored.
func (a *Applier) StoredRevision(ctx context.Context) (model.Revision, error) {
	s, err := a.read(ctx)
	if err != nil {
		return 0, err
	}
	return s.document.Revision, nil
}

// recordAccepted records the event of an accepted revision and prunes the history.
func (a *Applier) recordAccepted(ctx context.Context, d *Document) {
	a.Recorder.Record(events.Event{
		Kind: events.RevisionAccepted, Revision: d.Revision, Detail: fmt.Sprintf("applied by %s", d.Author),
	})
	a.prune(ctx, d.Revision)
}

// transient reports whether a store call that failed with err is worth a retry.
func transient(err error) bool {
	var unavailable *store.UnavailableError
	var overBudget *store.RateLimitError
	return errors.As(err, &unavailable) || errors.As(err, &overBudget)
}

// sleep waits for d and returns nil, or ctx.Err() if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
