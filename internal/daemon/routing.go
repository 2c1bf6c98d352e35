package daemon

import (
	"go.uber.org/fx"

	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// routingModule provides the table of targets and the policy that picks from it.
var routingModule = fx.Module("routing", fx.Provide(
	func(s *settings.Settings) *routing.Table { return routing.NewInstanceTable(s.Instance, s.Location) },
	func(t *routing.Table) routing.Picker { return routing.NewCostPicker(t, routing.Monotonic) },
))
