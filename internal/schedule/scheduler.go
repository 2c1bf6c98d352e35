package schedule

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// startMargin is the multiple of its work that a request needs from its start, since
	// targets slow down when they are nearly full.
	startMargin = 1.25
	// maxWaiting and maxWaitingBytes bound the requests of one service that wait, and their
	// bodies.
	maxWaiting      = 64
	maxWaitingBytes = 8 << 20
	// minPoll and maxPoll bound the pause between two looks at the targets: slots become free
	// within milliseconds, but each look costs probes. A request looks pollsPerSlack times.
	minPoll       = 6 * time.Millisecond
	maxPoll       = 40 * time.Millisecond
	pollsPerSlack = 16
	// patience is the share of a request's slack for which it waits. A caller that is refused
	// needs the rest to come back.
	patience = 0.5
	// intervalWeight is the weight of a new sample in the mean time between two starts.
	intervalWeight = 0.2
	// maxInterval bounds one sample of it, which otherwise holds the time without any waiting.
	maxInterval = time.Second
)

// Job describes a request to the scheduler.
type Job struct {
	// Priority is that of the request; 0 is the highest.
	Priority int
	// Work is the service time at an idle target.
	Work time.Duration
	// Objective is the time after which a response loses most of its value.
	Objective time.Time
	// MinWait is how long the request waits for room even if it has less slack.
	MinWait time.Duration
	// Bytes is the memory that the request holds while it waits.
	Bytes int64
	// Reach names the targets that the request may use. Requests of different reach don't
	// wait for each other's turn.
	Reach string
}

// latestStart returns the last time at which the job can start and end in time.
func (j *Job) latestStart() time.Time {
	return j.Objective.Add(-time.Duration(startMargin * float64(j.Work)))
}

// Errors of Scheduler.Run. Each means that the request was not run.
type (
	// NoRoomError reports that the request's turn isn't expected before its latest start,
	// or that too many requests with precedence wait.
	NoRoomError struct {
		// RetryAfter is when room is expected.
		RetryAfter time.Duration
	}
	// LateError reports that no room was found while the request could wait.
	LateError struct{}
)

func (*NoRoomError) Error() string { return "no room is expected in time" }
func (*LateError) Error() string   { return "no room was found in time" }

// Scheduler orders the requests of one service that wait for a slot: the most urgent first,
// of these the one with the least slack. Only the first of each reach looks at the targets. The
// zero value is ready to use. It is safe for concurrent use.
type Scheduler struct {
	Demand Demand

	mu sync.Mutex
	// waiting is sorted by precedence.
	waiting []*waiter
	bytes   int64
	// interval is the mean time between two starts while requests wait; startedAt is when
	// the last one was.
	interval  time.Duration
	startedAt time.Time
}

// waiter is one waiting request.
type waiter struct {
	job Job
	// rank is the job's priority, or 0 if its kind is starved.
	rank int
	// until is when the request is refused.
	until time.Time
	// turn gets a value when the waiter becomes the first, evicted is closed when it has to
	// give way.
	turn    chan struct{}
	evicted chan struct{}
}

func compare(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.job.latestStart().Compare(b.job.latestStart()))
}

// Outcome is the result of a look at the targets.
type Outcome uint8

// Outcomes of a look.
const (
	// NoRoom means that no target has a slot for the request.
	NoRoom Outcome = iota
	// Placed means that the request gets a slot.
	Placed
	// Withdrawn means that the request no longer waits for a slot.
	Withdrawn
)

// Run calls try until its outcome isn't NoRoom. It tries at once unless requests with
// precedence wait, and then whenever the request is the first. It returns *NoRoomError at once
// if others go first and the turn isn't expected in time, *LateError when half of the slack and
// MinWait have passed, or the context's error.
func (s *Scheduler) Run(ctx context.Context, job Job, try func() Outcome) error {
	s.Demand.Offer(job.Priority, job.Work)
	w := &waiter{job: job, rank: job.Priority, turn: make(chan struct{}, 1), evicted: make(chan struct{})}
	if s.Demand.Starved(job.Priority) {
		w.rank = 0
	}
	w.until = time.Now().Add(max(job.MinWait, time.Duration(patience*float64(time.Until(job.latestStart())))))
	if !s.hasPrecedents(w) && s.try(w, try) {
		return nil
	}
	if err := s.enter(w); err != nil {
		return err
	}
	defer s.leave(w)
	return s.wait(ctx, w, try)
}

