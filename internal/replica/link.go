package replica

import (
	"context"
	"sync"
	"time"
)

// Link is a circuit breaker shared by the followers of one store. While it is
// open, only the follower whose call failed first probes the store; the others
// wait. It is safe for concurrent use.
type Link struct {
	mu sync.Mutex
	// prober is the follower that probes the store while the breaker is open, or nil
	// while it is closed.
	prober *Follower
	// recovered is closed when the breaker closes; it is nil while the breaker is closed.
	recovered chan struct{}
	// staleUntil is the time until which stale reads may lag by seconds.
	staleUntil time.Time
	// cancels holds the function that cancels the current call of each follower.
	cancels map[*Follower]context.CancelFunc
}

// acquire waits until a follower may call the store and returns the context of its
// call. The error is that of ctx. If the follower had to wait, its next read must
// be a strong one.
func (l *Link) acquire(ctx context.Context, f *Follower) (context.Context, context.CancelFunc, error) {
	for {
		l.mu.Lock()
		if l.prober == nil || l.prober == f {
			callCtx, cancel := context.WithCancel(ctx)
			if l.cancels == nil {
				l.cancels = make(map[*Follower]context.CancelFunc)
			}
			l.cancels[f] = cancel
			l.mu.Unlock()
			return callCtx, cancel, nil
		}
		recovered := l.recovered
		l.mu.Unlock()
		select {
		case <-recovered:
			f.requireStrong = true
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// recordFailure records a failed call and reports whether the follower is the
// prober. Opening the breaker cancels the calls of the other followers, whose
// responses may never arrive.
func (l *Link) recordFailure(f *Follower) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.prober == nil {
		l.prober, l.recovered = f, make(chan struct{})
		for other, cancel := range l.cancels {
			if other != f {
				cancel()
			}
		}
	}
	return l.prober == f
}

// recordSuccess records a successful call; one of the prober closes the breaker.
func (l *Link) recordSuccess(f *Follower) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.prober == f {
		close(l.recovered)
		l.prober, l.recovered = nil, nil
	}
}

// Down reports whether the breaker is open: the last call failed.
func (l *Link) Down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.prober != nil
}

// markStale records that the store has discarded its history.
func (l *Link) markStale() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.staleUntil = time.Now().Add(staleReadWindow)
}

// Doubted reports whether stale reads may lag by seconds.
func (l *Link) Doubted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.staleUntil)
}
