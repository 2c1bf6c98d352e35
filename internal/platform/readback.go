package platform

import (
	"context"
	"errors"
	"time"
)

const (
	readBackBase = 20 * time.Millisecond
	readBackMax  = time.Second
)

// Mine reports whether a stored value shows that an uncertain write took effect.
// It must also recognise the write beneath later writes of others, for example
// by an attempt ID that later writers keep.
type Mine func(value []byte) bool

// Update writes value like Store.Put and resolves a lost answer by reading back.
// While the object is still at the expected version the write may land late, so
// it is repeated under the same condition: at most one of the two takes effect.
// It returns *ConflictError once another write has made ours impossible, and
// *LostAnswerError if the object was deleted meanwhile or ctx ends before the
// outcome is known. An object that may be deleted must not be created by Update.
func Update(ctx context.Context, s Store, key string, expect Version, value []byte, mine Mine) (Version, error) {
	version, err := s.Put(ctx, key, expect, value)
	if !Uncertain(err) {
		return version, err
	}
	lost := err
	pause := Backoff{Base: readBackBase, Max: readBackMax}
	for pause.Wait(ctx) == nil {
		object, err := Read(ctx, s, key)
		switch {
		case err != nil:
			continue
		case object.Version > 0 && mine(object.Value):
			return object.Version, nil
		case object.Version > expect:
			return 0, &ConflictError{Key: key, Expect: expect, Current: object.Version}
		}
		version, err = s.Put(ctx, key, expect, value)
		var conflict *ConflictError
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict) && conflict.Current == 0 && expect > 0:
			return 0, lost
		}
	}
	return 0, lost
}

// Read returns an object; an absent one has version zero.
func Read(ctx context.Context, s Store, key string) (Object, error) {
	object, err := s.Get(ctx, key)
	var absent *NotFoundError
	if errors.As(err, &absent) {
		return Object{Key: key}, nil
	}
	return object, err
}
