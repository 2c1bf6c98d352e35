package limit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Errors of Queue.Wait. Each means that the request was not run. RetryAfter is the delay
// after which the caller should retry. The texts are sent to callers.
type (
	// QueueFullError reports that the queue is full, that this caller has no request in
	// it and that no other caller has more than one.
	QueueFullError struct{ RetryAfter time.Duration }
	// CallerShareError reports that the queue is full and that this caller has to give
	// way: no other caller has at least two more requests in it, or the request was
	// evicted in favor of another caller's.
	CallerShareError struct{ RetryAfter time.Duration }
	// DeadlineError reports that the request is not expected to be served before its
	// deadline.
	DeadlineError struct{ RetryAfter time.Duration }
)

func (*QueueFullError) Error() string   { return "the queue is full" }
func (*CallerShareError) Error() string { return "the caller fills the queue" }
func (*DeadlineError) Error() string    { return "the request can't be served in time" }

const (
	// pollInterval is the interval at which the head of the queue tries again without a
	// release. Other instances free slots of the targets too, which this one is not told.
	pollInterval = 2 * time.Millisecond
	// maxHeads is the number of callers whose first request is tried in one turn.
	maxHeads = 3
	// reserveDuration is how long slots stay reserved after a caller without a backlog
	// sent a request.
	reserveDuration = time.Second
	// capacityRefreshInterval is the age at which Queue.capacity is determined again while
	// slots are reserved.
	capacityRefreshInterval = 500 * time.Millisecond
	// minRetryAfter is the shortest delay that is advised to a refused caller.
	minRetryAfter = time.Second
	// intervalSmoothing is the divisor for the weight of a new sample in the moving
	// average of the time between two served requests.
	intervalSmoothing = 8
)

// QueueLimits are the limits of a queue. They are passed with each request, since the
// configuration may change.
type QueueLimits struct {
	// Length is the largest number of waiting requests.
	Length int
	// ReservedShare is the share of the slots, from 0 to 0.5, that a caller with a backlog
	// leaves free while other callers send single requests.
	ReservedShare float64
}

// Queue holds the requests of one service for which no target has a free slot. Callers
// are served round-robin, so that a caller's backlog delays only its own requests. While
// no request waits, the methods need only a few atomic operations. It is safe for
// concurrent use.
type Queue struct {
	waiting atomic.Int64
	// running is the number of exchanges of the service that this instance has running.
	running atomic.Int64

	mu              sync.Mutex
	rotation        []*callerQueue // callers with waiting requests, the next to be served first
	byCaller        map[string]*callerQueue
	lastServedAt    time.Time
	serviceInterval time.Duration
	polling         bool
	// capacity is the number of running exchanges when the targets were last found full,
	// at capacityAt.
	capacity int64
	// lastSingleAt is when a caller without waiting requests last came while another had
	// some.
	lastSingleAt  time.Time
	reservedShare float64
	capacityAt    time.Time
}

// callerQueue holds the waiting requests of one caller, the oldest first.
type callerQueue struct {
	caller  string
	waiters []*waiter
}

// waiter is one waiting request.
type waiter struct {
	try  func() bool
	done chan error
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{byCaller: make(map[string]*callerQueue)} }

// Empty reports whether no request waits, so that a new one may try at once.
func (q *Queue) Empty() bool { return q.waiting.Load() == 0 }

// Depth returns the number of waiting requests.
func (q *Queue) Depth() int { return int(q.waiting.Load()) }

// Wait blocks until try reports true. The queue calls try with its lock held; try must
// not block and must call Acquired when it takes a slot. A request that is not expected
// to be served before the context's deadline is refused at once. Errors are
// *QueueFullError, *CallerShareError, *DeadlineError or the context's error.
func (q *Queue) Wait(ctx context.Context, caller string, limits QueueLimits, try func() bool) error {
	w := &waiter{try: try, done: make(chan error, 1)}
	if err := q.enqueue(ctx, caller, limits, w); err != nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return q.abandon(ctx, caller, w)
	}
}

// Acquired counts the start of an exchange of the service.
func (q *Queue) Acquired() { q.running.Add(1) }

// Release ends an exchange of the service: free must free its slot and must not block.
// Then waiting requests are served. While requests wait, free runs with the queue's lock
// held, since a slot that became free between two tries of one turn would go to a caller
// whose turn comes later.
func (q *Queue) Release(free func()) {
	if q.waiting.Load() == 0 {
		free()
		q.running.Add(-1)
		if q.waiting.Load() > 0 {
			q.lockAndServe()
		}
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	free()
	q.running.Add(-1)
	q.serve()
}

// enqueue adds a request, unless it has to be refused, and serves what can be served.
func (q *Queue) enqueue(ctx context.Context, caller string, limits QueueLimits, w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err := q.admit(ctx, caller, limits.Length); err != nil {
		return err
	}
	q.reservedShare = limits.ReservedShare
	c := q.byCaller[caller]
	if c == nil && len(q.rotation) > 0 {
		q.lastSingleAt = time.Now()
	}
	if c == nil {
		c = &callerQueue{caller: caller}
		q.byCaller[caller] = c
		q.rotation = append(q.rotation, c)
	}
	c.waiters = append(c.waiters, w)
	if q.waiting.Add(1) == 1 {
		q.lastServedAt = time.Now()
	}
	q.serve()
	if !q.polling && !q.Empty() {
		q.polling = true
		time.AfterFunc(pollInterval, q.poll)
	}
	return nil
}

// poll serves requests and reschedules itself while any wait.
func (q *Queue) poll() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve()
	q.polling = !q.Empty()
	if q.polling {
		time.AfterFunc(pollInterval, q.poll)
	}
}

