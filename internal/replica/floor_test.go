package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	pause "redwingpoint.org/redwingpoint/internal/wait"
)

// storeLatency is the time that a laggingStore takes to respond.
const storeLatency = 30 * time.Millisecond

// laggingStore is a store whose eventually consistent reads return the state of lag ago.
type laggingStore struct {
	lag time.Duration
	// growsFrom, if set, is when the lag begins to grow, from nothing up to lag, by half a
	// second each second.
	growsFrom time.Time

	mu       sync.Mutex
	revision Position
	events   []laggingEvent
	// historyFrom is the revision from which on watches can resume.
	historyFrom Position
	// calls counts the calls of each consistency, lists as strong ones.
	calls map[Consistency]int
}

// laggingEvent is a change of an object.
type laggingEvent struct {
	kind   string
	object Object
	at     time.Time
}

func (s *laggingStore) put(kind, name, value string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := Object{Name: name, Revision: s.revision, Value: []byte(value), Deleted: value == ""}
	s.events = append(s.events, laggingEvent{kind: kind, object: o, at: time.Now()})
	return time.Now()
}

// loseHistory makes watches fail that start before the current revision.
func (s *laggingStore) loseHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.historyFrom = s.revision
}

func (s *laggingStore) count(c Consistency) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == nil {
		s.calls = make(map[Consistency]int)
	}
	s.calls[c]++
}

// takeCalls returns the number of calls of each consistency and resets it.
func (s *laggingStore) takeCalls() map[Consistency]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = nil
	return calls
}

// state returns the changes of a kind after a revision that a read of the given consistency
// shows.
func (s *laggingStore) state(kind string, after Position, c Consistency) (batch Batch, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now()
	if c == Eventual {
		lag := s.lag
		if !s.growsFrom.IsZero() {
			lag = min(lag, max(0, time.Since(s.growsFrom)/2))
		}
		until = until.Add(-lag)
	} else {
		batch.AsOf = s.revision
	}
	latest := make(map[string]int)
	for _, e := range s.events {
		if e.at.After(until) {
			break
		}
		batch.AsOf = max(batch.AsOf, e.object.Revision)
		if e.kind != kind || e.object.Revision <= after {
			continue
		}
		if i, known := latest[e.object.Name]; known {
			batch.Objects[i] = e.object
			continue
		}
		latest[e.object.Name] = len(batch.Objects)
		batch.Objects = append(batch.Objects, e.object)
	}
	return batch, after < s.historyFrom
}

// laggingSource reads the objects of one kind.
type laggingSource struct {
	*laggingStore
	kind string
}

func (s laggingSource) List(ctx context.Context, _ int, _ func()) (Batch, error) {
	s.count(Strong)
	pause.For(ctx, storeLatency)
	all, _ := s.state(s.kind, 0, Strong)
	batch := Batch{AsOf: all.AsOf}
	for _, o := range all.Objects {
		if !o.Deleted {
			batch.Objects = append(batch.Objects, o)
		}
	}
	return batch, ctx.Err()
}

func (s laggingSource) Watch(ctx context.Context, after Position, wait time.Duration, c Consistency, _ func()) (Batch, error) {
	s.count(c)
	pause.For(ctx, storeLatency)
	until := time.Now().Add(wait)
	for {
		batch, gone := s.state(s.kind, after, c)
		switch {
		case ctx.Err() != nil:
			return Batch{}, ctx.Err()
		case gone:
			return Batch{}, &HistoryGoneError{After: after}
		case len(batch.Objects) > 0 || !time.Now().Before(until):
			return batch, nil
		}
		pause.For(ctx, 5*time.Millisecond)
	}
}

// changeRecorder records when routes came in force and targets left.
type changeRecorder struct {
	nopObserver
	mu      sync.Mutex
	applied map[model.Revision]time.Time
	left    map[model.TargetID]time.Time
	routes  *route.Holder
}

func (r *changeRecorder) RoutesApplied(t *route.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applied[t.Revision] = time.Now()
}

func (r *changeRecorder) TargetRemoved(id model.TargetID, _ bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left[id] = time.Now()
}

// followLagging runs the followers of a gateway at a laggingStore with 40 targets until ctx ends.
func followLagging(ctx context.Context, s *laggingStore) *changeRecorder {
	r := &changeRecorder{applied: make(map[model.Revision]time.Time), left: make(map[model.TargetID]time.Time)}
	for i := range 40 {
		s.put("targets", fmt.Sprint(i), "a")
	}
	s.put("routes", "main", "1")
	routes := &Routes{Holder: route.NewHolder(), Observer: r, Decode: func(o Object) (route.Config, bool, error) {
		var revision model.Revision
		_, err := fmt.Sscan(string(o.Value), &revision)
		return route.Config{Revision: revision}, true, err
	}}
	r.routes = routes.Holder
	targets := &Targets{Decode: decode, Table: new(recordingTable), Observer: r}
	breaker, floor := new(Breaker), new(Floor)
	for kind, view := range map[string]View{"routes": routes, "targets": targets} {
		f := &Follower{Source: laggingSource{s, kind}, View: view, Observer: r, WatchWait: 1600 * time.Millisecond,
			MaxBackoff: 700 * time.Millisecond, BatchDelay: 300 * time.Millisecond, Breaker: breaker, Floor: floor, Consistency: Eventual}
		if kind == "routes" {
			f.Consistency = Strong
		}
		go f.Run(ctx)
	}
	return r
}

