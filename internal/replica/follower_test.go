package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	pause "redwingpoint.org/redwingpoint/internal/wait"
)

// recordingTable records the target lists that it receives.
type recordingTable struct {
	mu    sync.Mutex
	lists map[model.ServiceName][]model.Target
}

func (t *recordingTable) SetTargets(service model.ServiceName, list []model.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lists == nil {
		t.lists = make(map[model.ServiceName][]model.Target)
	}
	t.lists[service] = list
}

func (t *recordingTable) has(id model.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, list := range t.lists {
		for i := range list {
			if list[i].ID == id {
				return true
			}
		}
	}
	return false
}

type nopObserver struct{}

func (nopObserver) TargetUpdated(model.Target, Position)           {}
func (nopObserver) TargetRemoved(model.TargetID, bool)             {}
func (nopObserver) TargetRejected(string, error)                   {}
func (nopObserver) StoreReturned(Return)                           {}
func (nopObserver) RoutesApplied(*route.Table)                     {}
func (nopObserver) RoutesRejected(error)                           {}
func (nopObserver) CallFinished(string, time.Duration, int, error) {}
func (nopObserver) OutageStarted(error)                            {}
func (nopObserver) OutageEnded(time.Duration)                      {}

var errMalformed = errors.New("malformed")

// decode takes the object's value as the name of the service.
func decode(o Object) (model.Target, error) {
	if string(o.Value) == "torn" {
		return model.Target{}, errMalformed
	}
	return model.Target{ID: model.TargetID(o.Name), Service: model.ServiceName(o.Value)}, nil
}

func object(name string, revision Position, service string) Object {
	return Object{Name: name, Revision: revision, Value: []byte(service)}
}

func newTargets() (*Targets, *recordingTable) {
	out := new(recordingTable)
	return &Targets{Decode: decode, Table: out, Observer: nopObserver{}}, out
}

var removeAtOnce time.Time

func TestTargetsFollowTheStore(t *testing.T) {
	targets, out := newTargets()
	targets.Replace(Batch{Objects: []Object{object("1", 1, "a"), object("2", 2, "a"), object("3", 3, "torn")}}, removeAtOnce)
	if !out.has("1") || !out.has("2") || out.has("3") {
		t.Errorf("after a list: %+v", out.lists)
	}
	targets.Update(Batch{Objects: []Object{object("2", 5, "b"), {Name: "1", Revision: 6, Deleted: true}}}, removeAtOnce)
	if out.has("1") || len(out.lists["a"]) != 0 || len(out.lists["b"]) != 1 {
		t.Errorf("after changes: %+v", out.lists)
	}
	targets.Update(Batch{Objects: []Object{object("2", 4, "a"), {Name: "2", Revision: 3, Deleted: true}}}, removeAtOnce)
	if len(out.lists["b"]) != 1 {
		t.Errorf("an older change replaced a newer one: %+v", out.lists)
	}
	targets.Update(Batch{Objects: []Object{object("2", 9, "torn")}}, removeAtOnce)
	if out.has("2") {
		t.Error("an entry that can't be decoded is still used")
	}
}

func TestRemovalsAreDeferredAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets, out := newTargets()
		targets.Replace(Batch{Objects: []Object{object("1", 1, "a"), object("2", 2, "a")}}, removeAtOnce)
		removeAfter := time.Now().Add(2 * time.Second)
		targets.Replace(Batch{}, removeAfter)
		if !out.has("1") || !out.has("2") {
			t.Error("entries that expired during an outage were removed at once")
		}
		time.Sleep(time.Second)
		targets.Update(Batch{Objects: []Object{object("1", 8, "a")}}, removeAfter)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if !out.has("1") || out.has("2") {
			t.Errorf("after the grace period: %+v, want only 1", out.lists)
		}
	})
}

// response is one response of a scripted source.
type response struct {
	batch Batch
	err   error
	// noResponse blocks the call until its context ends.
	noResponse bool
}

// scriptedSource returns its responses in order, then blocks until the context ends.
type scriptedSource struct {
	lists, watches []response
	requested      []Consistency
	revisions      []Position
	times          []time.Time
}

func (s *scriptedSource) List(ctx context.Context, _ int, _ func()) (Batch, error) {
	return nextResponse(ctx, &s.lists)
}