// admit returns an error if a new request has to be refused. If the queue is full, it may
// make room by evicting the newest request of the caller with the most. The caller holds
// q.mu.
func (q *Queue) admit(ctx context.Context, caller string, limit int) error {
	ownWaiting := 0
	if c := q.byCaller[caller]; c != nil {
		ownWaiting = len(c.waiters)
	}
	if q.Depth() == 0 {
		return nil
	}
	wait := q.expectedWait(ownWaiting)
	if deadline, ok := ctx.Deadline(); ok && wait > time.Until(deadline) {
		return &DeadlineError{RetryAfter: max(minRetryAfter, wait)}
	}
	if q.Depth() < limit {
		return nil
	}
	longestQueue := q.longestQueue()
	if longestQueue == nil || ownWaiting+1 >= len(longestQueue.waiters) {
		if ownWaiting > 0 {
			return &CallerShareError{RetryAfter: max(minRetryAfter, wait)}
		}
		return &QueueFullError{RetryAfter: max(minRetryAfter, wait)}
	}
	q.evict(longestQueue, wait)
	return nil
}

// expectedWait estimates the wait of a new request of a caller that has ownWaiting
// requests in the queue. Since callers are served in turns, it depends on the caller's
// own backlog. The caller holds q.mu.
func (q *Queue) expectedWait(ownWaiting int) time.Duration {
	ahead := min(q.Depth()+1, (ownWaiting+1)*(len(q.rotation)+1))
	return time.Duration(ahead) * q.serviceInterval
}

// longestQueue returns the queue of the caller with the most waiting requests, or nil if
// none waits. The caller holds q.mu.
func (q *Queue) longestQueue() *callerQueue {
	var longestQueue *callerQueue
	for _, c := range q.rotation {
		if longestQueue == nil || len(c.waiters) > len(longestQueue.waiters) {
			longestQueue = c
		}
	}
	return longestQueue
}

// evict refuses the newest request of a caller to make room for another caller. The
// caller holds q.mu.
func (q *Queue) evict(c *callerQueue, wait time.Duration) {
	last := c.waiters[len(c.waiters)-1]
	q.remove(c, len(c.waiters)-1)
	last.done <- &CallerShareError{RetryAfter: max(minRetryAfter, wait)}
}

// abandon removes a request whose context has ended and returns the context's error. If
// the request was served or refused in the meantime, it returns that result.
func (q *Queue) abandon(ctx context.Context, caller string, w *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c := q.byCaller[caller]; c != nil {
		for i, other := range c.waiters {
			if other == w {
				q.remove(c, i)
				return ctx.Err()
			}
		}
	}
	// The request was served or refused at the same time.
	return <-w.done
}

func (q *Queue) lockAndServe() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.serve()
}

// serve serves requests in turns until none of the next callers' requests can be served.
// The caller holds q.mu.
func (q *Queue) serve() {
	for q.serveOne() {
	}
}

// serveOne serves the first request of one of the next callers and reports whether one
// could be served. It tries several callers because a request that is restricted to some
// targets must not block the others. The caller holds q.mu.
func (q *Queue) serveOne() bool {
	for i, c := range q.rotation[:min(len(q.rotation), maxHeads)] {
		if q.mustYield(c) {
			continue
		}
		w := c.waiters[0]
		if !w.try() {
			q.capacity = q.running.Load()
			q.capacityAt = time.Now()
			continue
		}
		q.rotation = append(slices.Delete(q.rotation, i, i+1), c)
		q.remove(c, 0)
		q.recordServed()
		w.done <- nil
		return true
	}
	return false
}

// mustYield reports whether a caller with a backlog has to leave the last slots to
// callers that send single requests. The caller holds q.mu.
func (q *Queue) mustYield(c *callerQueue) bool {
	if len(c.waiters) < 2 || q.reservedShare <= 0 || q.capacity < 2 || time.Since(q.lastSingleAt) > reserveDuration {
		return false
	}
	reservedSlots := max(1, int64(q.reservedShare*float64(q.capacity)))
	// The targets may have more slots than when the capacity was determined, so that at
	// intervals no caller yields until they are full again.
	refreshDue := time.Since(q.capacityAt) >= capacityRefreshInterval
	return !refreshDue && q.running.Load() >= q.capacity-reservedSlots
}

// recordServed updates the moving average of the time between two served requests. The
// caller holds q.mu.
func (q *Queue) recordServed() {
	now := time.Now()
	sample := now.Sub(q.lastServedAt)
	q.lastServedAt = now
	if q.serviceInterval == 0 {
		q.serviceInterval = sample
		return
	}
	q.serviceInterval += (sample - q.serviceInterval) / intervalSmoothing
}

// remove removes a caller's i-th request. The caller holds q.mu.
func (q *Queue) remove(c *callerQueue, i int) {
	c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
	q.waiting.Add(-1)
	if len(c.waiters) > 0 {
		return
	}
	delete(q.byCaller, c.caller)
	for j, other := range q.rotation {
		if other == c {
			q.rotation = append(q.rotation[:j], q.rotation[j+1:]...)
			return
		}
	}
}
