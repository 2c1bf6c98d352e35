// Package replica keeps a local copy of the targets and routes in a versioned
// store. It lists all objects once, watches for changes from that revision, and
// lists again when the store has discarded the history. The last known state stays
// in use while the store is unavailable.
package replica

import (
	"context"
	"fmt"
	"time"
)

// Object is one object of the store, or its deletion.
type Object struct {
	Name string
	// Revision is the position of the object's last change, in the era of the response.
	Revision Position
	Deleted  bool
	// Value is the encoded object; it is empty if Deleted is set.
	Value []byte
}

// Batch is the result of a list or watch call.
type Batch struct {
	Objects []Object
	// AsOf is the store's position that the batch reflects; the next watch starts there.
	AsOf Position
	// Strong is set by the follower if the batch shows all writes that the store had
	// acknowledged before the call.
	Strong bool
	// BeganAt is when the call began; the follower sets it.
	BeganAt time.Time
}

// Consistency is the consistency required of a watch.
type Consistency uint8

const (
	// Strong requires all writes that the store has acknowledged.
	Strong Consistency = iota
	// Eventual allows an eventually consistent response, which may lag by seconds but
	// costs a tenth.
	Eventual
)

// Source reads the objects of one kind. Implementations don't retry and are safe
// for concurrent use. They call progress whenever a part of the response has arrived.
type Source interface {
	// List returns all objects at the store's latest revision. If there are more than maxPages
	// pages of them, it stops and returns *TooLongError; zero means any number. It returns
	// *EraChangedError if the store returned from an older copy between two pages.
	List(ctx context.Context, maxPages int, progress func()) (Batch, error)
	// Watch returns the changes after a position. Without a change it returns an
	// empty batch after wait. It returns *HistoryGoneError if the store has discarded
	// the history after that position, and an error that wraps *ResponseTooLargeError if the
	// changes are larger than the source accepts. The batch may be of another era.
	Watch(ctx context.Context, after Position, wait time.Duration, consistency Consistency, progress func()) (Batch, error)
}

// TooLongError reports a list that was not read because it has more pages than asked for.
type TooLongError struct{ Pages int }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("the list has more than %d pages", e.Pages)
}

// ResponseTooLargeError reports a response of more than Limit bytes.
type ResponseTooLargeError struct{ Limit int }

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the response has more than %d bytes", e.Limit)
}

// HistoryGoneError reports that a watch can't resume at a revision and that the
// objects must be listed again.
type HistoryGoneError struct{ After Position }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("the store has discarded its history after revision %v", e.After)
}

// EraChangedError reports a list whose pages are of different eras.
type EraChangedError struct{ Before, After uint64 }

func (e *EraChangedError) Error() string {
	return fmt.Sprintf("the store went from era %d to %d during the list", e.Before, e.After)
}

// EarlierEraError reports a response of an earlier era than that of a position known before.
type EarlierEraError struct{ Known, AsOf Position }

func (e *EarlierEraError) Error() string {
	return fmt.Sprintf("response as of %v of an earlier era than %v", e.AsOf, e.Known)
}
