package config

import (
	"fmt"
	"strings"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strict"
)

// InvalidError reports every mistake of a document.
type InvalidError struct{ Problems strict.Problems }

func (e *InvalidError) Error() string { return e.Problems.Error() }

// DecodeError reports a stored document that can't be read.
type DecodeError struct {
	Key   string
	Cause error
}

func (e *DecodeError) Error() string { return "stored document " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// PathConflict is one value that two operators changed differently.
type PathConflict struct {
	Path string `json:"path"`
	// Author and Revision are those of the change that is stored already.
	Author   string         `json:"author"`
	Revision model.Revision `json:"revision"`
	// Base, Stored and Edited are the three values as JSON; empty means absent.
	Base   string `json:"base,omitempty"`
	Stored string `json:"stored,omitempty"`
	Edited string `json:"edited,omitempty"`
	// Reason is set if the values are compatible one by one but not together.
	Reason string `json:"reason,omitempty"`
}

// ConflictError reports an edit that overlaps with one that was accepted after
// the revision that the edit started from. Nothing was changed.
type ConflictError struct {
	// Base is the revision that the edit started from, Current the stored one.
	Base    model.Revision `json:"base"`
	Current model.Revision `json:"current"`
	// Author is the operator whose edit was refused.
	Author string         `json:"author"`
	Paths  []PathConflict `json:"paths"`
}

func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the edit of revision %d by %s overlaps with changes up to revision %d:", e.Base, e.Author, e.Current)
	for _, p := range e.Paths {
		fmt.Fprintf(&b, "\n  %s: changed by %s in revision %d", p.Path, p.Author, p.Revision)
		if p.Reason != "" {
			b.WriteString(" (" + p.Reason + ")")
		}
	}
	return b.String()
}

// BaseMissingError reports a document that doesn't say which revision it was
// edited from although one is stored.
type BaseMissingError struct{ Current model.Revision }

func (e *BaseMissingError) Error() string {
	return fmt.Sprintf("the document has no revision, but revision %d is stored; start from it", e.Current)
}

// BaseGoneError reports an edit whose starting revision, or one after it, is no
// longer in the history, so that it can't be compared. Nothing was changed.
type BaseGoneError struct{ Revision model.Revision }

func (e *BaseGoneError) Error() string {
	return fmt.Sprintf("revision %d is not in the history; edit the current document again", e.Revision)
}

// StaleReadError reports that the store keeps answering with a revision below
// one that is known to be accepted. Nothing was changed.
type StaleReadError struct {
	Read  model.Revision
	Known model.Revision
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("the store answers with revision %d although %d is in force or was given as the start of the edit", e.Read, e.Known)
}

// NotAppliedError reports an edit that certainly did not take effect.
type NotAppliedError struct{ Cause error }

func (e *NotAppliedError) Error() string { return "nothing was changed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports an edit whose write was sent and whose answer is
// lost. Applying it again with the same change ID has no second effect.
type OutcomeUnknownError struct {
	Change string
	Cause  error
}

func (e *OutcomeUnknownError) Error() string {
	return "change " + e.Change + " may or may not have taken effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }
