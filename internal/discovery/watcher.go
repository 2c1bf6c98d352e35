// Package discovery keeps an instance's targets and configuration in step with
// the Object API. A few instances of each region watch the store; the others,
// and all of them while the store is down, learn from their peers.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/store"
	"redwingpoint.org/redwingpoint/internal/wait"
)

const (
	// watchersPerRegion is the number of instances of a region that watch the store.
	watchersPerRegion = 2
	// watchJob names the job of watching in the rendezvous order.
	watchJob = "watch"
	// idleCheck is how often an instance that does not watch looks whether it should.
	idleCheck = time.Second

	maxRetryDelay = 5 * time.Second
)

// Watcher follows the Object API and applies what it reads.
type Watcher struct {
	Store    store.Store
	Table    *routing.Table
	Config   *config.SnapshotHolder
	Recorder events.Recorder
	// RetryDelay is the first pause after a failed call; pauses grow.
	RetryDelay time.Duration

	// Members, Peers and Board are nil for an instance without peers.
	Members *fleet.Members
	Peers   Peers
	Board   fleet.Board
	Self    fleet.Member

	once    sync.Once
	config  *replica
	targets *replica
	wakeup  chan struct{}
	start   starting
}

// init prepares the replicas.
func (w *Watcher) init() {
	w.once.Do(func() {
		w.config = newReplica(store.ConfigKey, w.applyConfig)
		w.targets = newReplica(store.TargetsPrefix, w.applyTargets)
		w.wakeup = make(chan struct{}, 1)
	})
}

// Run follows the store and the peers until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.init()
	w.start.begin(time.Now())
	var running sync.WaitGroup
	running.Go(func() { w.follow(ctx, w.targets) })
	running.Go(func() { w.follow(ctx, w.config) })
	if w.Peers != nil {
		running.Go(func() { w.catchUp(ctx) })
		running.Go(func() { w.report(ctx) })
	}
	running.Wait()
}

// follow watches the store while that is this instance's job. Everybody reads
// it once at start, unless peers have made the instance ready before.
func (w *Watcher) follow(ctx context.Context, r *replica) {
	backoff := store.Backoff{Base: w.RetryDelay, Max: maxRetryDelay}
	read := false
	for ctx.Err() == nil {
		if (read || w.caughtUp()) && !w.watches(r) {
			wait.For(ctx, idleCheck)
			continue
		}
		if err := w.step(ctx, r, read); err != nil {
			wait.For(ctx, backoff.Next())
			continue
		}
		read = true
		backoff.Reset()
		w.announce()
	}
}

// watches reports whether watching is this instance's job: it is one of its
// region's watchers, or has nobody to learn from.
func (w *Watcher) watches(r *replica) bool {
	if w.Peers == nil || len(w.Peers.Holders()) == 0 {
		return true
	}
	return w.Members.Mine(watchJob+"/"+r.prefix, watchersPerRegion, w.Self.Location.Region)
}

// step makes one call to the store.
func (w *Watcher) step(ctx context.Context, r *replica, read bool) error {
	if !read {
		return w.list(ctx, r)
	}
	_, cursor, _ := r.state()
	batch, err := w.Store.Watch(ctx, r.prefix, cursor)
	var gone *store.CursorGoneError
	if errors.As(err, &gone) {
		return w.list(ctx, r)
	}
	if err != nil {
		return err
	}
	r.take(batch)
	return nil
}

func (w *Watcher) list(ctx context.Context, r *replica) error {
	batch, err := w.Store.List(ctx, r.prefix)
	if err != nil {
		return err
	}
	if err := r.takeList(batch); err != nil {
		w.Recorder.Record(events.Event{Kind: events.RevisionStale, Detail: r.prefix + ": " + err.Error()})
		return err
	}
	w.start.read(r.prefix)
	return nil
}

func (w *Watcher) applyTargets(change store.Change) {
	service := model.ServiceName(strings.TrimPrefix(change.Key, store.TargetsPrefix))
	var list []model.Target
	if !change.Deleted {
		if err := json.Unmarshal(change.Value, &list); err != nil {
			w.refuse(change, eris.Wrap(err, "decode targets"))
			return
		}
	}
	w.Table.SetTargets(service, list)
}

func (w *Watcher) applyConfig(change store.Change) {
	if change.Deleted || change.Key != store.ConfigKey {
		return
	}
	document := new(config.Document)
	if err := json.Unmarshal(change.Value, document); err != nil {
		w.refuse(change, eris.Wrap(err, "decode configuration"))
		return
	}
	if !w.Config.Apply(document, time.Now()) {
		w.recordStale(document.Revision)
		return
	}
	w.Recorder.Record(events.Event{Kind: events.RevisionInForce, Revision: document.Revision})
	w.publishRevision()
}

// recordStale records a document that is older than the one in force.
func (w *Watcher) recordStale(revision model.Revision) {
	current := w.Config.Current()
	if current != nil && revision < current.Document.Revision {
		w.Recorder.Record(events.Event{Kind: events.RevisionStale, Revision: revision})
	}
}

func (w *Watcher) refuse(change store.Change, err error) {
	w.Recorder.Record(events.Event{Kind: events.RevisionStale, Detail: change.Key + ": " + err.Error()})
}
