package store

import (
	"context"
	"errors"
)

// GetOrZero returns an object, or one with version zero if it doesn't exist.
func GetOrZero(ctx context.Context, s Store, key string) (Object, error) {
	object, err := s.Get(ctx, key)
	var notFound *NotFoundError
	if errors.As(err, &notFound) {
		return Object{Key: key}, nil
	}
	return object, err
}
