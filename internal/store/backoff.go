package store

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponential delays with jitter. The zero value of its unexported
// fields is ready to use. It is not safe for concurrent use.
type Backoff struct {
	// Base is the first delay and Max the longest, both before jitter.
	Base, Max time.Duration
	next      time.Duration
}

// Next returns the next delay: a value that doubles from Base to Max, multiplied by
// a random factor between 0.5 and 1.5.
func (b *Backoff) Next() time.Duration {
	b.next = min(max(b.next, b.Base), b.Max)
	delay := b.next/2 + rand.N(b.next+1)
	b.next *= 2
	return delay
}

// Reset restarts the delays at Base.
func (b *Backoff) Reset() { b.next = 0 }

// Wait sleeps for the next delay. It returns the context's error if ctx ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
