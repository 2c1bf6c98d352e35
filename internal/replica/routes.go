package replica

import (
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// RouteDecoder decodes an object of the store into a route configuration. It
// returns false for an object that is not a route configuration.
type RouteDecoder func(Object) (route.Config, bool, error)

// RouteObserver is notified whether a configuration was applied or rejected.
type RouteObserver interface {
	RoutesApplied(t *route.Table)
	RoutesRejected(err error)
}

// Routes applies route configurations to a Holder. If a configuration is deleted
// or invalid, the last valid one stays in force.
type Routes struct {
	Decode   RouteDecoder
	Holder   *route.Holder
	Observer RouteObserver
	// OnChange, if set, is called after another configuration is in force.
	OnChange func()

	// asOf is the store's latest Position that a list or watch reflected.
	asOf atomic.Uint64
}

// position returns the store's latest position that the routes reflect.
func (r *Routes) position() Position { return Position(r.asOf.Load()) }

// Replace implements View.
func (r *Routes) Replace(snapshot Batch, removeAfter time.Time) { r.Update(snapshot, removeAfter) }

// Update implements View.
func (r *Routes) Update(changes Batch, _ time.Time) {
	for _, o := range changes.Objects {
		if !o.Deleted {
			r.decodeAndApply(o)
		}
	}
	if changes.Strong {
		r.Holder.Confirm(route.FromStore, changes.BeganAt)
	}
	r.asOf.Store(uint64(max(r.position(), changes.AsOf)))
}

func (r *Routes) decodeAndApply(o Object) {
	config, ok, err := r.Decode(o)
	if err != nil {
		r.Observer.RoutesRejected(err)
		return
	}
	if ok {
		r.apply(config, route.FromStore)
	}
}

// apply puts a configuration in force unless the current one is as new or newer.
func (r *Routes) apply(config route.Config, from route.Source) {
	table, err := route.NewTable(config)
	if err != nil {
		r.Observer.RoutesRejected(err)
		return
	}
	table.LearntFrom = from
	if r.Holder.Apply(table) {
		r.Observer.RoutesApplied(table)
		if r.OnChange != nil {
			r.OnChange()
		}
	}
}
