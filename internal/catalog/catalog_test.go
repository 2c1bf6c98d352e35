package catalog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/route"
	pause "redwingpoint.org/redwingpoint/internal/wait"
)

// table records the lists of targets that it was given.
type table struct {
	lists map[model.ServiceName][]model.Target
}

func (v *table) SetTargets(service model.ServiceName, list []model.Target) {
	if v.lists == nil {
		v.lists = make(map[model.ServiceName][]model.Target)
	}
	v.lists[service] = list
}

func (v *table) has(id model.TargetID) bool {
	for _, list := range v.lists {
		for i := range list {
			if list[i].ID == id {
				return true
			}
		}
	}
	return false
}

type quiet struct{}

func (quiet) TargetLearnt(model.Target, uint64)        {}
func (quiet) TargetGone(model.TargetID, bool)          {}
func (quiet) TargetRejected(string, error)             {}
func (quiet) RoutesInForce(*route.Table)               {}
func (quiet) RoutesRejected(error)                     {}
func (quiet) Called(string, time.Duration, int, error) {}
func (quiet) Lost(error)                               {}
func (quiet) Regained(time.Duration)                   {}

var errTorn = errors.New("torn")

// decode takes the value for the name of the service.
func decode(o Object) (model.Target, error) {
	if string(o.Value) == "torn" {
		return model.Target{}, errTorn
	}
	return model.Target{ID: model.TargetID(o.Name), Service: model.ServiceName(o.Value)}, nil
}

func object(name string, revision uint64, service string) Object {
	return Object{Name: name, Revision: revision, Value: []byte(service)}
}

func newTargets() (*Targets, *table) {
	out := new(table)
	return &Targets{Decode: decode, Table: out, Observer: quiet{}}, out
}

var settledLongAgo time.Time

func TestTargetsFollowTheStore(t *testing.T) {
	v, out := newTargets()
	v.Replace(Batch{Objects: []Object{object("1", 1, "a"), object("2", 2, "a"), object("3", 3, "torn")}}, settledLongAgo)
	if !out.has("1") || !out.has("2") || out.has("3") {
		t.Errorf("after a list: %+v", out.lists)
	}
	v.Update(Batch{Objects: []Object{object("2", 5, "b"), {Name: "1", Revision: 6, Deleted: true}}}, settledLongAgo)
	if out.has("1") || len(out.lists["a"]) != 0 || len(out.lists["b"]) != 1 {
		t.Errorf("after changes: %+v", out.lists)
	}
	v.Update(Batch{Objects: []Object{object("2", 4, "a"), {Name: "2", Revision: 3, Deleted: true}}}, settledLongAgo)
	if len(out.lists["b"]) != 1 {
		t.Errorf("an old answer replaced a newer one: %+v", out.lists)
	}
	v.Update(Batch{Objects: []Object{object("2", 9, "torn")}}, settledLongAgo)
	if out.has("2") {
		t.Error("an entry that names no target is still used")
	}
}

func TestLapsedEntriesMayComeBackAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v, out := newTargets()
		v.Replace(Batch{Objects: []Object{object("1", 1, "a"), object("2", 2, "a")}}, settledLongAgo)
		settled := time.Now().Add(2 * time.Second)
		v.Replace(Batch{}, settled)
		if !out.has("1") || !out.has("2") {
			t.Error("entries that lapsed while the store was away were dropped at once")
		}
		time.Sleep(time.Second)
		v.Update(Batch{Objects: []Object{object("1", 8, "a")}}, settled)
		time.Sleep(1500 * time.Millisecond)
		synctest.Wait()
		if !out.has("1") || out.has("2") {
			t.Errorf("after the store has settled: %+v, want 1 alone", out.lists)
		}
	})
}

// step is one answer of a scripted source.
type step struct {
	batch Batch
	err   error
	// silent holds the answer back until the call is given up.
	silent bool
}

// script is a source that answers step by step, then waits.
type script struct {
	lists, watches []step
	asked          []Freshness
	afters         []uint64
	at             []time.Time
}

