package routing

import (
	"cmp"
	"slices"

	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// maxSubsetSize is the largest number of targets that one instance uses per tier.
	maxSubsetSize = 24
	// minSubsetSize is the smallest number of targets per tier that the connection
	// limit may reduce the subset to.
	minSubsetSize = 4
	// connsPerInstance is the number of connections that an instance is expected to
	// open to each target of its subset.
	connsPerInstance = 8
)

// tier groups endpoints by region and state. Requests try the tiers in a fixed order.
// Local tiers hold the targets of this instance's region; usable tiers hold proven and
// unproven targets together.
type tier uint8

const (
	localProven tier = iota
	localUnproven
	localUsable
	localEjected
	remoteProven
	remoteUnproven
	remoteUsable
	remoteEjected
	tierCount
)

var (
	// idempotentOrder is the tier order of idempotent requests.
	idempotentOrder = []tier{localUsable, remoteUsable, localEjected, remoteEjected}
	// nonIdempotentOrder is the tier order of requests that must not be repeated. They
	// try every proven target, in all regions, before an unproven one.
	nonIdempotentOrder = []tier{localProven, remoteProven, localUnproven, remoteUnproven, localEjected, remoteEjected}
)

// Pool holds the endpoints of one service. It is immutable.
type Pool struct {
	// Endpoints are all targets of the service, in the order of the target list.
	Endpoints []*Endpoint
	// subsets are the endpoints that this instance uses, by tier.
	subsets [tierCount]subset
}

// subset holds the endpoints of one tier that an instance uses, split into those in
// its own failure domain and all others.
type subset struct{ sameDomain, otherDomains ring }

// ring is a list of equally distant endpoints. Each instance owns an arc of the ring
// and starts its search at a random position within the arc. The arcs of all instances
// together cover every endpoint evenly.
type ring struct {
	list []*Endpoint
	// arcStart and arcWidth are in positions of the list.
	arcStart, arcWidth float32
}

// startIndex returns the position at which a search starts, for u in [0, 1).
func (r *ring) startIndex(u float32) int { return min(int(r.arcStart+r.arcWidth*u), len(r.list)-1) }

// Position is the index of an instance, ordered by ID, among the live instances of its
// region and of its failure domain, with their numbers. Instances use it to prefer
// different targets; an outdated position affects latency only.
type Position struct {
	Index, Instances             int
	DomainIndex, DomainInstances int
}

// newPool sorts the endpoints into tiers and selects the subset of each tier.
func newPool(endpoints []*Endpoint, at Position) *Pool {
	p := &Pool{Endpoints: endpoints}
	var tiers [tierCount][]*Endpoint
	for _, e := range endpoints {
		if e.State != Draining {
			t := tierOf(e)
			tiers[t] = append(tiers[t], e)
		}
	}
	for t, list := range tiers {
		slices.SortFunc(list, byDistance)
		tiers[t] = list[:subsetSize(list, at.Instances)]
	}
	tiers[localUsable] = mergeByDistance(tiers[localProven], tiers[localUnproven])
	tiers[remoteUsable] = mergeByDistance(tiers[remoteProven], tiers[remoteUnproven])
	for t, list := range tiers {
		p.subsets[t] = newSubset(list, at)
	}
	return p
}

// newSubset splits a list, which is sorted nearest first, by failure domain. A list
// shorter than maxSubsetSize is taken to hold every target of its tier.
func newSubset(list []*Endpoint, at Position) subset {
	sameDomainCount := 0
	for sameDomainCount < len(list) && list[sameDomainCount].Distance == model.SameDomain {
		sameDomainCount++
	}
	complete := len(list) < maxSubsetSize
	return subset{
		sameDomain:   newRing(slices.Clone(list[:sameDomainCount]), complete, at.DomainIndex, at.DomainInstances),
		otherDomains: newRing(slices.Clone(list[sameDomainCount:]), complete, at.Index, at.Instances),
	}
}

// newRing assigns an instance its arc of a list. No arc is needed if the list isn't
// complete, that is, doesn't hold every target of the tier: such lists differ between
// instances anyway.
func newRing(list []*Endpoint, complete bool, index, instances int) ring {
	if !complete || instances < 2 {
		return ring{list: list}
	}
	slices.SortFunc(list, byID)
	width := float32(len(list)) / float32(instances)
	return ring{list: list, arcStart: width * float32(index), arcWidth: width}
}

func byID(a, b *Endpoint) int { return cmp.Compare(a.Target.ID, b.Target.ID) }

// tierOf returns the tier of an endpoint that is not draining.
func tierOf(e *Endpoint) tier {
	t := localProven
	if e.Distance == model.OtherRegion {
		t = remoteProven
	}
	switch e.State {
	case Unproven:
		return t + localUnproven
	case Ejected:
		return t + localEjected
	default:
		return t
	}
}

// byDistance compares by distance, then by rendezvous hash.
func byDistance(a, b *Endpoint) int {
	return cmp.Or(cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.rendezvousHash, b.rendezvousHash))
}

// mergeByDistance merges two lists by distance; at equal distance, endpoints of a come
// first.
func mergeByDistance(a, b []*Endpoint) []*Endpoint {
	list := slices.Concat(a, b)
	slices.SortStableFunc(list, func(a, b *Endpoint) int { return cmp.Compare(a.Distance, b.Distance) })
	return list
}

// subsetSize returns how many targets of a list one instance uses. It bounds the
// connections per target: the instances of a region divide the targets among
// themselves so that each target stays below its MaxConns.
func subsetSize(list []*Endpoint, instances int) int {
	if len(list) == 0 {
		return 0
	}
	n := maxSubsetSize
	if conns := list[0].Target.MaxConns; conns > 0 && instances > 0 {
		n = len(list) * conns / (instances * connsPerInstance)
	}
	return min(max(n, minSubsetSize), maxSubsetSize, len(list))
}

// slotShareOf returns how many of a target's slots one of several instances may use
// without knowing what the others use: 1.5 times an even split, rounded up. It returns
// unlimited if the number of slots is unknown.
func slotShareOf(slots, instances int) int {
	if slots <= 0 {
		return unlimited
	}
	if instances <= 1 {
		return slots
	}
	return min((3*slots+2*instances-1)/(2*instances), slots)
}

// unlimited is the slot count assumed for a target that does not state one.
const unlimited = 1 << 20
