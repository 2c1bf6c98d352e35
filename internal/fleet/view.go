package fleet

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

const (
	// regionLinks is the number of links that an instance opens within its region:
	// one within its failure domain and one to another domain, so that the loss of a
	// whole domain is detected from outside. It opens one more to another region and
	// accepts about as many links as it opens.
	regionLinks = 2

	// unneededLinkTimeout is how long a link stays open after its peer left the view.
	unneededLinkTimeout = 10 * time.Second

	// minRedialDelay is the delay before an instance is dialed again after its first
	// failure, and the interval between dials of seeds. The delay doubles with each
	// further failure.
	minRedialDelay = time.Second
	// maxRedialDelay is the upper limit of the delay between dials of an instance.
	maxRedialDelay = time.Minute
)

// Hash rings. Each orders all instances in a circle by a different hash; an instance
// links to its successors.
const (
	// domainRing selects the links within the failure domain.
	domainRing = iota
	// regionRing selects the links within the region, preferably to other failure domains.
	regionRing
	// otherRegionRing selects the links to other regions.
	otherRegionRing
	// ringCount is the number of rings.
	ringCount
)

// ringPositions are the positions of an instance on the hash rings.
type ringPositions [ringCount]uint64

// ringPositionsOf returns the ring positions of an instance, which depend only on its
// ID.
func ringPositionsOf(id model.InstanceID) ringPositions {
	var p ringPositions
	for ring := range p {
		p[ring] = xxhash.Sum64String(string(rune('0'+ring)) + string(id))
	}
	return p
}

// viewMaxAge is how long a view is reused while nothing changes. It bounds how late an
// instance whose redial delay has passed is dialed.
const viewMaxAge = 3 * time.Second

// view returns the current view, recomputing it if it is out of date.
func (e *Engine) view(now time.Time) []model.InstanceID {
	if now.Sub(e.viewComputedAt) >= viewMaxAge {
		e.viewComputedAt = now
		e.currentView = e.newView(now)
	}
	return e.currentView
}

// newView computes the view: the instances that this one opens links to, which are its
// successors in its failure domain, in its region and in the other regions. Every
// instance computes its view locally, without messages, and all instances get about
// the same number of links.
func (e *Engine) newView(now time.Time) []model.InstanceID {
	var view []model.InstanceID
	self := e.o.Self.Location
	sameRegion := func(p *peerRecord) bool { return p.member.Location.Region == self.Region }
	sameDomain := func(p *peerRecord) bool { return p.member.Location == self }
	otherDomain := func(p *peerRecord) bool { return sameRegion(p) && p.member.Location != self }
	otherRegion := func(p *peerRecord) bool { return !sameRegion(p) }
	view = e.successor(view, domainRing, now, sameDomain)
	view = e.balancedSuccessor(view, regionRing, now, sameDomain, otherDomain, 1)
	for len(view) < regionLinks {
		n := len(view)
		if view = e.successor(view, regionRing, now, sameRegion); len(view) == n {
			break
		}
	}
	return e.balancedSuccessor(view, otherRegionRing, now, sameRegion, otherRegion, 0)
}

// ringPosition is the position of an instance on one ring.
type ringPosition struct {
	// at is the position on the ring.
	at uint64
	id model.InstanceID
}

// balancedSuccessor appends the instance that this one links to on a ring, using
// consistent hashing with bounded loads: each chooser in ring order is assigned the
// next linkable candidate whose load is below the average load plus slack. All
// choosers compute the same assignment, so no candidate gets too many links. The view
// is returned unchanged if there is no candidate.
func (e *Engine) balancedSuccessor(view []model.InstanceID, ring int, now time.Time, choosers, eligible func(*peerRecord) bool, slack int) []model.InstanceID {
	chooserPositions := []ringPosition{{e.ringPositions[ring], e.o.Self.ID}}
	var candidatePositions []ringPosition
	for id, p := range e.peers {
		if eligible(p) && e.linkable(p, now) {
			candidatePositions = append(candidatePositions, ringPosition{p.ringPositions[ring], id})
		}
		if choosers(p) && p.live() {
			chooserPositions = append(chooserPositions, ringPosition{p.ringPositions[ring], id})
		}
	}
	if len(candidatePositions) == 0 {
		return view
	}
	sortRingPositions(chooserPositions)
	sortRingPositions(candidatePositions)
	limit := (len(chooserPositions)+len(candidatePositions)-1)/len(candidatePositions) + slack
	load := make([]int, len(candidatePositions))
	for _, chooser := range chooserPositions {
		i := sort.Search(len(candidatePositions), func(i int) bool { return candidatePositions[i].at >= chooser.at }) % len(candidatePositions)
		for load[i] >= limit {
			i = (i + 1) % len(candidatePositions)
		}
		load[i]++
		if chooser.id == e.o.Self.ID {
			return append(view, candidatePositions[i].id)
		}
	}
	return view
}

func sortRingPositions(list []ringPosition) {
	slices.SortFunc(list, func(a, b ringPosition) int { return cmp.Compare(a.at, b.at) })
}

