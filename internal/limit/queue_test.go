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

// station serves queued requests with a number of slots in virtual time.
type station struct {
	queue *Queue
	mu    sync.Mutex
	free  int
	work  time.Duration
	// random, if set, draws exponential durations with mean work.
	random *rand.Rand
}

func (s *station) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return false
	}
	s.free--
	s.queue.Acquired()
	return true
}

// duration returns the constant or, with a source of randomness, the
// exponential duration of a request.
func (s *station) duration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random == nil {
		return s.work
	}
	return time.Duration(s.random.ExpFloat64() * float64(s.work))
}

// serve runs one request and returns how long it took.
func (s *station) serve(ctx context.Context, caller string, length int) (time.Duration, error) {
	start := time.Now()
	if !s.queue.Empty() || !s.take() {
		if err := s.queue.Wait(ctx, caller, Bounds{Length: length, Reserve: 0.125}, s.take); err != nil {
			return 0, err
		}
	}
	time.Sleep(s.duration())
	s.mu.Lock()
	s.free++
	s.mu.Unlock()
	s.queue.Released()
	return time.Since(start), nil
}

// load is what callers send to a station.
type load struct {
	slots    int
	constant bool
	seed     uint64
	flood    bool
}

// latencies runs ten callers at half of the station's load, with exponential
// gaps, and with flood set another caller with four times what the station can
// do. It returns the p99 of the ten.
func latencies(t *testing.T, l load) time.Duration {
	t.Helper()
	const (
		work     = 10 * time.Millisecond
		requests = 1000
	)
	slots := time.Duration(l.slots)
	arrivals := rand.New(rand.NewPCG(l.seed, 1))
	s := &station{queue: NewQueue(), free: l.slots, work: work}
	if !l.constant {
		s.random = rand.New(rand.NewPCG(l.seed, 2))
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	stop := make(chan struct{})
	var background, group sync.WaitGroup
	if l.flood {
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
		group.Go(func() {
			took, err := s.serve(ctx, "caller-"+strconv.Itoa(i%10), 256)
			if err != nil {
				t.Errorf("refused: %v", err)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, took)
		})
	}
	group.Wait()
	close(stop)
	background.Wait()
	slices.Sort(all)
	return all[len(all)*99/100]
}

func TestFloodLeavesOtherCallersFast(t *testing.T) {
	for _, slots := range []int{2, 8, 24} {
		for _, constant := range []bool{true, false} {
			for seed := range uint64(2) {
				synctest.Test(t, func(t *testing.T) {
					alone := latencies(t, load{slots, constant, seed, false})
					flooded := latencies(t, load{slots, constant, seed, true})
					t.Logf("%d slots, constant durations %v, seed %d: p99 of the others %v alone, %v beside a flood",
						slots, constant, seed, alone, flooded)
					if flooded > alone*3/2 {
						t.Errorf("p99 of the others rose from %v to %v", alone, flooded)
					}
				})
			}
		}
	}
}

// hold fills a queue with n requests of a caller that are never served.
func hold(ctx context.Context, q *Queue, caller string, n int) chan error {
	ended := make(chan error, n)
	for range n {
		go func() { ended <- q.Wait(ctx, caller, Bounds{Length: 10}, func() bool { return false }) }()
		synctest.Wait()
	}
	return ended
}

func TestFullQueueMakesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q := NewQueue()
		flood := hold(ctx, q, "flood", 10)
		var share *ShareError
		if err := q.Wait(ctx, "flood", Bounds{Length: 10}, func() bool { return false }); !errors.As(err, &share) {
			t.Errorf("the flooding caller got %v", err)
		}
		hold(ctx, q, "clerk", 1)
		if q.Depth() != 10 || len(flood) != 1 {
			t.Fatalf("%d wait, %d of the flood were refused", q.Depth(), len(flood))
		}
		if err := <-flood; !errors.As(err, &share) || share.RetryAfter < minRetryAfter {
			t.Errorf("the flood's newest request got %v", err)
		}
		cancel()
		synctest.Wait()
		if !q.Empty() {
			t.Errorf("%d still wait", q.Depth())
		}
	})
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &station{queue: NewQueue(), free: 1, work: 100 * time.Millisecond}
		for range 20 {
			go func() { _, _ = s.serve(t.Context(), "housing", 64) }()
		}
		time.Sleep(550 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		start := time.Now()
		var late *LateError
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

// Other instances free slots of a target too, without a signal to this one.
func TestQueueAsksAgainWithoutSignal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := NewQueue()
		free := time.Now().Add(50 * time.Millisecond)
		err := q.Wait(t.Context(), "clerk", Bounds{Length: 1}, func() bool { return !time.Now().Before(free) })
		if err != nil || time.Since(free) > repollInterval {
			t.Errorf("%v after %v", err, time.Since(free))
		}
	})
}

func TestRatioIsAShareOfRequests(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.1} {
		var r Ratio
		allowed := 0
		for range 10000 {
			r.Earn(share)
			if r.Spend(share) {
				allowed++
			}
		}
		most := 0
		if share > 0 {
			most = int(share*10000) + ratioBurst
		}
		if allowed > most || allowed < most-ratioBurst {
			t.Errorf("share %v allowed %d of 10000", share, allowed)
		}
	}
}

func TestLatencyQuantileFollowsRecentLatencies(t *testing.T) {
	var l Latency
	if _, ok := l.Quantile(0.5); ok {
		t.Error("a quantile of nothing")
	}
	for _, base := range []time.Duration{time.Second, time.Millisecond} {
		for i := range 2 * latencyWindow {
			l.Observe(base + time.Duration(i%100)*base/100)
		}
		want := base + 93*base/100
		if got, ok := l.Quantile(0.93); !ok || got < want-base/50 || got > want+base/50 {
			t.Errorf("quantile %v, want about %v", got, want)
		}
	}
}

// A retry that may not use the free target does not hold up another caller.
func TestPickyRequestDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		q := NewQueue()
		hold(ctx, q, "picky", 1)
		start := time.Now()
		if err := q.Wait(ctx, "clerk", Bounds{Length: 10}, func() bool { return true }); err != nil || time.Since(start) != 0 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		cancel()
		synctest.Wait()
	})
}

// Slots that appear while a caller is held back are found.
func TestHeldBackCallerFindsNewSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &station{queue: NewQueue(), free: 2, work: 10 * time.Millisecond}
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
		// Exchanges that end at this instant have handed their slots on.
		synctest.Wait()
		if running := s.queue.running.Load(); running < 7 {
			t.Errorf("%d of 8 slots are used", running)
		}
		cancel()
		time.Sleep(time.Second)
	})
}
