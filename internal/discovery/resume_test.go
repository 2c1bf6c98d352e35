package discovery

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

// TestWatchResumes lets a watcher follow objects that are written and deleted while
// watches are dropped and reordered, reads are stale, cursors expire and the platform
// is down. The watcher must end up with the objects of the store, and no object may
// revert to an older version.
func TestWatchResumes(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) { watchUnderFaults(t, seed) })
	}
}

func watchUnderFaults(t *testing.T, seed uint64) {
	p := standin.NewPlatform()
	p.Inject(standin.FaultSchedule{Seed: seed, Steps: []standin.FaultStep{
		{For: config.Duration(20 * time.Second), Faults: standin.Faults{DropWatches: 0.3, StaleReads: 0.3, ReorderWatches: true}},
		{For: config.Duration(20 * time.Second), Faults: standin.Faults{Down: true}},
		{For: config.Duration(20 * time.Second), Faults: standin.Faults{Hang: true}},
	}})
	ctx, cancel := context.WithCancel(t.Context())
	newest := make(map[string]store.Change)
	w := newSingleWatcher(p)
	w.init()
	w.targets.apply = func(c store.Change) {
		if c.Version <= newest[c.Key].Version {
			t.Errorf("seed %d: %s reverted to version %d", seed, c.Key, c.Version)
		}
		newest[c.Key] = c
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	for round := range 600 {
		key := store.TargetsPrefix + string(rune('a'+round%7))
		object, _ := p.Objects.Get(key)
		p.Objects.Write(key, object.Version, []byte{byte(round)}, round%11 == 0)
		if round%100 == 50 {
			p.Objects.ExpireCursors()
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Minute)
	cancel()
	<-done
	time.Sleep(time.Second)
	compareWithStore(t, seed, newest, p)
}

func newSingleWatcher(p *standin.Platform) *Watcher {
	at := model.Location{Region: "praha", FailureDomain: "praha-a"}
	return &Watcher{
		Store: store.NewClient(store.ClientOptions{
			BaseURL:   "http://platform",
			Transport: &standin.Transport{Handler: p.Handler(), Delay: 2 * time.Millisecond},
		}),
		Table:      routing.NewTable(at),
		Config:     config.NewSnapshotHolder(at),
		Recorder:   events.Discard,
		RetryDelay: 500 * time.Millisecond,
	}
}

func compareWithStore(t *testing.T, seed uint64, newest map[string]store.Change, p *standin.Platform) {
	t.Helper()
	batch := p.Objects.Since(store.TargetsPrefix, 0)
	present := 0
	for _, c := range newest {
		if !c.Deleted {
			present++
		}
	}
	if present != len(batch.Changes) {
		t.Errorf("seed %d: the watcher holds %d objects, the store has %d", seed, present, len(batch.Changes))
	}
	for _, c := range batch.Changes {
		if got := newest[c.Key]; got.Version != c.Version || !bytes.Equal(got.Value, c.Value) {
			t.Errorf("seed %d: %s is at %d, the watcher at %d", seed, c.Key, c.Version, got.Version)
		}
	}
}
