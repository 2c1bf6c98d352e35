package limit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of Queue.Wait. Each says that the request was not run.
type (
	// FullError reports that the queue is full and no caller holds more of it
	// than this one.
	FullError struct{ RetryAfter time.Duration }
	// ShareError reports that the caller holds the largest part of a full queue.
	ShareError struct{ RetryAfter time.Duration }
	// LateError reports that the request can't be served before its deadline.
	LateError struct{ RetryAfter time.Duration }
)

func (*FullError) Error() string  { return "the queue is full" }
func (*ShareError) Error() string { return "the caller fills the queue" }
func (*LateError) Error() string  { return "the request can't be served in time" }

const (
	// repollInterval is how often the head of the queue tries again without a
	// signal, because other instances free slots too.
	repollInterval = 2 * time.Millisecond
	// maxHeads is the number of callers whose first request tries in one turn.
	maxHeads = 3
	// reserveTime is how long slots are kept free after a single request came.
	reserveTime = time.Second
	// remeasureInterval is how often the capacity is measured while it is in use.
	remeasureInterval = 500 * time.Millisecond
	// minRetryAfter is the shortest advice to a refused caller.
	minRetryAfter = time.Second
	// intervalWeight is the weight of a new sample in the moving average of the
	// time between two served requests, as a divisor.
	intervalWeight = 8
)

// Bounds are the limits of a queue; they follow the configuration.
type Bounds struct {
	// Length is the number of requests that may wait.
	Length int
	// Reserve is the share of the slots that a caller with a backlog leaves free
	// while others send single requests, 0 to 0.5.
	Reserve float64
}

// Queue holds the requests of one service that no target can take now. Callers
// take turns, so that one caller's backlog delays only its own requests. While
// nobody waits, its methods cost few atomic steps. It is safe for concurrent use.
type Queue struct {
	waiting atomic.Int64
	running atomic.Int64

	mu       sync.Mutex
	order    []*backlog // callers with waiting requests, the next to serve first
	callers  map[string]*backlog
	served   time.Time
	interval time.Duration
	polling  bool
	// capacity is the number of exchanges at which the targets were last full, at
	// measuredAt.
	capacity int64
	// singleAt is when a caller without a backlog last came while another had one.
	singleAt   time.Time
	reserve    float64
	measuredAt time.Time
}

// backlog holds the waiting requests of one caller, oldest first.
type backlog struct {
	caller  string
	waiters []*waiter
}

// waiter is one waiting request.
type waiter struct {
	try  func() bool
	done chan error
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{callers: make(map[string]*backlog)} }

// Empty reports whether no request waits, so that a new one may try at once.
func (q *Queue) Empty() bool { return q.waiting.Load() == 0 }

// Depth returns the number of waiting requests.
func (q *Queue) Depth() int { return int(q.waiting.Load()) }

// Wait holds a request until try reports true. Try is called with the queue
// locked, must not block and calls Acquired for what it takes. A request that
// can't be reached before the context's deadline is refused at once. Errors are
// *FullError, *ShareError, *LateError or the context's error.
func (q *Queue) Wait(ctx context.Context, caller string, bounds Bounds, try func() bool) error {
	w := &waiter{try: try, done: make(chan error, 1)}
	if err := q.join(ctx, caller, bounds, w); err != nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return q.leave(ctx, caller, w)
	}
}

// Acquired tells the queue that an exchange of its service begins.
func (q *Queue) Acquired() { q.running.Add(1) }

// Released tells the queue that an exchange of its service has ended.
func (q *Queue) Released() {
	q.running.Add(-1)
	if q.waiting.Load() > 0 {
		q.dispatch()
	}
}

func (q *Queue) join(ctx context.Context, caller string, bounds Bounds, w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.admit(ctx, caller, bounds.Length); err != nil {
		return err
	}
	q.reserve = bounds.Reserve
	b := q.callers[caller]
	if b == nil && len(q.order) > 0 {
		q.singleAt = time.Now()
	}
	if b == nil {
		b = &backlog{caller: caller}
		q.callers[caller] = b
		q.order = append(q.order, b)
	}
	b.waiters = append(b.waiters, w)
	if q.waiting.Add(1) == 1 {
		q.served = time.Now()
	}
	q.serve()
	if !q.polling && !q.Empty() {
		q.polling = true
		time.AfterFunc(repollInterval, q.poll)
	}
	return nil
}

