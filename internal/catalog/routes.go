package catalog

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// RouteDecoder turns an object into a configuration. It reports false for an
// object that is none.
type RouteDecoder func(Object) (route.Config, bool, error)

// RouteObserver learns what became of a configuration that was read.
type RouteObserver interface {
	RoutesInForce(t *route.Table)
	RoutesRejected(err error)
}

// Routes puts configurations in force. A missing or unusable one leaves the last
// good one in force.
type Routes struct {
	Decode   RouteDecoder
	Holder   *route.Holder
	Observer RouteObserver
}

// Replace implements View.
func (r *Routes) Replace(all Batch, settled time.Time) { r.Update(all, settled) }

// Update implements View.
func (r *Routes) Update(changes Batch, _ time.Time) {
	for _, o := range changes.Objects {
		if !o.Deleted {
			r.offer(o)
		}
	}
}

func (r *Routes) offer(o Object) {
	config, ok, err := r.Decode(o)
	if err != nil {
		r.Observer.RoutesRejected(err)
		return
	}
	if ok {
		r.put(config)
	}
}

// put puts a configuration in force unless it is older than the one that is.
func (r *Routes) put(config route.Config) {
	table, err := route.NewTable(config)
	if err != nil {
		r.Observer.RoutesRejected(err)
		return
	}
	if r.Holder.Offer(table) {
		r.Observer.RoutesInForce(table)
	}
}
