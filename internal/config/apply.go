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

// Edit is a document that an operator wants in force.
type Edit struct {
	// Document holds the wanted values; its revision is the one the edit started from.
	Document *Document
	// Change identifies the edit. Applying the same change again has no second effect.
	Change string
	Author string
}

// Accepted reports an edit that is stored.
type Accepted struct {
	// Document is stored, Previous the one that it replaced.
	Document *Document
	Previous *Document
	// Rebased is set if other operators' edits were merged in.
	Rebased bool
	// Unchanged is set if the stored document had these values already.
	Unchanged bool
}

// Applier changes the stored configuration by conditional updates alone. It is
// safe for concurrent use, by any number of instances.
type Applier struct {
	Store store.Store
	// Known returns the highest revision that this instance has seen; a store
	// that answers with a lower one is not believed.
	Known    func() model.Revision
	Now      func() time.Time
	Recorder events.Recorder
}

const (
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// staleReads is the number of outdated answers in a row that are read again.
	staleReads = 10
)

// stored is the state of the configuration object.
type stored struct {
	document *Document
	version  store.Version
	raw      []byte
}

// Apply merges an edit into the stored document and returns once it is known to
// be stored. It tries again until ctx ends. Errors are *ConflictError,
// *BaseMissingError, *BaseGoneError, *StaleReadError, *DecodeError,
// *NotAppliedError (in all these cases the edit has no effect and won't have
// any) and *OutcomeUnknownError.
func (a *Applier) Apply(ctx context.Context, edit Edit) (*Accepted, error) {
	edit = edit.signed()
	var newer store.Version
	sent := false
	for {
		plan, err := a.plan(ctx, edit, newer)
		if err != nil {
			return nil, settle(err, edit, sent)
		}
		if plan.done {
			if sent && !plan.Unchanged {
				a.accepted(ctx, plan.Document)
			}
			return &plan.Accepted, nil
		}
		outcome, err := a.write(ctx, plan)
		sent = sent || outcome.lost
		switch {
		case err != nil:
			return nil, settle(err, edit, sent)
		case outcome.stored:
			a.accepted(ctx, plan.Document)
			return &plan.Accepted, nil
		}
		newer = max(outcome.current, plan.from.version+1)
	}
}

// DryRun returns what Apply would store now, without a revision of its own.
func (a *Applier) DryRun(ctx context.Context, edit Edit) (*Accepted, error) {
	plan, err := a.plan(ctx, edit.signed(), 0)
	if err != nil {
		return nil, settle(err, edit, false)
	}
	return &plan.Accepted, nil
}

// signed returns the edit with the author written into exceptions that lack one.
func (e Edit) signed() Edit {
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

// settle turns the end of an attempt into a statement about the edit. A conflict
// is found only after every revision since the edit's base was searched for the
// change, so that it is certain even if an answer was lost.
func settle(err error, edit Edit, sent bool) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return err
	}
	if sent {
		return &OutcomeUnknownError{Change: edit.Change, Cause: err}
	}
	var missing *BaseMissingError
	var gone *BaseGoneError
	var stale *StaleReadError
	var broken *DecodeError
	if errors.As(err, &missing) || errors.As(err, &gone) || errors.As(err, &stale) || errors.As(err, &broken) {
		return err
	}
	return &NotAppliedError{Cause: err}
}

// plan is one try: what to write on top of what was read.
type plan struct {
	Accepted
	from stored
	// done is set if there is nothing to write.
	done bool
}