func (s *scriptedSource) Watch(ctx context.Context, after Position, _ time.Duration, consistency Consistency, _ func()) (Batch, error) {
	s.requested = append(s.requested, consistency)
	s.revisions = append(s.revisions, after)
	s.times = append(s.times, time.Now())
	return nextResponse(ctx, &s.watches)
}

func nextResponse(ctx context.Context, responses *[]response) (Batch, error) {
	if len(*responses) == 0 {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	first := (*responses)[0]
	*responses = (*responses)[1:]
	if first.noResponse {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return first.batch, first.err
}

// outageObserver records when the store counted as lost.
type outageObserver struct {
	nopObserver
	outages []time.Time
}

func (o *outageObserver) OutageStarted(error) { o.outages = append(o.outages, time.Now()) }

// TestCutWatchIsReadAgainInTime guards against configuration that takes effect too late: a watch
// that was cut off was given up only after the time for a slow response, and then backed off.
func TestCutWatchIsReadAgainInTime(t *testing.T) {
	const watchWait, appliedWithin = 1600 * time.Millisecond, 2 * time.Second
	for name, test := range map[string]struct {
		watches []response
		isLost  bool
	}{
		"cut":  {watches: []response{{noResponse: true}, {batch: Batch{AsOf: 7, Objects: []Object{object("1", 7, "a")}}}}},
		"lost": {watches: []response{{noResponse: true}, {noResponse: true}, {noResponse: true}}, isLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &scriptedSource{lists: []response{{batch: Batch{AsOf: 5}}}, watches: test.watches}
				targets, out := newTargets()
				o := new(outageObserver)
				f := &Follower{Source: s, View: targets, Observer: o, WatchWait: watchWait, MaxBackoff: 700 * time.Millisecond, Breaker: new(Breaker), Consistency: Strong, Floor: new(Floor)}
				startedAt := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), watchWait+lateWatchTimeout+responseTimeout+time.Millisecond)
				defer cancel()
				f.Run(ctx)
				if reread := s.times[1].Sub(startedAt); reread > appliedWithin-200*time.Millisecond {
					t.Errorf("read again after %v", reread)
				}
				if lost := len(o.outages) > 0; out.has("1") == test.isLost || lost != test.isLost {
					t.Errorf("targets %+v, outages %v", out.lists, o.outages)
				}
			})
		})
	}
}

func runFollower(t *testing.T, s *scriptedSource, duration time.Duration) *recordingTable {
	t.Helper()
	targets, out := newTargets()
	f := &Follower{Source: s, View: targets, Observer: nopObserver{}, WatchWait: 1600 * time.Millisecond, MaxBackoff: 700 * time.Millisecond, RemovalGrace: time.Second, BatchDelay: 300 * time.Millisecond, Breaker: new(Breaker), Consistency: Eventual, Floor: new(Floor)}
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	f.Run(ctx)
	synctest.Wait()
	return out
}

var errUnavailable = errors.New("unavailable")

func TestFailedListKeepsTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{
			lists:   []response{{batch: Batch{Objects: []Object{object("1", 1, "a")}, AsOf: 5}}, {err: errUnavailable}, {err: errUnavailable}},
			watches: []response{{err: &HistoryGoneError{After: 5}}},
		}
		if out := runFollower(t, s, 2*time.Second); !out.has("1") {
			t.Error("a target was removed while the store was unavailable")
		}
	})
}

func TestFirstReadAfterAFailureIsStrong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := response{batch: Batch{Objects: []Object{object("1", 1, "a")}, AsOf: 5}}
		unchanged := response{batch: Batch{AsOf: 5}}
		s := &scriptedSource{
			lists:   []response{list, list},
			watches: []response{unchanged, {err: errUnavailable}, unchanged, unchanged, unchanged, {err: &HistoryGoneError{After: 5}}, unchanged, unchanged},
		}
		runFollower(t, s, 2*time.Second)
		// The probe that ends the outage is a cheap one, and the list after the loss of
		// history is strong.
		want := []Consistency{Eventual, Eventual, Eventual, Strong, Eventual, Eventual, Eventual, Eventual}
		for i := range want {
			if s.requested[i] != want[i] {
				t.Fatalf("watch %d requested %v, want %v (all: %v)", i, s.requested[i], want[i], s.requested)
			}
		}
	})
}

func TestWatchWithoutResponseTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{
			lists:   []response{{batch: Batch{AsOf: 5}}},
			watches: []response{{noResponse: true}, {batch: Batch{Objects: []Object{object("1", 7, "a")}, AsOf: 7}}},
		}
		if out := runFollower(t, s, 3*time.Second); !out.has("1") {
			t.Error("changes after a watch without response did not arrive")
		}
		// A gateway must have the store's changes 3 s after the end of an outage; half a
		// second of that is for the call that follows.
		if took := s.times[1].Sub(s.times[0]); took > 2500*time.Millisecond {
			t.Errorf("the watch without response delayed changes by %v", took)
		}
		if s.revisions[1] != 5 {
			t.Errorf("the next watch started after revision %d, want 5", s.revisions[1])
		}
	})
}

// TestChangesAreBatchedBeforeTheNextWatch checks that the next watch starts at once
// after an empty response, and after the batching delay after a change.
func TestChangesAreBatchedBeforeTheNextWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		change := response{batch: Batch{Objects: []Object{object("1", 7, "a")}, AsOf: 7}}
		s := &scriptedSource{
			lists:   []response{{batch: Batch{AsOf: 5}}},
			watches: []response{{batch: Batch{AsOf: 6}}, change, {batch: Batch{AsOf: 8}}},
		}
		runFollower(t, s, 2*time.Second)
		if first, second := s.times[1].Sub(s.times[0]), s.times[2].Sub(s.times[1]); first != 0 || second != 300*time.Millisecond {
			t.Errorf("the next watches started after %v and %v, want 0 and 300 ms", first, second)
		}
	})
}

func TestRoutesKeepLastValidConfiguration(t *testing.T) {
	holder := route.NewHolder()
	config := func(revision model.Revision, attempts int) route.Config {
		return route.Config{
			Revision: revision,
			Services: []route.Service{{Name: "a"}},
			Rules: []*route.Rule{{
				Host: "h", Prefix: "/", Timeout: time.Second, MaxAttempts: attempts,
				Backends: []route.Backend{{Service: "a", Weight: 1}},
			}},
		}
	}
	configs := map[string]route.Config{"good": config(4, 1), "invalid": config(9, 0), "old": config(3, 1)}
	routes := &Routes{Holder: holder, Observer: nopObserver{}, Decode: func(o Object) (route.Config, bool, error) {
		c, ok := configs[string(o.Value)]
		if !ok {
			return c, false, errMalformed
		}
		return c, true, nil
	}}
	for _, value := range []string{"good", "invalid", "old", "torn"} {
		routes.Update(Batch{Objects: []Object{object("main", 1, value)}}, removeAtOnce)
	}
	routes.Update(Batch{Objects: []Object{{Name: "main", Deleted: true}}}, removeAtOnce)
	routes.Replace(Batch{}, removeAtOnce)
	if current := holder.Current(); current == nil || current.Revision != 4 {
		t.Errorf("in force: %+v, want revision 4", current)
	}
}

// TestWatchThatIsTooLargeIsFollowedByAList guards against a follower that repeats a watch whose
// response is larger than it accepts until the store discards the history.
func TestWatchThatIsTooLargeIsFollowedByAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSource{
			lists:   []response{{batch: Batch{AsOf: 5}}, {batch: Batch{AsOf: 9, Objects: []Object{object("1", 9, "a")}}}},
			watches: []response{{err: fmt.Errorf("call failed: %w", &ResponseTooLargeError{Limit: 8 << 20})}},
		}
		targets, out := newTargets()
		o := new(outageObserver)
		f := &Follower{Source: s, View: targets, Observer: o, WatchWait: time.Minute, MaxBackoff: 700 * time.Millisecond, Breaker: new(Breaker), Consistency: Strong, Floor: new(Floor)}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		f.Run(ctx)
		if !out.has("1") || len(o.outages) > 0 || s.revisions[len(s.revisions)-1] != 9 {
			t.Errorf("targets %+v, outages %v, watches from %v", out.lists, o.outages, s.revisions)
		}
	})
}

