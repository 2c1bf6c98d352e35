package config

import (
	"fmt"
	"strings"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/strictyaml"
)

// InvalidError reports a document that failed validation, with all its errors.
type InvalidError struct{ Errors strictyaml.ErrorList }

func (e *InvalidError) Error() string { return e.Errors.Error() }

// DecodeError reports a stored document that can't be decoded.
type DecodeError struct {
	Key   string
	Cause error
}

func (e *DecodeError) Error() string { return "stored document " + e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// PathConflict is a merge conflict at one path of the document.
type PathConflict struct {
	Path string `json:"path"`
	// Author and Revision identify the stored change that conflicts with the edit.
	Author   string         `json:"author"`
	Revision model.Revision `json:"revision"`
	// Base, Stored and Edited are the values in the base revision, the stored
	// document and the edit, as JSON; empty means absent.
	Base   string `json:"base,omitempty"`
	Stored string `json:"stored,omitempty"`
	Edited string `json:"edited,omitempty"`
	// Reason is set if each value merges without a conflict but the merged document
	// is invalid.
	Reason string `json:"reason,omitempty"`
}

// ConflictError reports an edit that conflicts with one that was accepted after
// the edit's base revision. The stored document was not changed.
type ConflictError struct {
	// Base is the edit's base revision, Current the stored one.
	Base    model.Revision `json:"base"`
	Current model.Revision `json:"current"`
	// Author is the operator whose edit was rejected.
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

// BaseMissingError reports an edit without a base revision while a document is
// stored. The stored document was not changed.
type BaseMissingError struct{ Current model.Revision }

func (e *BaseMissingError) Error() string {
	return fmt.Sprintf("the document has no revision, but revision %d is stored; start from it", e.Current)
}

// RevisionNotFoundError reports a revision that is not in the history. An edit that
// needs it for the merge is not applied.
type RevisionNotFoundError struct{ Revision model.Revision }

func (e *RevisionNotFoundError) Error() string {
	return fmt.Sprintf("revision %d is not in the history; edit the current document again", e.Revision)
}

// StaleReadError reports that the store keeps returning a revision below one that
// is known to be accepted. The stored document was not changed.
type StaleReadError struct {
	Read  model.Revision
	Known model.Revision
}

func (e *StaleReadError) Error() string {
	return fmt.Sprintf("the store answers with revision %d although %d is in force or was given as the start of the edit", e.Read, e.Known)
}

// NotAppliedError reports an edit that did not take effect and never will.
type NotAppliedError struct{ Cause error }

func (e *NotAppliedError) Error() string { return "nothing was changed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NotAppliedError) Unwrap() error { return e.Cause }

// OutcomeUnknownError reports an edit whose write may have taken effect, because
// the response was lost. It is safe to apply the edit again with the same change ID.
type OutcomeUnknownError struct {
	ChangeID string
	Cause    error
}

func (e *OutcomeUnknownError) Error() string {
	return "change " + e.ChangeID + " may or may not have taken effect: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }
