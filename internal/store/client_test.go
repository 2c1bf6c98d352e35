package store_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

func newTestClient(p *standin.Platform) *store.Client {
	return store.NewClient(store.ClientOptions{
		BaseURL:   "http://platform",
		Transport: &standin.Transport{Handler: p.Handler(), Delay: 2 * time.Millisecond},
	})
}

func always(f standin.Faults) standin.FaultSchedule {
	return standin.FaultSchedule{Seed: 1, Steps: []standin.FaultStep{{Faults: f}}}
}

func TestErrorsDistinguishUnknownOutcomes(t *testing.T) {
	p := standin.NewPlatform()
	server := httptest.NewServer(p.Handler())
	client := store.NewClient(store.ClientOptions{BaseURL: server.URL})
	ctx := t.Context()

	p.Inject(always(standin.Faults{LoseResponses: 1}))
	_, err := client.Put(ctx, "config/a", 0, []byte("x"))
	if !store.IsUnknownOutcome(err) {
		t.Errorf("response lost after the write: %v is not uncertain", err)
	}
	p.Inject(standin.FaultSchedule{})
	_, err = client.Put(ctx, "config/a", 0, []byte("y"))
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) || conflict.Current != 1 {
		t.Errorf("write with an outdated version: %v", err)
	}
	largest := bytes.Repeat([]byte("m"), store.MaxObjectBytes)
	if _, err = client.Put(ctx, "config/big", 0, largest); err != nil {
		t.Errorf("1 MiB: %v", err)
	}
	if object, err := client.Get(ctx, "config/big"); err != nil || !bytes.Equal(object.Value, largest) {
		t.Errorf("read 1 MiB: %d bytes, %v", len(object.Value), err)
	}
	_, err = client.Put(ctx, "config/big", 0, append(largest, 'm'))
	var large *store.TooLargeError
	if !errors.As(err, &large) {
		t.Errorf("more than 1 MiB: %v", err)
	}
	server.Close()
	client = store.NewClient(store.ClientOptions{BaseURL: server.URL})
	_, err = client.Put(ctx, "config/a", 1, []byte("z"))
	var unavailable *store.UnavailableError
	if !errors.As(err, &unavailable) || store.IsUnknownOutcome(err) {
		t.Errorf("refused connection: %v must not be uncertain", err)
	}
}

// TestReadBackResolvesEveryWrite lets writers append their marks to one object under
// faults. A write that update reports as done must appear exactly once, one that it
// reports as impossible must not appear.
func TestReadBackResolvesEveryWrite(t *testing.T) {
	for seed := range uint64(30) {
		synctest.Test(t, func(t *testing.T) {
			p := standin.NewPlatform()
			p.Inject(standin.FaultSchedule{Seed: seed, Steps: []standin.FaultStep{{Faults: standin.Faults{
				LoseResponses: 0.3, LateWrites: 0.2, LateBy: config.Duration(80 * time.Millisecond), StaleReads: 0.2,
			}}}})
			var wg sync.WaitGroup
			marks := make([]byte, 20)
			outcomes := make([]error, len(marks))
			for i := range marks {
				marks[i] = byte('a' + i)
				wg.Go(func() { outcomes[i] = appendMark(t.Context(), newTestClient(p), marks[i]) })
			}
			wg.Wait()
			p.Inject(standin.FaultSchedule{})
			time.Sleep(time.Second)
			object, _ := p.Objects.Get("marks")
			succeeded := 0
			for i, mark := range marks {
				n := bytes.Count(object.Value, []byte{mark})
				switch err := outcomes[i]; {
				case err == nil && n != 1:
					t.Errorf("seed %d: the mark of a successful write appears %d times", seed, n)
				case err != nil && !store.IsUnknownOutcome(err) && n != 0:
					t.Errorf("seed %d: the mark of a failed write appears, %v", seed, err)
				case err == nil:
					succeeded++
				}
			}
			if succeeded < len(marks)/2 {
				t.Errorf("seed %d: %d of %d writes succeeded", seed, succeeded, len(marks))
			}
		})
	}
}