// unavailableSource doesn't respond to any call until a given time.
type unavailableSource struct {
	until time.Time
	calls int
}

func (s *unavailableSource) List(ctx context.Context, _ int, _ func()) (Batch, error) {
	return s.respond(ctx)
}

func (s *unavailableSource) Watch(ctx context.Context, _ Position, wait time.Duration, _ Consistency, _ func()) (Batch, error) {
	batch, err := s.respond(ctx)
	if err == nil {
		pause.For(ctx, wait)
	}
	return batch, err
}

func (s *unavailableSource) respond(ctx context.Context) (Batch, error) {
	if time.Now().Before(s.until) {
		s.calls++
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return Batch{Objects: []Object{object("1", 1, "a")}, AsOf: 5}, nil
}

func TestOneFollowerProbesDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 12 * time.Second
		breaker := new(Breaker)
		ctx, cancel := context.WithTimeout(context.Background(), outage+1500*time.Millisecond)
		defer cancel()
		var sources []*unavailableSource
		var tables []*recordingTable
		var finished []chan struct{}
		for range 2 {
			source := &unavailableSource{until: time.Now().Add(outage)}
			targets, out := newTargets()
			f := &Follower{Source: source, View: targets, Observer: nopObserver{}, WatchWait: 1600 * time.Millisecond, MaxBackoff: 700 * time.Millisecond, RemovalGrace: time.Second, Breaker: breaker, Consistency: Eventual, Floor: new(Floor)}
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			sources, tables, finished = append(sources, source), append(tables, out), append(finished, done)
		}
		for i := range finished {
			<-finished[i]
			if !tables[i].has("1") {
				t.Errorf("follower %d did not recover within 1.5 s of the store's recovery", i)
			}
		}
		// Each follower makes one call before it notices the outage; then one of them probes
		// every 0.9 to 1.2 s.
		if total := sources[0].calls + sources[1].calls; total > 18 {
			t.Errorf("%d calls in an outage of 12 s, want at most 18 from two followers", total)
		}
	})
}

// lapsingSource doesn't respond during an outage, after which an entry is missing. It first
// responds after a delay.
type lapsingSource struct {
	unavailableSource
	outageAt time.Time
}

func (s *lapsingSource) Watch(ctx context.Context, after Position, wait time.Duration, consistency Consistency, progress func()) (Batch, error) {
	if pause.For(ctx, min(wait, time.Until(s.outageAt))); time.Now().Before(s.outageAt) {
		return Batch{AsOf: after}, ctx.Err()
	}
	if _, err := s.respond(ctx); err != nil {
		return Batch{}, err
	}
	pause.For(ctx, wait)
	return Batch{AsOf: 9, Objects: []Object{{Name: "1", Revision: 8, Deleted: true}}}, nil
}

func (s *lapsingSource) List(context.Context, int, func()) (Batch, error) {
	return Batch{Objects: []Object{object("1", 1, "a")}, AsOf: 5}, nil
}

// TestRemovalsAreDeferredForAllFollowers guards against targets that are removed at once after an
// outage: followers that left the probing to another counted from the outage's beginning.
func TestRemovalsAreDeferredForAllFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calm, outage, grace = 3 * time.Second, 12 * time.Second, 6 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		breaker := new(Breaker)
		outageAt := time.Now().Add(calm)
		var tables []*recordingTable
		for range 2 {
			source := &lapsingSource{unavailableSource: unavailableSource{until: outageAt.Add(outage)}, outageAt: outageAt}
			targets, out := newTargets()
			f := &Follower{Source: source, View: targets, Observer: nopObserver{}, WatchWait: 1600 * time.Millisecond, MaxBackoff: 700 * time.Millisecond, RemovalGrace: grace, Breaker: breaker, Consistency: Eventual, Floor: new(Floor)}
			go f.Run(ctx)
			tables = append(tables, out)
		}
		time.Sleep(calm + outage + grace/2)
		synctest.Wait()
		for i, out := range tables {
			if !out.has("1") {
				t.Errorf("follower %d removed the target within %v of the outage", i, grace/2)
			}
		}
		time.Sleep(2 * grace)
		synctest.Wait()
		for i, out := range tables {
			if out.has("1") {
				t.Errorf("follower %d kept the target", i)
			}
		}
	})
}
