package routing

import (
	"cmp"
	"slices"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// maxHomes is the largest number of targets that one instance uses of a tier.
	maxHomes = 24
	// minHomes is the smallest number that the bound on connections leaves.
	minHomes = 4
	// connsPerInstance is the number of connections that an instance is expected
	// to hold to one of its home targets.
	connsPerInstance = 8
)

// tier groups the endpoints that a class tries together.
type tier uint8

const (
	regionProven tier = iota
	regionUnproven
	regionUsable
	regionEjected
	remoteProven
	remoteUnproven
	remoteUsable
	remoteEjected
	tierCount
)

// Orders in which classes try the tiers. Requests that must not repeat try every
// proven target before an unproven one.
var (
	repeatableOrder = []tier{regionUsable, remoteUsable, regionEjected, remoteEjected}
	onceOrder       = []tier{regionProven, remoteProven, regionUnproven, remoteUnproven, regionEjected, remoteEjected}
)

// Pool holds the endpoints of one service. It is immutable.
type Pool struct {
	// Endpoints are all targets of the service, in the order of the target list.
	Endpoints []*Endpoint
	// homes are the endpoints that this instance uses, by tier, in the instance's
	// own stable order.
	homes [tierCount][]*Endpoint
}

// Place is where an instance stands among the live instances of its region,
// ordered by ID, and among those of its failure domain. Instances that know their
// places prefer different targets; a place that is out of date costs latency only.
type Place struct {
	Index, Instances             int
	DomainIndex, DomainInstances int
}

// newPool sorts endpoints into tiers and keeps the home targets of each.
func newPool(endpoints []*Endpoint, at Place) *Pool {
	p := &Pool{Endpoints: endpoints}
	for _, e := range endpoints {
		if e.Standing != Draining {
			t := tierOf(e)
			p.homes[t] = append(p.homes[t], e)
		}
	}
	for t, list := range p.homes {
		slices.SortFunc(list, nearer)
		p.homes[t] = slices.Clip(list[:homeCount(list, at.Instances)])
		if len(p.homes[t]) == len(list) {
			takeTurns(list, at)
		}
	}
	p.homes[regionUsable] = merge(p.homes[regionProven], p.homes[regionUnproven])
	p.homes[remoteUsable] = merge(p.homes[remoteProven], p.homes[remoteUnproven])
	return p
}

// tierOf returns the tier of an endpoint that may receive work.
func tierOf(e *Endpoint) tier {
	t := regionProven
	if e.Distance == model.OtherRegion {
		t = remoteProven
	}
	switch e.Standing {
	case Unproven:
		return t + regionUnproven
	case Ejected:
		return t + regionEjected
	default:
		return t
	}
}

// nearer orders by distance, then by the instance's rendezvous order.
func nearer(a, b *Endpoint) int {
	return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.rank, b.rank))
}

// takeTurns orders a list of which every target is a home: each group of one
// distance by ID, beginning at a different target for each instance.
func takeTurns(list []*Endpoint, at Place) {
	for len(list) > 0 {
		n := 1
		for n < len(list) && list[n].Distance == list[0].Distance {
			n++
		}
		index, instances := at.Index, at.Instances
		if list[0].Distance == model.SameDomain {
			index, instances = at.DomainIndex, at.DomainInstances
		}
		if instances > 1 {
			slices.SortFunc(list[:n], byID)
			rotate(list[:n], index*n/instances)
		}
		list = list[n:]
	}
}

func byID(a, b *Endpoint) int { return cmp.Compare(a.Target.ID, b.Target.ID) }

// rotate moves the first k elements to the end.
func rotate(list []*Endpoint, k int) {
	copy(list, slices.Concat(list[k:], list[:k]))
}

// merge joins two lists; of each distance, those of a come first.
func merge(a, b []*Endpoint) []*Endpoint {
	if len(b) == 0 {
		return a
	}
	list := slices.Concat(a, b)
	slices.SortStableFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.Distance, b.Distance) })
	return list
}

// homeCount bounds the connections per target: the instances of a region share
// its targets so that each is dialled by few enough of them.
func homeCount(list []*Endpoint, instances int) int {
	if len(list) == 0 {
		return 0
	}
	n := maxHomes
	if conns := list[0].Target.MaxConns; conns > 0 && instances > 0 {
		n = len(list) * conns / (instances * connsPerInstance)
	}
	return min(max(n, minHomes), maxHomes, len(list))
}

// shareOf returns the part of a target's slots that one of several instances may
// take without knowing of the others: half as much again as an even split.
func shareOf(slots, instances int) int {
	if slots <= 0 {
		return unlimited
	}
	if instances <= 1 {
		return slots
	}
	return min((3*slots+2*instances-1)/(2*instances), slots)
}

// unlimited stands for the slots of a target that does not tell them.
const unlimited = 1 << 20
