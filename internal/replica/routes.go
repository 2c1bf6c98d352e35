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
	// writtenEra is the latest era in which the store had the configuration in force.
	writtenEra atomic.Uint64
}

// position returns the store's latest position that the routes reflect.
func (r *Routes) position() Position { return Position(r.asOf.Load()) }

// Replace implements View.
func (r *Routes) Replace(snapshot Batch, removeAfter time.Time) { r.Update(snapshot, removeAfter) }

// Update implements View.
func (r *Routes) Update(changes Batch, _ time.Time) {
	for _, o := range changes.Objects {
		if !o.Deleted {
			r.decodeAndApply(o, changes.AsOf.Era())
		}
	}
	if changes.Strong {
		r.Holder.Confirm(route.FromStore, changes.BeganAt)
	}
	r.asOf.Store(uint64(max(r.position(), changes.AsOf)))
}

// unwritten reports whether the store lost the configuration in force when it returned from an
// older copy, and hasn't got it again.
func (r *Routes) unwritten() bool { return r.position().Era() > r.writtenEra.Load() }

func (r *Routes) decodeAndApply(o Object, era uint64) {
	config, ok, err := r.Decode(o)
	if err != nil {
		r.Observer.RoutesRejected(err)
		return
	}
	if !ok {
		return
	}
	r.apply(config, route.FromStore)
	if t := r.Holder.Current(); t != nil && t.Revision == config.Revision {
		r.writtenEra.Store(max(r.writtenEra.Load(), era))
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
		if from != route.FromStore {
			r.writtenEra.Store(0)
		}
		r.Observer.RoutesApplied(table)
		if r.OnChange != nil {
			r.OnChange()
		}
	}
}
