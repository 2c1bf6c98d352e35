package replica

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// partialSource sends each response in parts with a pause before each of them.
type partialSource struct {
	parts int
	pause time.Duration
	batch Batch
	lists int
}

func (s *partialSource) transfer(ctx context.Context, progress func()) error {
	for range s.parts {
		select {
		case <-time.After(s.pause):
			progress()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (s *partialSource) List(ctx context.Context, _ int, progress func()) (Batch, error) {
	s.lists++
	if s.lists > 1 {
		return Batch{AsOf: s.batch.AsOf}, s.transfer(ctx, progress)
	}
	return Batch{AsOf: 1}, s.transfer(ctx, progress)
}

func (s *partialSource) Watch(ctx context.Context, after Position, _ time.Duration, _ Consistency, progress func()) (Batch, error) {
	if after >= s.batch.AsOf {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return s.batch, s.transfer(ctx, progress)
}

// transferObserver records the errors of calls.
type transferObserver struct {
	nopObserver
	errs []error
}

func (o *transferObserver) CallFinished(_ string, _ time.Duration, _ int, err error) {
	// The last call ends with the test's context.
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		o.errs = append(o.errs, err)
	}
}

// followPartial runs a follower of the source for a time.
func followPartial(t *testing.T, s *partialSource, d time.Duration) (*recordingTable, *transferObserver) {
	targets, out := newTargets()
	o := new(transferObserver)
	f := &Follower{Source: s, View: targets, Observer: o, WatchWait: time.Minute, MaxBackoff: 700 * time.Millisecond, Breaker: new(Breaker), Floor: new(Floor)}
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	f.Run(ctx)
	synctest.Wait()
	return out, o
}

// TestTransferThatGoesOnIsNotGivenUp guards against large documents that never arrive: the
// time for a response bounded its whole transfer.
func TestTransferThatGoesOnIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &partialSource{parts: 12, pause: responseTimeout * 4 / 5, batch: Batch{AsOf: 7, Objects: []Object{object("1", 7, "a")}}}
		out, o := followPartial(t, s, 20*time.Second)
		if !out.has("1") || len(o.errs) > 0 {
			t.Errorf("received %+v, errors %v", out.lists, o.errs)
		}
	})
}

// TestStalledTransferIsGivenUp checks both ends of a transfer: a part that doesn't arrive, and
// one that never ends.
func TestStalledTransferIsGivenUp(t *testing.T) {
	for name, s := range map[string]*partialSource{
		"stalled": {parts: 2, pause: responseTimeout * 6 / 5},
		"endless": {parts: 1 << 20, pause: responseTimeout / 50},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, o := followPartial(t, s, 2*transferTimeout)
				var timeout *TimeoutError
				if len(o.errs) == 0 || !errors.As(o.errs[0], &timeout) || timeout.Started != (name == "endless") {
					t.Errorf("errors %v", o.errs)
				}
			})
		})
	}
}

// TestSupersededVersionsMakeTheNextReadAList guards against a gateway that falls behind ever
// more because each watch transfers all versions since the one before.
func TestSupersededVersionsMakeTheNextReadAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, size := range []int{maxSupersededBytes / 4, maxSupersededBytes} {
			large := strings.Repeat("a", size)
			s := &partialSource{batch: Batch{AsOf: 7, Objects: []Object{object("1", 5, large), object("1", 6, large), object("1", 7, "a")}}}
			followPartial(t, s, time.Second)
			if listed := s.lists > 1; listed != (2*size > maxSupersededBytes) {
				t.Errorf("two superseded versions of %d B, %d lists", size, s.lists)
			}
		}
	})
}