// poll lets the head of the queue try again while any request waits.
func (q *Queue) poll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve()
	q.polling = !q.Empty()
	if q.polling {
		time.AfterFunc(repollInterval, q.poll)
	}
}

// admit checks the bounds for a new request. The caller holds q.mu.
func (q *Queue) admit(ctx context.Context, caller string, limit int) error {
	own := 0
	if b := q.callers[caller]; b != nil {
		own = len(b.waiters)
	}
	if q.Depth() == 0 {
		return nil
	}
	wait := q.expect(own)
	if deadline, ok := ctx.Deadline(); ok && wait > time.Until(deadline) {
		return &LateError{RetryAfter: max(minRetryAfter, wait)}
	}
	if q.Depth() < limit {
		return nil
	}
	longest := q.longest()
	if longest == nil || own+1 >= len(longest.waiters) {
		if own > 0 {
			return &ShareError{RetryAfter: max(minRetryAfter, wait)}
		}
		return &FullError{RetryAfter: max(minRetryAfter, wait)}
	}
	q.evict(longest, wait)
	return nil
}

// expect estimates the wait of a caller's next request. Callers take turns, so
// that it depends on the caller's own backlog. The caller holds q.mu.
func (q *Queue) expect(own int) time.Duration {
	ahead := min(q.Depth()+1, (own+1)*(len(q.order)+1))
	return time.Duration(ahead) * q.interval
}

func (q *Queue) longest() *backlog {
	var longest *backlog
	for _, b := range q.order {
		if longest == nil || len(b.waiters) > len(longest.waiters) {
			longest = b
		}
	}
	return longest
}

// evict refuses the newest request of a caller in favour of another's first.
func (q *Queue) evict(b *backlog, wait time.Duration) {
	last := b.waiters[len(b.waiters)-1]
	q.remove(b, len(b.waiters)-1)
	last.done <- &ShareError{RetryAfter: max(minRetryAfter, wait)}
}

func (q *Queue) leave(ctx context.Context, caller string, w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if b := q.callers[caller]; b != nil {
		for i, other := range b.waiters {
			if other == w {
				q.remove(b, i)
				return ctx.Err()
			}
		}
	}
	// Served or refused at the same moment.
	return <-w.done
}

func (q *Queue) dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve()
}

// serve lets waiting requests try in turns until none of the next callers'
// requests can be served. The caller holds q.mu.
func (q *Queue) serve() {
	for q.serveOne() {
	}
}

// serveOne serves the first request of one of the next callers. A request that
// may not use every target must not hold up the others for long. The caller
// holds q.mu.
func (q *Queue) serveOne() bool {
	for i, b := range q.order[:min(len(q.order), maxHeads)] {
		if q.heldBack(b) {
			continue
		}
		w := b.waiters[0]
		if !w.try() {
			q.capacity = q.running.Load()
			q.measuredAt = time.Now()
			continue
		}
		q.order = append(slices.Delete(q.order, i, i+1), b)
		q.remove(b, 0)
		q.measure()
		w.done <- nil
		return true
	}
	return false
}

// heldBack reports whether a caller with a backlog has to leave the last slots
// to callers that send single requests. The caller holds q.mu.
func (q *Queue) heldBack(b *backlog) bool {
	if len(b.waiters) < 2 || q.reserve <= 0 || q.capacity < 2 || time.Since(q.singleAt) > reserveTime {
		return false
	}
	kept := max(1, int64(q.reserve*float64(q.capacity)))
	// The targets may have more slots by now: in turns nobody is held back until
	// they are full.
	due := time.Since(q.measuredAt) >= remeasureInterval
	return !due && q.running.Load() >= q.capacity-kept
}

// measure updates the moving average of the time between two served requests.
func (q *Queue) measure() {
	now := time.Now()
	sample := now.Sub(q.served)
	q.served = now
	if q.interval == 0 {
		q.interval = sample
		return
	}
	q.interval += (sample - q.interval) / intervalWeight
}

// remove takes out a caller's i-th request. The caller holds q.mu.
func (q *Queue) remove(b *backlog, i int) {
	b.waiters = append(b.waiters[:i], b.waiters[i+1:]...)
	q.waiting.Add(-1)
	if len(b.waiters) > 0 {
		return
	}
	delete(q.callers, b.caller)
	for j, other := range q.order {
		if other == b {
			q.order = append(q.order[:j], q.order[j+1:]...)
			return
		}
	}
}