// plan reads the stored document, at the given version or a newer one, and
// merges the edit into it.
func (a *Applier) plan(ctx context.Context, edit Edit, newer store.Version) (*plan, error) {
	from, err := a.readFresh(ctx, edit.Document.Revision, newer)
	if err != nil {
		return nil, err
	}
	p := &plan{from: from}
	p.Previous = from.document
	since, err := a.since(ctx, edit, from)
	if err != nil {
		return nil, err
	}
	if applied := find(since, edit.Change); applied >= 0 {
		p.Document, p.done = since[applied], true
		p.Previous = since[max(applied-1, 0)]
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
	p.Document.Change = edit.Change
	p.Document.Author = edit.Author
	p.Document.Time = &now
	return p, nil
}

// merge sets the document to be stored. The first of since is the edit's base,
// the last the stored document.
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

// blame names the last change of a path, or the last change of all if none
// touched it.
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

// find returns the position of the document that a change made, or -1.
func find(documents []*Document, change string) int {
	for i, d := range documents {
		if change != "" && d.Change == change {
			return i
		}
	}
	return -1
}

// since returns the documents from the edit's base to the stored one.
func (a *Applier) since(ctx context.Context, edit Edit, from stored) ([]*Document, error) {
	base, current := edit.Document.Revision, from.document.Revision
	if base == 0 && current > 0 {
		if from.document.Change == edit.Change {
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

// outcome is what became of a conditional update.
type outcome struct {
	stored bool
	// lost is set if the answer to at least one sending was lost.
	lost bool
	// current is a version that the object has reached, if the update was refused.
	current store.Version
}

// write stores the plan's document unless another one was stored since. A lost
// answer is followed by the same conditional update: at most one of the two can
// take effect, and a refusal proves that neither can from then on.
func (a *Applier) write(ctx context.Context, p *plan) (outcome, error) {
	var out outcome
	if err := a.preserve(ctx, p.from); err != nil {
		return out, err
	}
	raw, err := p.Document.Encode()
	if err != nil {
		return out, err
	}
	for wait := firstBackoff; ; wait = min(2*wait, maxBackoff) {
		_, err := a.Store.Put(ctx, store.ConfigKey, p.from.version, raw)
		var conflict *store.ConflictError
		var lost *store.UnknownOutcomeError
		switch {
		case err == nil:
			out.stored = true
			return out, nil
		case errors.As(err, &conflict):
			out.current = conflict.Current
			return out, nil
		case errors.As(err, &lost):
			out.lost = true
		case !transient(err):
			return out, err
		}
		if pause(ctx, wait) != nil {
			return out, err
		}
	}
}

// readFresh returns the stored document once it is not older than what is known.
func (a *Applier) readFresh(ctx context.Context, base model.Revision, newer store.Version) (stored, error) {
	known := max(base, a.Known())
	wait := firstBackoff
	for stale := 0; ; wait = min(2*wait, maxBackoff) {
		s, err := a.read(ctx)
		switch {
		case err == nil && s.version >= newer && s.document.Revision >= known:
			return s, nil
		case err == nil:
			stale++
			err = &StaleReadError{Read: s.document.Revision, Known: known}
		case !transient(err):
			return s, err
		}
		if stale > staleReads || pause(ctx, wait) != nil {
			return s, err
		}
	}
}

// read returns the stored document; that of an empty store has revision 0.
func (a *Applier) read(ctx context.Context) (stored, error) {
	object, err := a.Store.Get(ctx, store.ConfigKey)
	var absent *store.NotFoundError
	if errors.As(err, &absent) {
		return stored{document: new(Document)}, nil
	}
	if err != nil {
		return stored{}, err
	}
	d, err := Decode(object.Key, object.Value)
	return stored{document: d, version: object.Version, raw: object.Value}, err
}

// Current returns the stored document; that of an empty store has revision 0.
func (a *Applier) Current(ctx context.Context) (*Document, error) {
	s, err := a.readFresh(ctx, 0, 0)
	return s.document, err
}

// StoredRevision reads the stored revision once, without judging its age.
func (a *Applier) StoredRevision(ctx context.Context) (model.Revision, error) {
	s, err := a.read(ctx)
	if err != nil {
		return 0, err
	}
	return s.document.Revision, nil
}

func (a *Applier) accepted(ctx context.Context, d *Document) {
	a.Recorder.Record(events.Event{
		Kind: events.RevisionAccepted, Revision: d.Revision, Detail: fmt.Sprintf("applied by %s", d.Author),
	})
	a.prune(ctx, d.Revision)
}

// transient reports whether a call may succeed when it is made again.
func transient(err error) bool {
	var down *store.UnavailableError
	var budget *store.RateLimitError
	return errors.As(err, &down) || errors.As(err, &budget)
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
