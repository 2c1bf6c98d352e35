package daemon

import (
	"go.uber.org/fx"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/platform"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// storageModule provides the platform client and the ledger on top of it.
var storageModule = fx.Module("storage", fx.Provide(
	newPlatformClient,
	func(c *platform.Client) (platform.Store, platform.InstanceLister) { return c, c },
	func(s *settings.Settings, store platform.Store, r events.Recorder) ledger.Ledger {
		return ledger.NewStoreLedger(s.Instance, store, r)
	},
))

func newPlatformClient(s *settings.Settings, r events.Recorder) *platform.Client {
	return platform.NewClient(platform.ClientOptions{
		BaseURL: s.Platform.URL,
		OnState: func(up bool) {
			kind := events.StoreDown
			if up {
				kind = events.StoreUp
			}
			r.Record(events.Event{Kind: kind, Detail: s.Platform.URL})
		},
	})
}