// appendMark appends a mark to the object and retries writes that had no effect.
func appendMark(ctx context.Context, client *store.Client, mark byte) error {
	backoff := store.Backoff{Base: 20 * time.Millisecond, Max: time.Second}
	applied := func(value []byte) bool { return bytes.IndexByte(value, mark) >= 0 }
	var err error
	for range 200 {
		var object store.Object
		if object, err = store.GetOrZero(ctx, client, "marks"); err == nil {
			value := append(bytes.Clone(object.Value), mark)
			call, cancel := context.WithTimeout(ctx, 10*time.Second)
			_, err = update(call, client, "marks", object.Version, value, applied)
			cancel()
		}
		if err == nil || store.IsUnknownOutcome(err) {
			return err
		}
		_ = backoff.Wait(ctx)
	}
	return err
}

// update writes value like Store.Put and resolves an unknown outcome by reading back.
// While the object is still at the expected version, the write may take effect late,
// so it is repeated under the same condition: at most one of the two takes effect.
// It returns *store.ConflictError once another write has made its own impossible,
// and *store.UnknownOutcomeError if the object was deleted meanwhile or ctx ends before
// the outcome is known. It must not create an object that may be deleted.
func update(ctx context.Context, s store.Store, key string, expect store.Version, value []byte, applied func([]byte) bool) (store.Version, error) {
	version, err := s.Put(ctx, key, expect, value)
	if !store.IsUnknownOutcome(err) {
		return version, err
	}
	unknown := err
	backoff := store.Backoff{Base: 20 * time.Millisecond, Max: time.Second}
	for backoff.Wait(ctx) == nil {
		object, err := store.GetOrZero(ctx, s, key)
		switch {
		case err != nil:
			continue
		case object.Version > 0 && applied(object.Value):
			return object.Version, nil
		case object.Version > expect:
			return 0, &store.ConflictError{Key: key, Expect: expect, Current: object.Version}
		}
		version, err = s.Put(ctx, key, expect, value)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			return version, nil
		case errors.As(err, &conflict) && conflict.Current == 0 && expect > 0:
			return 0, unknown
		}
	}
	return 0, unknown
}

// TestOutageCausesNoRetryStorm lets a fleet call at twice its rate limit through an
// outage and counts the calls that reach the platform.
func TestOutageCausesNoRetryStorm(t *testing.T) {
	const clients, callers, perSecond, reads, burst = 17, 4, 100, 70, 20
	for name, fault := range map[string]standin.Faults{"down": {Down: true}, "hang": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := standin.NewPlatform()
				ctx, cancel := context.WithCancel(t.Context())
				var wg sync.WaitGroup
				for range clients {
					client := newTestClient(p)
					for range callers {
						wg.Go(func() { callRepeatedly(ctx, client) })
					}
				}
				time.Sleep(3 * time.Second)
				before := p.Stats().Calls
				if before < clients*reads*2 {
					t.Errorf("%d calls in 3 s before the outage", before)
				}
				p.Inject(always(fault))
				time.Sleep(5 * time.Second)
				onset := p.Stats().Calls - before
				if limit := int64(clients * (burst + 2*perSecond + 10)); onset > limit {
					t.Errorf("%d calls in the first 5 s of the outage, above %d", onset, limit)
				}
				time.Sleep(time.Minute)
				outage := p.Stats().Calls - before - onset
				if limit := int64(clients * 60); outage > limit {
					t.Errorf("%d calls in the next minute, above one a second per client", outage)
				}
				p.Inject(standin.FaultSchedule{})
				recovered := p.Stats().Calls
				time.Sleep(time.Second)
				after := p.Stats().Calls - recovered
				if limit := int64(clients * (burst + perSecond)); after > limit {
					t.Errorf("%d calls in the first second after the outage, above %d", after, limit)
				}
				time.Sleep(9 * time.Second)
				recovered = p.Stats().Calls
				time.Sleep(3 * time.Second)
				if resumed := p.Stats().Calls - recovered; resumed < clients*reads*2 {
					t.Errorf("%d calls in 3 s, ten seconds after the outage", resumed)
				}
				t.Logf("onset 5 s: %d, next minute: %d, first second after: %d calls of %d clients", onset, outage, after, clients)
				cancel()
				wg.Wait()
				time.Sleep(time.Second)
			})
		})
	}
}

