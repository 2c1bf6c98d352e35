package catalog

import (
	"context"
	"sync"
	"time"
)

// Link is what several followers of one store know of the way there. While it is
// down, the follower that found it so asks alone, and the others wait. It is safe
// for concurrent use.
type Link struct {
	mu sync.Mutex
	// asking is the follower that asks while the link is down, else nil.
	asking *Follower
	// up is closed when the link comes back; it is nil while the link is up.
	up chan struct{}
	// doubtedUntil is until when cheap answers may be seconds behind.
	doubtedUntil time.Time
	// calls ends the running call of each follower.
	calls map[*Follower]context.CancelFunc
}

// enter waits until a follower may call and returns the context of its call.
func (l *Link) enter(ctx context.Context, f *Follower) (context.Context, context.CancelFunc, error) {
	for {
		l.mu.Lock()
		if l.asking == nil || l.asking == f {
			callCtx, cancel := context.WithCancel(ctx)
			if l.calls == nil {
				l.calls = make(map[*Follower]context.CancelFunc)
			}
			l.calls[f] = cancel
			l.mu.Unlock()
			return callCtx, cancel, nil
		}
		up := l.up
		l.mu.Unlock()
		select {
		case <-up:
			f.verify = true
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// lost takes note of a follower's failed call. It reports whether the follower is
// the one that asks from now on. The calls of the others are ended: what they wait
// for may never come.
func (l *Link) lost(f *Follower) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asking == nil {
		l.asking, l.up = f, make(chan struct{})
		for other, cancel := range l.calls {
			if other != f {
				cancel()
			}
		}
	}
	return l.asking == f
}

// regained takes note of a good call and lets the others call again.
func (l *Link) regained(f *Follower) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asking == f {
		close(l.up)
		l.asking, l.up = nil, nil
	}
}

// Down reports whether the last call failed.
func (l *Link) Down() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asking != nil
}

// doubt takes note of a lost history.
func (l *Link) doubt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubtedUntil = time.Now().Add(doubtTime)
}

// Doubted reports whether cheap answers may be seconds behind.
func (l *Link) Doubted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.doubtedUntil)
}
