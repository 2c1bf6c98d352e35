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

// storeRetryDelay is the initial delay after a failed call to the platform.
const storeRetryDelay = 500 * time.Millisecond

// fleetModule provides the membership, the replicated facts and the configuration in
// force.
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
		func(s *settings.Settings) *config.SnapshotHolder { return config.NewSnapshotHolder(s.Location) },
		newPeerNetwork,
		newWatcher,
	),
	fx.Invoke(runPeerNetwork, runWatcher),
)

// newMembers returns a member list that contains only this instance.
func newMembers(s *settings.Settings) *fleet.Members {
	return fleet.NewMembers(fleet.Member{
		ID:           s.Instance,
		Location:     s.Location,
		PeerAddr:     s.Peer.Listen,
		OperatorAddr: s.Operator.Listen,
	})
}

// watcherParams are the dependencies of the discovery watcher.
type watcherParams struct {
	fx.In

	Store    store.Store
	Table    *routing.Table
	Config   *config.SnapshotHolder
	Recorder events.Recorder
	Members  *fleet.Members
	Facts    fleet.FactStore
	Peers    *peerNetwork
}

func newWatcher(p watcherParams) *discovery.Watcher {
	return &discovery.Watcher{
		Store:      p.Store,
		Table:      p.Table,
		Config:     p.Config,
		Recorder:   p.Recorder,
		RetryDelay: storeRetryDelay,
		Members:    p.Members,
		Peers:      p.Peers.discoveryPeers(),
		Facts:      p.Facts,
		Self:       p.Members.Live()[0],
	}
}

func runWatcher(lc fx.Lifecycle, w *discovery.Watcher) { runLoop(lc, w.Run) }

// runLoop runs a function in a goroutine from the start of the application to its stop,
// which cancels the function's context and waits until the function has returned.
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
