package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/store"
)

// storageModule provides the client of the platform's Object API and the ledger that is
// stored there.
var storageModule = fx.Module("storage", fx.Provide(
	newPlatformClient,
	func(c *store.Client) (store.Store, store.InstanceLister) { return c, c },
	newLedgerPeers,
	newLedger,
	func(l *ledger.StoreLedger) ledger.Ledger { return l },
), fx.Invoke(runSweeper))

// newLedger returns the ledger. With peers, the ops of each shard are committed by the
// one instance that owns it.
func newLedger(s *settings.Settings, store store.Store, p *ledgerPeers, m *fleet.Members, r events.Recorder) *ledger.StoreLedger {
	local := ledger.NewGroupCommitter(store)
	o := ledger.Options{Self: s.Instance, Store: store, Recorder: r, Committer: local, Membership: membership{m}}
	if p.transport != nil {
		p.serve(local)
		o.Committer = ledger.NewRoutedCommitter(local, p)
	}
	return ledger.New(o)
}

// sweepInterval is the mean delay between two sweeps of the ledger.
const sweepInterval = 5 * time.Minute

// runSweeper periodically deletes ledger records whose retention has ended. The delays
// are random, so that the sweeps of different instances rarely coincide.
func runSweeper(lc fx.Lifecycle, l *ledger.StoreLedger, log *zap.Logger) {
	runLoop(lc, func(ctx context.Context) {
		for {
			select {
			case <-time.After(sweepInterval/2 + rand.N(sweepInterval)):
			case <-ctx.Done():
				return
			}
			if deleted, err := l.Sweep(ctx); err != nil {
				log.Warn("ledger sweep failed", zap.Int("deleted", deleted), zap.Error(err))
			}
		}
	})
}

// newPlatformClient returns a client of the Object API that records outages as events.
func newPlatformClient(s *settings.Settings, r events.Recorder) *store.Client {
	return store.NewClient(store.ClientOptions{
		BaseURL: s.Platform.URL,
		OnAvailability: func(up bool) {
			kind := events.StoreDown
			if up {
				kind = events.StoreUp
			}
			r.Record(events.Event{Kind: kind, Detail: s.Platform.URL})
		},
	})
}
