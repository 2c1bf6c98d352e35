// Package discovery keeps an instance's targets and configuration in sync with the
// Object API. A few instances of each region watch the store; the others, and all of
// them during an outage of the store, receive the changes from their peers.
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
	// watchJob is the key of the watch job in rendezvous hashing.
	watchJob = "watch"
	// roleCheckInterval is how often an instance that doesn't watch checks whether it
	// should.
	roleCheckInterval = time.Second

	// maxRetryDelay bounds the delay after a failed call, before jitter.
	maxRetryDelay = 5 * time.Second
)

// Watcher replicates the configuration and the targets from the Object API and from
// peers, and applies them.
type Watcher struct {
	Store    store.Store
	Table    *routing.Table
	Config   *config.SnapshotHolder
	Recorder events.Recorder
	// RetryDelay is the initial delay after a failed call; it grows exponentially.
	RetryDelay time.Duration

	// Members, Peers and Facts are nil for an instance without peers.
	Members *fleet.Members
	Peers   Peers
	Facts   fleet.FactStore
	Self    fleet.Member

	once        sync.Once
	config      *replica
	targets     *replica
	fetchNeeded chan struct{}
	readiness   readiness
}

// init creates the replicas. It may be called repeatedly.
func (w *Watcher) init() {
	w.once.Do(func() {
		w.config = newReplica(store.ConfigKey, w.applyConfig)
		w.targets = newReplica(store.TargetsPrefix, w.applyTargets)
		w.fetchNeeded = make(chan struct{}, 1)
	})
}

// Run follows the store and the peers until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	w.init()
	w.readiness.setStarted(time.Now())
	var wg sync.WaitGroup
	wg.Go(func() { w.follow(ctx, w.targets) })
	wg.Go(func() { w.follow(ctx, w.config) })
	if w.Peers != nil {
		wg.Go(func() { w.catchUp(ctx) })
		wg.Go(func() { w.republishRevision(ctx) })
	}
	wg.Wait()
}

// follow watches the store while this instance is one of the watchers. At startup
// every instance lists it once, unless it became ready from peers before.
func (w *Watcher) follow(ctx context.Context, r *replica) {
	backoff := store.Backoff{Base: w.RetryDelay, Max: maxRetryDelay}
	listed := false
	for ctx.Err() == nil {
		if (listed || w.caughtUp()) && !w.isWatcher(r) {
			wait.For(ctx, roleCheckInterval)
			continue
		}
		if err := w.poll(ctx, r, listed); err != nil {
			wait.For(ctx, backoff.Next())
			continue
		}
		listed = true
		backoff.Reset()
		w.announce()
	}
}

// isWatcher reports whether this instance has to watch the store: it is one of its
// region's watchers, or isn't connected to any peer.
func (w *Watcher) isWatcher(r *replica) bool {
	if w.Peers == nil || len(w.Peers.PeerVersions()) == 0 {
		return true
	}
	return w.Members.IsOwner(watchJob+"/"+r.prefix, watchersPerRegion, w.Self.Location.Region)
}

// poll makes one list or watch call, and a list call if the watch cursor is too old.
func (w *Watcher) poll(ctx context.Context, r *replica, listed bool) error {
	if !listed {
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
	r.merge(batch)
	return nil
}

func (w *Watcher) list(ctx context.Context, r *replica) error {
	batch, err := w.Store.List(ctx, r.prefix)
	if err != nil {
		return err
	}
	if err := r.replaceAll(batch); err != nil {
		w.Recorder.Record(events.Event{Kind: events.RevisionStale, Detail: r.prefix + ": " + err.Error()})
		return err
	}
	w.readiness.addListed(r.prefix)
	return nil
}

func (w *Watcher) applyTargets(change store.Change) {
	service := model.ServiceName(strings.TrimPrefix(change.Key, store.TargetsPrefix))
	var list []model.Target
	if !change.Deleted {
		if err := json.Unmarshal(change.Value, &list); err != nil {
			w.recordInvalid(change, eris.Wrap(err, "decode targets"))
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
		w.recordInvalid(change, eris.Wrap(err, "decode configuration"))
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

func (w *Watcher) recordInvalid(change store.Change, err error) {
	w.Recorder.Record(events.Event{Kind: events.RevisionStale, Detail: change.Key + ": " + err.Error()})
}
