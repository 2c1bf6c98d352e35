package limit

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fakeServer serves queued requests with a fixed number of slots in virtual time.
type fakeServer struct {
	queue *Queue
	mu    sync.Mutex
	free  int
	work  time.Duration
	// random, if set, draws exponentially distributed durations with mean work.
	random *rand.Rand
}

func (s *fakeServer) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return false
	}
	s.free--
	s.queue.Acquired()
	return true
}

// duration returns the duration of one request: constant, or exponentially distributed if
// random is set.
func (s *fakeServer) duration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random == nil {
		return s.work
	}
	return time.Duration(s.random.ExpFloat64() * float64(s.work))
}

// serve runs one request and returns how long it took, waiting included.
func (s *fakeServer) serve(ctx context.Context, caller string, length int) (time.Duration, error) {
	start := time.Now()
	if !s.queue.Empty() || !s.take() {
		if err := s.queue.Wait(ctx, caller, QueueLimits{Length: length, ReservedShare: 0.125}, s.take); err != nil {
			return 0, err
		}
	}
	time.Sleep(s.duration())
	s.queue.Release(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.free++
	})
	return time.Since(start), nil
}

// load describes the load on a fakeServer.
type load struct {
	slots    int
	constant bool
	seed     uint64
	flooding bool
}

// p99OfOthers runs ten callers that use half of the server's capacity with exponentially
// distributed gaps and returns their p99 latency. With flooding set, another caller sends
// four times the server's capacity.
func p99OfOthers(t *testing.T, l load) time.Duration {
	t.Helper()
	const (
		work     = 10 * time.Millisecond
		requests = 1000
	)
	slots := time.Duration(l.slots)
	arrivals := rand.New(rand.NewPCG(l.seed, 1))
	s := &fakeServer{queue: NewQueue(), free: l.slots, work: work}
	if !l.constant {
		s.random = rand.New(rand.NewPCG(l.seed, 2))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	stop := make(chan struct{})
	var background, requestGroup sync.WaitGroup
	if l.flooding {
		background.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(work / slots / 4):
					background.Go(func() { _, _ = s.serve(ctx, "flood", 256) })
				}
			}
		})
	}
	var mu sync.Mutex
	var all []time.Duration
	for i := range requests {
		time.Sleep(time.Duration(arrivals.ExpFloat64() * float64(2*work/slots)))
		requestGroup.Go(func() {
			took, err := s.serve(ctx, "caller-"+strconv.Itoa(i%10), 256)
			if err != nil {
				t.Errorf("refused: %v", err)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, took)
		})
	}
	requestGroup.Wait()
	close(stop)
	background.Wait()
	slices.Sort(all)
	return all[len(all)*99/100]
}

func TestFloodingCallerDoesNotSlowOthers(t *testing.T) {
	for _, slots := range []int{2, 8, 24} {
		for _, constant := range []bool{true, false} {
			for seed := range uint64(2) {
				synctest.Test(t, func(t *testing.T) {
					alone := p99OfOthers(t, load{slots, constant, seed, false})
					flooded := p99OfOthers(t, load{slots, constant, seed, true})
					t.Logf("%d slots, constant durations %v, seed %d: p99 of the others %v alone, %v with a flooding caller",
						slots, constant, seed, alone, flooded)
					if flooded > alone*3/2 {
						t.Errorf("p99 of the others rose from %v to %v", alone, flooded)
					}
				})
			}
		}
	}
}

// enqueueUnservable adds n requests of a caller that are never served. The channel
// receives their results.
func enqueueUnservable(ctx context.Context, q *Queue, caller string, n int) chan error {
	ended := make(chan error, n)
	for range n {
		go func() { ended <- q.Wait(ctx, caller, QueueLimits{Length: 10}, func() bool { return false }) }()
		synctest.Wait()
	}
	return ended
}

func TestFullQueueEvictsForOtherCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q := NewQueue()
		flooding := enqueueUnservable(ctx, q, "flood", 10)
		var share *CallerShareError
		if err := q.Wait(ctx, "flood", QueueLimits{Length: 10}, func() bool { return false }); !errors.As(err, &share) {
			t.Errorf("the flooding caller got %v", err)
		}
		enqueueUnservable(ctx, q, "clerk", 1)
		if q.Depth() != 10 || len(flooding) != 1 {
			t.Fatalf("%d wait, %d of the flooding caller were refused", q.Depth(), len(flooding))
		}
		if err := <-flooding; !errors.As(err, &share) || share.RetryAfter < minRetryAfter {
			t.Errorf("the newest request of the flooding caller got %v", err)
		}
		cancel()
		synctest.Wait()
		if !q.Empty() {
			t.Errorf("%d still wait", q.Depth())
		}
	})
}

func TestRequestBeyondItsDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{queue: NewQueue(), free: 1, work: 100 * time.Millisecond}
		for range 20 {
			go func() { _, _ = s.serve(t.Context(), "housing", 64) }()
		}
		time.Sleep(550 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		start := time.Now()
		var late *DeadlineError
		if _, err := s.serve(ctx, "housing", 64); !errors.As(err, &late) || late.RetryAfter < time.Second {
			t.Errorf("got %v", err)
		}
		if waited := time.Since(start); waited != 0 {
			t.Errorf("refused after %v", waited)
		}
		if _, err := s.serve(ctx, "dental", 64); err != nil {
			t.Errorf("another caller's first request: %v", err)
		}
		time.Sleep(3 * time.Second)
	})
}

// Other instances free slots of a target too, without a notice to this one. Without
// polling, requests would wait until the next release.
func TestQueuePollsWithoutRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue()
		free := time.Now().Add(50 * time.Millisecond)
		err := q.Wait(t.Context(), "clerk", QueueLimits{Length: 1}, func() bool { return !time.Now().Before(free) })
		if err != nil || time.Since(free) > pollInterval {
			t.Errorf("%v after %v", err, time.Since(free))
		}
	})
}

func TestRatioBudgetAllowsAShareOfRequests(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.1} {
		var r RatioBudget
		allowed := 0
		for range 10000 {
			r.Deposit(share)
			if r.Withdraw(share) {
				allowed++
			}
		}
		maxAllowed := 0
		if share > 0 {
			maxAllowed = int(share*10000) + defaultRatioBurst
		}
		if allowed > maxAllowed || allowed < maxAllowed-defaultRatioBurst {
			t.Errorf("share %v allowed %d of 10000", share, allowed)
		}
	}
}

func TestLatencyWindowQuantileFollowsRecentLatencies(t *testing.T) {
	var l LatencyWindow
	if _, ok := l.Quantile(0.5); ok {
		t.Error("got a quantile without observations")
	}
	for _, base := range []time.Duration{time.Second, time.Millisecond} {
		for i := range 2 * windowSize {
			l.Observe(base + time.Duration(i%100)*base/100)
		}
		want := base + 93*base/100
		if got, ok := l.Quantile(0.93); !ok || got < want-base/50 || got > want+base/50 {
			t.Errorf("quantile %v, want about %v", got, want)
		}
	}
}

// A retry that may not use the free target must not block the requests of other callers.
func TestUnservableRequestDoesNotBlockOtherCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q := NewQueue()
		enqueueUnservable(ctx, q, "picky", 1)
		start := time.Now()
		if err := q.Wait(ctx, "clerk", QueueLimits{Length: 10}, func() bool { return true }); err != nil || time.Since(start) != 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		cancel()
		synctest.Wait()
	})
}

// Slots that are added while a caller yields must be found and used.
func TestYieldingCallerGetsNewSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &fakeServer{queue: NewQueue(), free: 2, work: 10 * time.Millisecond}
		for range 1000 {
			go func() { _, _ = s.serve(ctx, "flood", 2000) }()
		}
		time.Sleep(45 * time.Millisecond)
		go func() { _, _ = s.serve(ctx, "clerk", 2000) }()
		time.Sleep(30 * time.Millisecond)
		s.mu.Lock()
		s.free += 6
		s.mu.Unlock()
		for range 40 {
			time.Sleep(25 * time.Millisecond)
			go func() { _, _ = s.serve(ctx, "clerk", 2000) }()
		}
		// Exchanges that end at this time have passed their slots on.
		synctest.Wait()
		if running := s.queue.running.Load(); running < 7 {
			t.Errorf("%d of 8 slots are used", running)
		}
		cancel()
		time.Sleep(time.Second)
	})
}