// hasPrecedents reports whether requests wait that go before w.
func (s *Scheduler) hasPrecedents(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := s.firstOf(w.job.Reach)
	return first != nil && compare(first, w) <= 0
}

// firstOf returns the first waiter of a reach, or nil. The caller must hold s.mu.
func (s *Scheduler) firstOf(reach string) *waiter {
	for _, w := range s.waiting {
		if w.job.Reach == reach {
			return w
		}
	}
	return nil
}

// enter adds a waiter. It returns *NoRoomError if its turn isn't expected in time or there is
// no place for it. The last waiter gives way to one that goes before it.
func (s *Scheduler) enter(w *waiter) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, _ := slices.BinarySearchFunc(s.waiting, w, compare)
	ahead := 0
	for _, other := range s.waiting[:at] {
		if other.job.Reach == w.job.Reach {
			ahead++
		}
	}
	expected := time.Duration(ahead+1) * s.expectedInterval()
	if time.Until(w.until) <= 0 || ahead > 0 && time.Until(w.until) < expected {
		return &NoRoomError{RetryAfter: expected}
	}
	for len(s.waiting) >= maxWaiting || len(s.waiting) > 0 && s.bytes+w.job.Bytes > maxWaitingBytes {
		last := s.waiting[len(s.waiting)-1]
		if compare(w, last) >= 0 {
			return &NoRoomError{RetryAfter: expected}
		}
		close(last.evicted)
		s.remove(last)
	}
	s.waiting = slices.Insert(s.waiting, at, w)
	s.bytes += w.job.Bytes
	if ahead == 0 {
		w.turn <- struct{}{}
	}
	return nil
}

// wait tries whenever w is the first, until it is placed or has waited as long as it may.
func (s *Scheduler) wait(ctx context.Context, w *waiter, try func() Outcome) error {
	late := time.NewTimer(time.Until(w.until))
	defer late.Stop()
	poll := time.NewTimer(time.Hour)
	defer poll.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-late.C:
			return &LateError{}
		case <-w.evicted:
			return &NoRoomError{RetryAfter: maxPoll}
		case <-w.turn:
		case <-poll.C:
		}
		if s.isFirst(w) && s.try(w, try) {
			return nil
		}
		poll.Reset(min(max(time.Until(w.until)/pollsPerSlack, minPoll), maxPoll))
	}
}

func (s *Scheduler) isFirst(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstOf(w.job.Reach) == w
}

// expectedInterval returns the expected time between two starts: the mean, or the time since
// the last one if that is longer. The caller must hold s.mu.
func (s *Scheduler) expectedInterval() time.Duration {
	if len(s.waiting) == 0 {
		return s.interval
	}
	return max(s.interval, min(time.Since(s.startedAt), maxInterval))
}

// try looks at the targets once and reports whether the request no longer waits.
func (s *Scheduler) try(w *waiter, look func() Outcome) bool {
	outcome := look()
	if outcome == Placed {
		s.placed(w)
	}
	return outcome != NoRoom
}

// placed records that a request got a slot.
func (s *Scheduler) placed(w *waiter) {
	s.Demand.Serve(w.job.Priority)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.waiting) > 0 {
		sample := min(now.Sub(s.startedAt), maxInterval)
		s.interval += time.Duration(intervalWeight * float64(sample-s.interval))
	}
	s.startedAt = now
}

// leave removes a waiter and gives the turn to the next one.
func (s *Scheduler) leave(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.waiting, w) {
		return
	}
	first := s.firstOf(w.job.Reach) == w
	s.remove(w)
	if next := s.firstOf(w.job.Reach); first && next != nil {
		select {
		case next.turn <- struct{}{}:
		default:
		}
	}
}

// remove removes a waiter. The caller must hold s.mu.
func (s *Scheduler) remove(w *waiter) {
	at := slices.Index(s.waiting, w)
	s.waiting = slices.Delete(s.waiting, at, at+1)
	s.bytes -= w.job.Bytes
}

// Waiting returns the number of waiting requests.
func (s *Scheduler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}
