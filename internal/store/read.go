package store

import (
	"context"
	"errors"
)

// Read returns an object; an absent one has version zero.
func Read(ctx context.Context, s Store, key string) (Object, error) {
	object, err := s.Get(ctx, key)
	var absent *NotFoundError
	if errors.As(err, &absent) {
		return Object{Key: key}, nil
	}
	return object, err
}
