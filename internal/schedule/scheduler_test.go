package schedule

import (
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

func never() Outcome { return NoRoom }

// jobIn returns a job whose objective ends after a time.
func jobIn(d time.Duration, priority int) Job {
	return Job{Priority: priority, Work: 100 * time.Millisecond, Objective: time.Now().Add(d)}
}

// TestRequestsOfAnotherReachDoNotWaitForTheFirst guards against a request whose targets have no
// room and that holds up requests which may use others.
func TestRequestsOfAnotherReachDoNotWaitForTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Scheduler
		stuck := jobIn(10*time.Second, 0)
		stuck.Reach = "here"
		go func() { _ = s.Run(t.Context(), stuck, never) }()
		synctest.Wait()
		other := jobIn(10*time.Second, 1)
		other.Reach = "there"
		startedAt, looks := time.Now(), 0
		err := s.Run(t.Context(), other, func() Outcome {
			if looks++; looks < 3 {
				return NoRoom
			}
			return Placed
		})
		if err != nil || time.Since(startedAt) > 2*maxPoll {
			t.Errorf("%v after %s and %d looks, want a slot at the third look", err, time.Since(startedAt), looks)
		}
		time.Sleep(10 * time.Second)
	})
}

// TestWaitingIsBoundedAndTheUrgentDisplaceThePatient fills the queue in a burst of patient
// requests: a further one is refused at once, an urgent one takes the place of the last.
func TestWaitingIsBoundedAndTheUrgentDisplaceThePatient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Scheduler
		var evicted atomic.Int32
		for range maxWaiting {
			go func() {
				startedAt := time.Now()
				var noRoom *NoRoomError
				if err := s.Run(t.Context(), jobIn(20*time.Second, 2), never); errors.As(err, &noRoom) && time.Since(startedAt) < time.Second {
					evicted.Add(1)
				}
			}()
		}
		synctest.Wait()
		var noRoom *NoRoomError
		startedAt := time.Now()
		if err := s.Run(t.Context(), jobIn(20*time.Second, 2), never); !errors.As(err, &noRoom) || time.Since(startedAt) > 0 {
			t.Errorf("%v after %s, want *NoRoomError at once", err, time.Since(startedAt))
		}
		go func() { _ = s.Run(t.Context(), jobIn(20*time.Second, 0), never) }()
		synctest.Wait()
		if n, waiting := evicted.Load(), s.Waiting(); n != 1 || waiting != maxWaiting {
			t.Errorf("%d requests gave way and %d wait, want 1 and %d", n, waiting, maxWaiting)
		}
		time.Sleep(20 * time.Second)
	})
}

// TestARequestThatCanNoLongerBeInTimeIsRefusedAtOnce checks that nothing waits for a turn that
// comes too late.
func TestARequestThatCanNoLongerBeInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Scheduler
		startedAt := time.Now()
		err := s.Run(t.Context(), jobIn(50*time.Millisecond, 0), never)
		if err == nil || time.Since(startedAt) > 0 {
			t.Errorf("%v after %s, want a refusal at once", err, time.Since(startedAt))
		}
	})
}

// TestAFewUrgentRequestsCallForNoOrder guards against slots kept free, and turns, in a service
// whose work is nearly all of one kind: they cost that kind more than the others gain.
func TestAFewUrgentRequestsCallForNoOrder(t *testing.T) {
	for _, c := range []struct {
		urgent int
		want   bool
	}{{0, false}, {3, false}, {30, true}} {
		var d Demand
		for range 100 {
			d.Offer(2, 100*time.Millisecond)
		}
		for range c.urgent {
			d.Offer(0, 100*time.Millisecond)
		}
		if got := d.Competes(); got != c.want {
			t.Errorf("%d urgent requests beside 100: competes %t, want %t", c.urgent, got, c.want)
		}
	}
}