func (s *script) List(ctx context.Context) (Batch, error) { return next(ctx, &s.lists) }

func (s *script) Watch(ctx context.Context, after uint64, _ time.Duration, fresh Freshness) (Batch, error) {
	s.asked = append(s.asked, fresh)
	s.afters = append(s.afters, after)
	s.at = append(s.at, time.Now())
	return next(ctx, &s.watches)
}

func next(ctx context.Context, steps *[]step) (Batch, error) {
	if len(*steps) == 0 {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	first := (*steps)[0]
	*steps = (*steps)[1:]
	if first.silent {
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return first.batch, first.err
}

func follow(t *testing.T, s *script, lasting time.Duration) *table {
	t.Helper()
	return followRelayed(t, s, lasting, nil)
}

func followRelayed(t *testing.T, s *script, lasting time.Duration, relayed func() bool) *table {
	t.Helper()
	v, out := newTargets()
	f := &Follower{Relayed: relayed, Source: s, View: v, Observer: quiet{}, WatchWait: 1600 * time.Millisecond, MaxPause: 700 * time.Millisecond, LapseGrace: time.Second, Gather: 300 * time.Millisecond, Link: new(Link)}
	ctx, cancel := context.WithTimeout(context.Background(), lasting)
	defer cancel()
	f.Run(ctx)
	synctest.Wait()
	return out
}

var errDown = errors.New("down")

func TestAFailedListIsNotAnEmptyOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists:   []step{{batch: Batch{Objects: []Object{object("1", 1, "a")}, AsOf: 5}}, {err: errDown}, {err: errDown}},
			watches: []step{{err: &HistoryGoneError{After: 5}}},
		}
		if out := follow(t, s, 2*time.Second); !out.has("1") {
			t.Error("a target was lost to a store that is down")
		}
	})
}

func TestAfterADoubtOnlyNewestAnswersCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := step{batch: Batch{Objects: []Object{object("1", 1, "a")}, AsOf: 5}}
		calm := step{batch: Batch{AsOf: 5}}
		s := &script{
			lists:   []step{list, list},
			watches: []step{calm, {err: errDown}, calm, calm, calm, {err: &HistoryGoneError{After: 5}}, calm, calm},
		}
		follow(t, s, 2*time.Second)
		// A lost history casts doubt on cheap answers for a time, a failure on the
		// first answer after it.
		want := []Freshness{Cheap, Cheap, Cheap, Newest, Cheap, Cheap, Newest, Newest}
		for i := range want {
			if s.asked[i] != want[i] {
				t.Fatalf("watch %d asked for %v, want %v (all: %v)", i, s.asked[i], want[i], s.asked)
			}
		}
	})
}

// TestInADoubtCheapAnswersDoWhilePeersRelay checks that a gateway pays for newest
// answers only as long as nobody tells it the news.
func TestInADoubtCheapAnswersDoWhilePeersRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := step{batch: Batch{AsOf: 5}}
		calm := step{batch: Batch{AsOf: 5}}
		s := &script{
			lists:   []step{list, list},
			watches: []step{{err: &HistoryGoneError{After: 5}}, calm, calm, calm, {err: errDown}, calm, calm},
		}
		followRelayed(t, s, 2*time.Second, func() bool { return len(s.asked) != 1 })
		want := []Freshness{Cheap, Newest, Cheap, Cheap, Cheap, Cheap, Newest}
		for i := range want {
			if s.asked[i] != want[i] {
				t.Fatalf("watch %d asked for %v, want %v (all: %v)", i, s.asked[i], want[i], s.asked)
			}
		}
	})
}

func TestASilentWatchIsGivenUpInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{
			lists:   []step{{batch: Batch{AsOf: 5}}},
			watches: []step{{silent: true}, {batch: Batch{Objects: []Object{object("1", 7, "a")}, AsOf: 7}}},
		}
		if out := follow(t, s, 3*time.Second); !out.has("1") {
			t.Error("news after a silent watch did not arrive")
		}
		// A machine is held to the store's news 3 s after the store's trouble has
		// ended; half a second of that is for the call that follows.
		if took := s.at[1].Sub(s.at[0]); took > 2500*time.Millisecond {
			t.Errorf("the silent watch held news up for %v", took)
		}
		if s.afters[1] != 5 {
			t.Errorf("the next watch began after %d, want 5", s.afters[1])
		}
	})
}

// TestNewsGathersBeforeTheNextCall checks that a call that brought nothing is
// followed at once, and one that brought news after the time to gather.
func TestNewsGathersBeforeTheNextCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		news := step{batch: Batch{Objects: []Object{object("1", 7, "a")}, AsOf: 7}}
		s := &script{
			lists:   []step{{batch: Batch{AsOf: 5}}},
			watches: []step{{batch: Batch{AsOf: 6}}, news, {batch: Batch{AsOf: 8}}},
		}
		follow(t, s, 2*time.Second)
		if first, second := s.at[1].Sub(s.at[0]), s.at[2].Sub(s.at[1]); first != 0 || second != 300*time.Millisecond {
			t.Errorf("the next calls came after %v and %v, want 0 and 300 ms", first, second)
		}
	})
}

func TestRoutesKeepTheLastGoodOnes(t *testing.T) {
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
	routes := &Routes{Holder: holder, Observer: quiet{}, Decode: func(o Object) (route.Config, bool, error) {
		c, ok := configs[string(o.Value)]
		if !ok {
			return c, false, errTorn
		}
		return c, true, nil
	}}
	for _, value := range []string{"good", "invalid", "old", "torn"} {
		routes.Update(Batch{Objects: []Object{object("main", 1, value)}}, settledLongAgo)
	}
	routes.Update(Batch{Objects: []Object{{Name: "main", Deleted: true}}}, settledLongAgo)
	routes.Replace(Batch{}, settledLongAgo)
	if current := holder.Current(); current == nil || current.Revision != 4 {
		t.Errorf("in force: %+v, want revision 4", current)
	}
}

// downFor fails every call until a time has passed, in silence.
type downFor struct {
	until time.Time
	calls int
}

func (d *downFor) List(ctx context.Context) (Batch, error) { return d.answer(ctx) }

func (d *downFor) Watch(ctx context.Context, _ uint64, wait time.Duration, _ Freshness) (Batch, error) {
	batch, err := d.answer(ctx)
	if err == nil {
		pause.For(ctx, wait)
	}
	return batch, err
}

func (d *downFor) answer(ctx context.Context) (Batch, error) {
	if time.Now().Before(d.until) {
		d.calls++
		<-ctx.Done()
		return Batch{}, ctx.Err()
	}
	return Batch{Objects: []Object{object("1", 1, "a")}, AsOf: 5}, nil
}

func TestOneFollowerAsksForAllWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 12 * time.Second
		link := new(Link)
		ctx, cancel := context.WithTimeout(context.Background(), outage+1500*time.Millisecond)
		defer cancel()
		var sources []*downFor
		var tables []*table
		var ended []chan struct{}
		for range 2 {
			source := &downFor{until: time.Now().Add(outage)}
			v, out := newTargets()
			f := &Follower{Source: source, View: v, Observer: quiet{}, WatchWait: 1600 * time.Millisecond, MaxPause: 700 * time.Millisecond, LapseGrace: time.Second, Link: link}
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			sources, tables, ended = append(sources, source), append(tables, out), append(ended, done)
		}
		for i := range ended {
			<-ended[i]
			if !tables[i].has("1") {
				t.Errorf("follower %d did not come back within 1.5 s of the store's return", i)
			}
		}
		// Each asks once before it knows; then one asks each 0.9 to 1.2 s.
		if total := sources[0].calls + sources[1].calls; total > 18 {
			t.Errorf("%d calls in an outage of 12 s, want at most 18 by one of two followers", total)
		}
	})
}
