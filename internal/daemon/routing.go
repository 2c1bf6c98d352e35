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

// routingModule provides the table of targets, the policy that picks targets from it, and
// health checking with outlier ejection.
var routingModule = fx.Module("routing",
	fx.Provide(
		func(s *settings.Settings) *routing.Table { return routing.NewInstanceTable(s.Instance, s.Location) },
		func(t *routing.Table) routing.Picker { return routing.NewCostPicker(t, routing.Monotonic) },
		newHealthTable,
		func(t *health.Table) health.Observer { return t },
		newHealthChecker,
	),
	fx.Invoke(runHealth),
)

// newHealthTable returns the health table, which detects and ejects failing targets.
func newHealthTable(s *settings.Settings, t *routing.Table, facts fleet.FactStore, budget *limit.ControlBudget, r events.Recorder) *health.Table {
	return health.NewTable(health.Options{
		Self:          s.Instance,
		Routing:       t,
		Facts:         facts,
		ControlBudget: budget,
		Recorder:      r,
		Now:           time.Now,
	})
}

// newHealthChecker returns the component that actively checks targets' health.
func newHealthChecker(s *settings.Settings, t *health.Table, members *fleet.Members, budget *limit.ControlBudget) *health.Checker {
	return &health.Checker{
		Table:         t,
		Prober:        probe.NewHTTP(),
		Members:       members,
		ControlBudget: budget,
		Location:      s.Location,
	}
}

// runHealth runs the periodic work of the health table and the active health checks.
func runHealth(lc fx.Lifecycle, t *health.Table, c *health.Checker) {
	runLoop(lc, t.Run)
	runLoop(lc, c.Run)
}
