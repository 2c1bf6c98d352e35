package store

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff yields growing pauses with jitter. The zero value starts at Base. It
// is not safe for concurrent use.
type Backoff struct {
	// Base is the first pause and Max the longest, both before jitter.
	Base, Max time.Duration
	next      time.Duration
}

// Next returns the next pause: between half and one and a half times a value
// that doubles from Base to Max.
func (b *Backoff) Next() time.Duration {
	b.next = min(max(b.next, b.Base), b.Max)
	pause := b.next/2 + rand.N(b.next+1)
	b.next *= 2
	return pause
}

// Reset starts over at Base.
func (b *Backoff) Reset() { b.next = 0 }

// Wait sleeps for the next pause. It returns the context's error if it ends first.
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