func callRepeatedly(ctx context.Context, client *store.Client) {
	for ctx.Err() == nil {
		_, _ = client.Get(ctx, "config/current")
		time.Sleep(20 * time.Millisecond)
	}
}

// TestRateLimitsReadsAndWrites makes far more calls at once than the rate limit allows.
func TestRateLimitsReadsAndWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		client := store.NewClient(store.ClientOptions{
			BaseURL:         "http://platform",
			CallsPerSecond:  50,
			WritesPerSecond: 10,
			Burst:           5,
			Transport:       &standin.Transport{Handler: p.Handler()},
		})
		var rejected atomic.Int32
		var wg sync.WaitGroup
		for range 1000 {
			wg.Go(func() { _, _ = client.Get(t.Context(), "config/a") })
			wg.Go(func() {
				var limited *store.RateLimitError
				if _, err := client.Put(t.Context(), "config/b", 0, nil); errors.As(err, &limited) {
					rejected.Add(1)
				}
			})
			time.Sleep(10 * time.Millisecond)
		}
		stats := p.Stats()
		if stats.Writes < 90 || stats.Writes > 105 {
			t.Errorf("%d writes in 10 s within 10 a second and a burst of 5", stats.Writes)
		}
		if stats.Calls < 450 || stats.Calls > 510 {
			t.Errorf("%d calls in 10 s within 50 a second and two bursts of 5", stats.Calls)
		}
		if rejected.Load() == 0 {
			t.Error("no write was rejected")
		}
		wg.Wait()
	})
}

// TestCallsWaitForTheBudgetInOrder checks that calls beyond the budget are made as soon as
// it allows them, the first one first.
func TestCallsWaitForTheBudgetInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.NewPlatform()
		client := store.NewClient(store.ClientOptions{
			BaseURL: "http://platform", CallsPerSecond: 100, WritesPerSecond: 50, Burst: 1,
			Transport: &standin.Transport{Handler: p.Handler()},
		})
		start := time.Now()
		var mu sync.Mutex
		var finished []int
		var wg sync.WaitGroup
		const calls = 10
		for i := range calls {
			wg.Go(func() {
				if _, err := client.Put(t.Context(), fmt.Sprint("config/", i), 0, nil); err != nil {
					t.Errorf("call %d: %v", i, err)
				}
				mu.Lock()
				defer mu.Unlock()
				finished = append(finished, i)
			})
			synctest.Wait()
		}
		wg.Wait()
		if !slices.IsSorted(finished) || len(finished) != calls {
			t.Errorf("calls finished in the order %v", finished)
		}
		if took, want := time.Since(start), (calls-1)*20*time.Millisecond; took > want+10*time.Millisecond {
			t.Errorf("%d calls took %s; the budget allows them within %s", calls, took, want)
		}
	})
}

// TestResponseWithoutEndIsAnError guards against a platform whose response doesn't end before
// the call's time is up: it must not be kept.
func TestResponseWithoutEndIsAnError(t *testing.T) {
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		block := make([]byte, 1<<20)
		for {
			n, err := w.Write(block)
			sent.Add(int64(n))
			if err != nil {
				return
			}
		}
	}))
	client := store.NewClient(store.ClientOptions{BaseURL: server.URL, CallTimeout: time.Minute})
	_, err := client.List(t.Context(), "config/")
	server.Close()
	var tooLarge store.ResponseTooLargeError
	if !errors.As(err, &tooLarge) || sent.Load() > 96<<20 {
		t.Errorf("%v after %d bytes", err, sent.Load())
	}
}