// successor appends the next instance on a ring that matches, is linkable and is not
// in the view yet. The view is returned unchanged if there is none.
func (e *Engine) successor(view []model.InstanceID, ring int, now time.Time, match func(*peerRecord) bool) []model.InstanceID {
	var best *peerRecord
	var distance uint64
	for id, p := range e.peers {
		if !match(p) || !e.linkable(p, now) || contains(view, id) {
			continue
		}
		d := p.ringPositions[ring] - e.ringPositions[ring]
		if best == nil || d < distance {
			best = p
			distance = d
		}
	}
	if best == nil {
		return view
	}
	return append(view, best.member.ID)
}

func contains(list []model.InstanceID, id model.InstanceID) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// linkable reports whether an instance may be part of the view: it is linked already,
// or it is considered reachable and its redial delay has passed.
func (e *Engine) linkable(p *peerRecord, now time.Time) bool {
	if e.links[p.member.ID] != nil {
		return !p.dead
	}
	if p.dead || p.state == MemberSuspect || e.partitioned(p.member.Location.Region) {
		return false
	}
	return !now.Before(p.retryAt)
}

// maintainLinks dials the members of the view that have no link and closes the links
// that this instance dialed to peers that left the view unneededLinkTimeout ago. It
// dials a seed if there is neither a link nor a view.
func (e *Engine) maintainLinks(now time.Time) {
	view := e.view(now)
	for _, id := range view {
		if p := e.peers[id]; p != nil && e.links[id] == nil && !e.deferDials() {
			e.dial(p, now)
		}
	}
	for id, l := range e.links {
		switch {
		case !l.dialed || contains(view, id):
			l.outOfViewSince = time.Time{}
		case l.outOfViewSince.IsZero():
			l.outOfViewSince = now
		case now.Sub(l.outOfViewSince) >= unneededLinkTimeout:
			e.afterUnlock(func() { e.o.Transport.Close(id) })
		}
	}
	if len(e.links) == 0 && len(view) == 0 {
		e.dialSeeds(now)
	}
}

const (
	// massFailureSuspects is the number of concurrent suspects from which the loss of
	// a whole failure domain is assumed; independent failures rarely coincide.
	massFailureSuspects = 4
	// massFailureLinks is the number of links that suffices to disseminate facts
	// during a mass failure.
	massFailureLinks = 3
)

// deferDials reports whether to open no new links for now. While many members are
// suspected, a dial is likely to reach another failed one, and the budget is needed to
// disseminate the suspicions.
func (e *Engine) deferDials() bool {
	return len(e.suspects) >= massFailureSuspects && len(e.links) >= massFailureLinks
}

// dial dials an instance unless a dial of it is in progress.
func (e *Engine) dial(p *peerRecord, now time.Time) {
	if now.Before(p.dialDeadline) {
		return
	}
	p.dialDeadline = now.Add(2 * peer.DialTimeout)
	addr := p.member.PeerAddr
	e.afterUnlock(func() { e.o.Transport.Dial(addr) })
}

// dialSeeds dials one random seed address at most once per minRedialDelay.
func (e *Engine) dialSeeds(now time.Time) {
	if len(e.seeds) == 0 || now.Before(e.nextProbe) {
		return
	}
	e.nextProbe = now.Add(minRedialDelay)
	addr := e.seeds[e.o.Rand.IntN(len(e.seeds))]
	if addr != e.o.Self.PeerAddr {
		e.afterUnlock(func() { e.o.Transport.Dial(addr) })
	}
}

// LinkUp implements peer.Handler.
func (e *Engine) LinkUp(l peer.Link) {
	e.withLock(func(now time.Time) {
		p := e.ensurePeer(l.Peer)
		p.dialDeadline = time.Time{}
		p.failures = 0
		p.retryAt = time.Time{}
		if p.member.PeerAddr == "" {
			p.member.PeerAddr = l.Addr
		}
		e.links[l.Peer] = &link{dialed: l.Dialed, receivedAt: now}
		e.withdrawPartition(p.member.Location.Region)
		e.sendHello(l.Peer)
	})
}

// LinkDown implements peer.Handler.
func (e *Engine) LinkDown(id model.InstanceID, lost bool) {
	e.withLock(func(now time.Time) {
		e.updateReceived(now)
		delete(e.links, id)
		e.changed = true
		p := e.peers[id]
		switch {
		case p == nil:
		case lost:
			e.handleUnreachable(p, now)
		default:
			p.retryAt = now.Add(minRedialDelay)
		}
	})
}

// DialFailed implements peer.Handler.
func (e *Engine) DialFailed(addr string) {
	e.withLock(func(now time.Time) {
		p := e.peers[e.byAddr[addr]]
		if p == nil {
			return
		}
		p.dialDeadline = time.Time{}
		e.viewComputedAt = time.Time{}
		if e.links[p.member.ID] == nil {
			e.handleUnreachable(p, now)
		}
	})
}

// handleUnreachable delays the next dial with exponential backoff and reports the
// failure: as a suspicion of a member of this region, or as evidence of a partition
// from another region.
func (e *Engine) handleUnreachable(p *peerRecord, now time.Time) {
	p.retryAt = now.Add(min(minRedialDelay<<min(p.failures, 6), maxRedialDelay))
	p.failures++
	if p.member.Location.Region == e.o.Self.Location.Region {
		e.publishSuspicion(p.member.ID, now)
		return
	}
	e.handleRemoteUnreachable(p, now)
}
