// Package discovery keeps an instance's targets and configuration in step with
// the Object API.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/platform"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// Watcher follows the Object API and applies what it reads.
type Watcher struct {
	Store    platform.Store
	Table    *routing.Table
	Config   *config.Holder
	Recorder events.Recorder
	// RetryDelay is the pause after a failed call.
	RetryDelay time.Duration

	targetsListed atomic.Bool
}

// Ready reports whether the targets were read and a configuration is in force.
func (w *Watcher) Ready() bool { return w.targetsListed.Load() && w.Config.Current() != nil }

// Run follows the prefixes until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.follow(ctx, platform.TargetsPrefix, w.applyTargets, &w.targetsListed)
	}()
	w.follow(ctx, platform.ConfigKey, w.applyConfig, new(atomic.Bool))
	<-done
}

// follow lists a prefix, then watches it; it starts over when the cursor is gone.
// It sets applied once the first list has been applied.
func (w *Watcher) follow(ctx context.Context, prefix string, apply func(platform.Change) error, applied *atomic.Bool) {
	var cursor platform.Version
	listed := false
	for ctx.Err() == nil {
		batch, err := w.next(ctx, prefix, cursor, listed)
		var gone *platform.CursorGoneError
		if errors.As(err, &gone) {
			listed = false
			continue
		}
		if err != nil {
			w.pause(ctx)
			continue
		}
		listed = true
		cursor = batch.Next
		for _, change := range batch.Changes {
			if err := apply(change); err != nil {
				w.Recorder.Record(events.Event{Kind: events.RevisionStale, Detail: change.Key + ": " + err.Error()})
			}
		}
		applied.Store(true)
	}
}

func (w *Watcher) next(ctx context.Context, prefix string, cursor platform.Version, listed bool) (platform.Batch, error) {
	if !listed {
		return w.Store.List(ctx, prefix)
	}
	return w.Store.Watch(ctx, prefix, cursor)
}

func (w *Watcher) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(w.RetryDelay):
	}
}

func (w *Watcher) applyTargets(change platform.Change) error {
	service := model.ServiceName(strings.TrimPrefix(change.Key, platform.TargetsPrefix))
	var list []model.Target
	if !change.Deleted {
		if err := json.Unmarshal(change.Value, &list); err != nil {
			return eris.Wrap(err, "decode targets")
		}
	}
	w.Table.SetTargets(service, list)
	return nil
}

func (w *Watcher) applyConfig(change platform.Change) error {
	if change.Deleted {
		return nil
	}
	document := new(config.Document)
	if err := json.Unmarshal(change.Value, document); err != nil {
		return eris.Wrap(err, "decode configuration")
	}
	if w.Config.Apply(document, time.Now()) {
		w.Recorder.Record(events.Event{Kind: events.RevisionInForce, Revision: document.Revision})
	}
	return nil
}
