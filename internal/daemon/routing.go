package daemon

import (
	"time"

	"go.uber.org/fx"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/health/probe"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/settings"
)

// routingModule provides the table of targets, the policy that picks from it and
// the health of targets.
var routingModule = fx.Module("routing",
	fx.Provide(
		func(s *settings.Settings) *routing.Table { return routing.NewInstanceTable(s.Instance, s.Location) },
		func(t *routing.Table) routing.Picker { return routing.NewCostPicker(t, routing.Monotonic) },
		newHealth,
		func(t *health.Table) health.Observer { return t },
		newChecker,
	),
	fx.Invoke(runHealth),
)

func newHealth(s *settings.Settings, t *routing.Table, b fleet.FactStore, m *limit.ControlBudget, r events.Recorder) *health.Table {
	return health.NewTable(health.Options{
		Self:      s.Instance,
		Routing:   t,
		Board:     b,
		Measuring: m,
		Recorder:  r,
		Now:       time.Now,
	})
}

func newChecker(s *settings.Settings, t *health.Table, members *fleet.Members, m *limit.ControlBudget) *health.Checker {
	return &health.Checker{
		Table:     t,
		Prober:    probe.NewHTTP(),
		Members:   members,
		Measuring: m,
		Location:  s.Location,
	}
}

func runHealth(lc fx.Lifecycle, t *health.Table, c *health.Checker) {
	runLoop(lc, t.Run)
	runLoop(lc, c.Run)
}
