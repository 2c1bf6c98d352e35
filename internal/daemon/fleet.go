package daemon

import (
	"context"
	"time"

	"go.uber.org/fx"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/discovery"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/store"
)

// storeRetryDelay is the pause after a failed call to the platform.
const storeRetryDelay = 500 * time.Millisecond

// fleetModule provides membership, shared facts and the configuration in force.
var fleetModule = fx.Module("fleet",
	fx.Provide(
		func(s *settings.Settings, clock *events.Clock) *fleet.FactReplica {
			return fleet.NewFactReplica(s.Instance, clock, time.Now)
		},
		func(f *fleet.FactReplica) fleet.FactStore { return f },
		newMembers,
		func() *limit.ControlBudget {
			return limit.NewControlBudget(limit.DefaultControlBytesPerSecond, time.Now)
		},
		func(s *settings.Settings) *config.Holder { return config.NewHolder(s.Location) },
		newPeers,
		newWatcher,
	),
	fx.Invoke(runPeers, runWatcher),
)

func newMembers(s *settings.Settings) *fleet.Members {
	return fleet.NewMembers(fleet.Member{
		ID:           s.Instance,
		Location:     s.Location,
		PeerAddr:     s.Peer.Listen,
		OperatorAddr: s.Operator.Listen,
	})
}

// watcherDeps are what discovery reads, and what it keeps in step.
type watcherDeps struct {
	fx.In

	Store    store.Store
	Table    *routing.Table
	Config   *config.Holder
	Recorder events.Recorder
	Members  *fleet.Members
	Board    fleet.FactStore
	Peers    *peers
}

func newWatcher(d watcherDeps) *discovery.Watcher {
	return &discovery.Watcher{
		Store:      d.Store,
		Table:      d.Table,
		Config:     d.Config,
		Recorder:   d.Recorder,
		RetryDelay: storeRetryDelay,
		Members:    d.Members,
		Peers:      d.Peers.asPeers(),
		Board:      d.Board,
		Self:       d.Members.Live()[0],
	}
}

func runWatcher(lc fx.Lifecycle, w *discovery.Watcher) { runLoop(lc, w.Run) }

// runLoop runs a loop between start and stop of the application.
func runLoop(lc fx.Lifecycle, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				defer close(done)
				loop(ctx)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-done
			return nil
		},
	})
}
