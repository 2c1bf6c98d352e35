package replica

import (
	"context"
	"sync"
	"time"
)

// Breaker is a circuit breaker shared by the followers of one store. While it is
// open, only the follower whose call failed first probes the store; the others
// wait. It is safe for concurrent use.
type Breaker struct {
	// OnOpen, if set, is called after the breaker has opened. It must not change after the
	// first call to the store.
	OnOpen func()

	mu sync.Mutex
	// prober is the follower that probes the store while the breaker is open, or nil
	// while it is closed.
	prober *Follower
	// recovered is closed when the breaker closes; it is nil while the breaker is closed.
	recovered chan struct{}
	// cancels holds the function that cancels the current call of each follower.
	cancels map[*Follower]context.CancelFunc
	// lastFailureStarted is when the latest of the failed calls started.
	lastFailureStarted time.Time
}

// acquire waits until a follower may call the store and returns the context of its
// call. The error is that of ctx. If the follower had to wait, its next watch must
// be strongly consistent.
func (b *Breaker) acquire(ctx context.Context, f *Follower) (context.Context, context.CancelFunc, error) {
	for {
		b.mu.Lock()
		if b.prober == nil || b.prober == f {
			callCtx, cancel := context.WithCancel(ctx)
			if b.cancels == nil {
				b.cancels = make(map[*Follower]context.CancelFunc)
			}
			b.cancels[f] = cancel
			b.mu.Unlock()
			return callCtx, cancel, nil
		}
		recovered := b.recovered
		b.mu.Unlock()
		select {
		case <-recovered:
			f.requireStrong = true
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// recordFailure records a failed call with the time of its start and reports whether the
// follower is the prober. Opening the breaker cancels the calls of the other followers, whose
// responses may never arrive.
func (b *Breaker) recordFailure(f *Follower, startedAt time.Time) bool {
	isProber, opened := b.openFor(f, startedAt)
	if opened && b.OnOpen != nil {
		b.OnOpen()
	}
	return isProber
}

// openFor opens the breaker with f as the prober, unless it is open. It reports whether f
// is the prober and whether it opened the breaker.
func (b *Breaker) openFor(f *Follower, startedAt time.Time) (isProber, opened bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if startedAt.After(b.lastFailureStarted) {
		b.lastFailureStarted = startedAt
	}
	if b.prober == nil {
		opened = true
		b.prober, b.recovered = f, make(chan struct{})
		for other, cancel := range b.cancels {
			if other != f {
				cancel()
			}
		}
	}
	return b.prober == f, opened
}

// lastFailure returns when the latest of the failed calls started, or the zero time if none failed.
func (b *Breaker) lastFailure() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastFailureStarted
}

// recordSuccess records a successful call; one of the prober closes the breaker.
func (b *Breaker) recordSuccess(f *Follower) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.prober == f {
		close(b.recovered)
		b.prober, b.recovered = nil, nil
	}
}

// Open reports whether the breaker is open: the last call failed.
func (b *Breaker) Open() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.prober != nil
}
