// Package catalog follows the targets and the routes that a versioned store
// holds: list once, watch from there, start over when the history is gone. What
// was learnt last stays in use while the store is away.
package catalog

import (
	"context"
	"fmt"
	"time"
)

// Object is one object of the store, or the news that it was removed.
type Object struct {
	Name     string
	Revision uint64
	Deleted  bool
	// Value is the object as its writer encoded it; empty if Deleted.
	Value []byte
}

// Batch is the answer of a list or a watch.
type Batch struct {
	Objects []Object
	// AsOf is the store's revision that the batch reflects; a watch continues there.
	AsOf uint64
}

// Freshness says how new the answer of a watch has to be.
type Freshness uint8

const (
	// Newest asks for all that the store has acknowledged.
	Newest Freshness = iota
	// Cheap accepts an answer that may be seconds behind and costs a tenth.
	Cheap
)

// Source reads one kind of object. Implementations make at most one call for a
// page or a watch and are safe for concurrent use.
type Source interface {
	// List returns all objects, as new as the store has them.
	List(ctx context.Context) (Batch, error)
	// Watch returns what has changed after a revision, at the latest after wait,
	// then with an empty batch. It returns *HistoryGoneError if the store no
	// longer knows.
	Watch(ctx context.Context, after uint64, wait time.Duration, fresh Freshness) (Batch, error)
}

// HistoryGoneError reports that a watch can't continue and has to start over.
type HistoryGoneError struct{ After uint64 }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("the store's history after revision %d is gone", e.After)
}
