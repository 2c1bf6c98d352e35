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
	homes [tierCount]homes
}

// homes are the endpoints of one tier that an instance uses: the near ones are in
// its own failure domain.
type homes struct{ near, far group }

// group is a list of equally near endpoints. Instances begin their search at
// different places: each at a random one of its own part of the circle, so that
// all parts together cover every endpoint evenly.
type group struct {
	list []*Endpoint
	// from and width bound the part, in positions.
	from, width float32
}

// start returns the position at which a search begins, for u in [0, 1).
func (g *group) start(u float32) int { return min(int(g.from+g.width*u), len(g.list)-1) }

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
	var tiers [tierCount][]*Endpoint
	for _, e := range endpoints {
		if e.Standing != Draining {
			t := tierOf(e)
			tiers[t] = append(tiers[t], e)
		}
	}
	for t, list := range tiers {
		slices.SortFunc(list, nearer)
		tiers[t] = list[:homeCount(list, at.Instances)]
	}
	tiers[regionUsable] = merge(tiers[regionProven], tiers[regionUnproven])
	tiers[remoteUsable] = merge(tiers[remoteProven], tiers[remoteUnproven])
	for t, list := range tiers {
		p.homes[t] = newHomes(list, at)
	}
	return p
}

// newHomes splits a list, nearest first, by failure domain.
func newHomes(list []*Endpoint, at Place) homes {
	near := 0
	for near < len(list) && list[near].Distance == model.SameDomain {
		near++
	}
	all := len(list) < maxHomes
	return homes{
		near: newGroup(slices.Clone(list[:near]), all, at.DomainIndex, at.DomainInstances),
		far:  newGroup(slices.Clone(list[near:]), all, at.Index, at.Instances),
	}
}

// newGroup gives an instance its part of a list. Where not every target of a tier
// is a home, the instances' lists differ already.
func newGroup(list []*Endpoint, all bool, index, instances int) group {
	if !all || instances < 2 {
		return group{list: list}
	}
	slices.SortFunc(list, byID)
	width := float32(len(list)) / float32(instances)
	return group{list: list, from: width * float32(index), width: width}
}

func byID(a, b *Endpoint) int { return cmp.Compare(a.Target.ID, b.Target.ID) }

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

// merge joins two lists; of each distance, those of a come first.
func merge(a, b []*Endpoint) []*Endpoint {
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