// TestChangesAreKnownInTimeThoughEventualReadsLag guards against an old configuration that
// stays in force, and targets that still get requests after they left, while eventually
// consistent reads lag by seconds: nothing bounded how old they may be.
func TestChangesAreKnownInTimeThoughEventualReadsLag(t *testing.T) {
	// bound is the time after its acknowledgement in which a change must be in force.
	const bound = 2 * time.Second
	for _, lag := range []time.Duration{0, 3 * time.Second, 5500 * time.Millisecond, time.Minute} {
		for _, lostHistory := range []bool{false, true} {
			t.Run(fmt.Sprintf("lag %v, lost history %v", lag, lostHistory), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					s := &laggingStore{lag: lag}
					r := followLagging(ctx, s)
					time.Sleep(8 * time.Second)
					routesAt := make(map[model.Revision]time.Time)
					targetsAt := make(map[model.TargetID]time.Time)
					for i := range 40 {
						if lostHistory && i%10 == 0 {
							s.loseHistory()
						}
						routesAt[model.Revision(2+i)] = s.put("routes", "main", fmt.Sprint(2+i))
						time.Sleep(time.Duration(400+137*i%1900) * time.Millisecond)
						targetsAt[model.TargetID(fmt.Sprint(i))] = s.put("targets", fmt.Sprint(i), "")
						time.Sleep(time.Duration(300+211*i%2100) * time.Millisecond)
					}
					time.Sleep(8 * time.Second)
					cancel()
					time.Sleep(2 * time.Second)
					if c := r.routes.Confirmed(); c.By != route.FromStore {
						t.Errorf("routes confirmed by %q", c.By)
					}
					r.mu.Lock()
					defer r.mu.Unlock()
					for revision, at := range routesAt {
						if took := r.applied[revision].Sub(at); r.applied[revision].IsZero() || took > bound {
							t.Errorf("revision %d in force after %v", revision, took)
						}
					}
					for target, at := range targetsAt {
						if took := r.left[target].Sub(at); r.left[target].IsZero() || took > bound {
							t.Errorf("target %s left after %v", target, took)
						}
					}
				})
			})
		}
	}
}

// TestCalmStoreIsReadStronglyForOneKind checks that the bound on the age of all kinds costs
// the strong watches of one kind, also while its objects change.
func TestCalmStoreIsReadStronglyForOneKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := new(laggingStore)
		followLagging(ctx, s)
		time.Sleep(8 * time.Second)
		for _, changes := range []int{0, 40} {
			s.takeCalls()
			for i := range 40 {
				time.Sleep(4 * time.Second)
				if i < changes {
					s.put("routes", "main", fmt.Sprint(2+i))
				}
			}
			if calls := s.takeCalls(); calls[Strong] > 100+changes || calls[Eventual] > 100 {
				t.Errorf("%d strong and %d eventually consistent calls in 100 watch times and %d changes of the routes", calls[Strong], calls[Eventual], changes)
			}
		}
		cancel()
		time.Sleep(2 * time.Second)
	})
}

// TestFloorTellsWhichViewsMayBeOld raises a floor by strong watches with and without changes
// of other kinds in their range.
func TestFloorTellsWhichViewsMayBeOld(t *testing.T) {
	changes := func(asOf Position, revisions ...Position) Batch {
		b := Batch{AsOf: asOf}
		for _, r := range revisions {
			b.Objects = append(b.Objects, Object{Name: "main", Revision: r})
		}
		return b
	}
	var f Floor
	for i, step := range []struct {
		after   Position
		batch   Batch
		current Position
	}{
		{0, changes(10), 10},
		{10, changes(12, 11, 12), 10},
		{12, changes(13, 13), 10},
		{12, changes(13), 10},
		{13, changes(15, 15), 15},
		{17, changes(18, 18), 17},
		{16, changes(19, 17, 18, 19), 16},
		{19, changes(20), 20},
	} {
		f.raise(step.after, step.batch)
		if _, behind, _ := f.check(step.current); behind {
			t.Errorf("step %d: a view of revision %d counts as old", i, step.current)
		}
		if _, behind, _ := f.check(step.current - 1); !behind {
			t.Errorf("step %d: a view of revision %d counts as current", i, step.current-1)
		}
	}
}

// TestFrequentChangesDoNotHideThatReadsLag guards against targets that grow as old as the store's
// stale reads: where changes come in quick succession each watch returns at once with old ones,
// and was never waited for long enough to be cancelled for being behind.
func TestFrequentChangesDoNotHideThatReadsLag(t *testing.T) {
	const bound = 2 * time.Second
	for _, c := range []struct {
		lag   time.Duration
		grows bool
	}{{0, false}, {1200 * time.Millisecond, false}, {1900 * time.Millisecond, false}, {5500 * time.Millisecond, false}, {8 * time.Second, true}} {
		t.Run(fmt.Sprintf("lag %v, grows %t", c.lag, c.grows), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				s := &laggingStore{lag: c.lag}
				if c.grows {
					s.growsFrom = time.Now().Add(9 * time.Second)
				}
				r := followLagging(ctx, s)
				time.Sleep(8 * time.Second)
				leftAt := make(map[model.TargetID]time.Time)
				for i := range 800 {
					s.put("targets", "busy", fmt.Sprint("service-", i))
					if i%20 == 0 {
						leftAt[model.TargetID(fmt.Sprint(i/20))] = s.put("targets", fmt.Sprint(i/20), "")
					}
					time.Sleep(30 * time.Millisecond)
				}
				time.Sleep(10 * time.Second)
				cancel()
				time.Sleep(2 * time.Second)
				r.mu.Lock()
				defer r.mu.Unlock()
				for target, at := range leftAt {
					if took := r.left[target].Sub(at); r.left[target].IsZero() || took > bound {
						t.Errorf("target %s left after %v", target, took)
					}
				}
			})
		})
	}
}
