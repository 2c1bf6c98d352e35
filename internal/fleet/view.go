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
	// localLinks is the number of links that an instance opens within its region,
	// one within its failure domain and one to another one, so that a lost domain
	// leaves witnesses. One more goes to another region. About as many are opened
	// by others towards it.
	localLinks = 2

	// unwantedLife is how long a link stays open after it left the view.
	unwantedLife = 10 * time.Second

	minRetry = time.Second
	maxRetry = time.Minute
)

// rings order all instances in circles; an instance links to its successors.
const (
	domainRing = iota
	regionRing
	farRing
	ringCount
)

// places are an instance's positions on the rings.
type places [ringCount]uint64

func placesOf(id model.InstanceID) places {
	var p places
	for ring := range p {
		p[ring] = xxhash.Sum64String(string(rune('0'+ring)) + string(id))
	}
	return p
}

// viewLife is how long a view is used while nothing changes; it bounds the delay
// of second tries.
const viewLife = 3 * time.Second

// view returns the current view and works it out anew when it is due.
func (e *Engine) view(now time.Time) []model.InstanceID {
	if now.Sub(e.viewed) >= viewLife {
		e.viewed = now
		e.currentView = e.newView(now)
	}
	return e.currentView
}

// newView returns the instances that this one wants links to: its successors in
// its failure domain, in its region and in other regions. Every instance works
// it out for itself, without messages, and degrees stay even.
func (e *Engine) newView(now time.Time) []model.InstanceID {
	var view []model.InstanceID
	self := e.o.Self.Location
	near := func(k *known) bool { return k.member.Location.Region == self.Region }
	sameDomain := func(k *known) bool { return k.member.Location == self }
	otherDomain := func(k *known) bool { return near(k) && k.member.Location != self }
	far := func(k *known) bool { return !near(k) }
	view = e.successor(view, domainRing, now, sameDomain)
	view = e.share(view, regionRing, now, sameDomain, otherDomain, 1)
	for len(view) < localLinks {
		n := len(view)
		if view = e.successor(view, regionRing, now, near); len(view) == n {
			break
		}
	}
	return e.share(view, farRing, now, near, far, 0)
}

// place is an instance's position on one ring.
type place struct {
	at uint64
	id model.InstanceID
}

// share appends the instance that this one links to when all choosers take a
// successor among the candidates in turn, and a candidate takes an even share of
// them and some slack. Every chooser works out the same, so that no candidate
// gets many links.
func (e *Engine) share(view []model.InstanceID, ring int, now time.Time, choosers, candidates func(*known) bool, slack int) []model.InstanceID {
	takers := []place{{e.places[ring], e.o.Self.ID}}
	var givers []place
	for id, k := range e.others {
		if candidates(k) && e.linkable(k, now) {
			givers = append(givers, place{k.places[ring], id})
		}
		if choosers(k) && k.live() {
			takers = append(takers, place{k.places[ring], id})
		}
	}
	if len(givers) == 0 {
		return view
	}
	sortPlaces(takers)
	sortPlaces(givers)
	limit := (len(takers)+len(givers)-1)/len(givers) + slack
	load := make([]int, len(givers))
	for _, taker := range takers {
		i := sort.Search(len(givers), func(i int) bool { return givers[i].at >= taker.at }) % len(givers)
		for load[i] >= limit {
			i = (i + 1) % len(givers)
		}
		load[i]++
		if taker.id == e.o.Self.ID {
			return append(view, givers[i].id)
		}
	}
	return view
}

func sortPlaces(list []place) {
	slices.SortFunc(list, func(a, b place) int { return cmp.Compare(a.at, b.at) })
}

// successor appends the next instance on a ring that may be linked to.
func (e *Engine) successor(view []model.InstanceID, ring int, now time.Time, match func(*known) bool) []model.InstanceID {
	var best *known
	var distance uint64
	for id, k := range e.others {
		if !match(k) || !e.linkable(k, now) || contains(view, id) {
			continue
		}
		d := k.places[ring] - e.places[ring]
		if best == nil || d < distance {
			best = k
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

// linkable reports whether an instance may be part of the view.
func (e *Engine) linkable(k *known, now time.Time) bool {
	if e.links[k.member.ID] != nil {
		return !k.dead
	}
	if k.dead || k.state == MemberSuspect || e.isCut(k.member.Location.Region) {
		return false
	}
	return !now.Before(k.retryAt)
}

// connect dials the members of the view that have no link and closes links that
// have long left it.
func (e *Engine) connect(now time.Time) {
	view := e.view(now)
	for _, id := range view {
		if k := e.others[id]; k != nil && e.links[id] == nil && !e.stormy() {
			e.dial(k, now)
		}
	}
	for id, l := range e.links {
		switch {
		case !l.dialed || contains(view, id):
			l.unwanted = time.Time{}
		case l.unwanted.IsZero():
			l.unwanted = now
		case now.Sub(l.unwanted) >= unwantedLife:
			e.do(func() { e.o.Transport.Close(id) })
		}
	}
	if len(e.links) == 0 && len(view) == 0 {
		e.dialSeeds(now)
	}
}

const (
	// stormSuspects is the number of suspects from which a whole failure domain may
	// be lost; single deaths don't come together.
	stormSuspects = 4
	// stormLinks is the number of links that spread news well enough meanwhile.
	stormLinks = 3
)

// stormy reports whether new links should wait: so many members are in doubt that a
// dial may well meet another dead one, and the news of them needs the budget.
func (e *Engine) stormy() bool {
	return len(e.suspects) >= stormSuspects && len(e.links) >= stormLinks
}

func (e *Engine) dial(k *known, now time.Time) {
	if now.Before(k.dialingTill) {
		return
	}
	k.dialingTill = now.Add(2 * peer.DialTimeout)
	addr := k.member.PeerAddr
	e.do(func() { e.o.Transport.Dial(addr) })
}

// dialSeeds dials the configured addresses, one at a time.
func (e *Engine) dialSeeds(now time.Time) {
	if len(e.seeds) == 0 || now.Before(e.nextProbe) {
		return
	}
	e.nextProbe = now.Add(minRetry)
	addr := e.seeds[e.o.Rand.IntN(len(e.seeds))]
	if addr != e.o.Self.PeerAddr {
		e.do(func() { e.o.Transport.Dial(addr) })
	}
}

// LinkUp implements peer.Handler.
func (e *Engine) LinkUp(l peer.Link) {
	e.locked(func(now time.Time) {
		k := e.other(l.Peer)
		k.dialingTill = time.Time{}
		k.failures = 0
		k.retryAt = time.Time{}
		if k.member.PeerAddr == "" {
			k.member.PeerAddr = l.Addr
		}
		e.links[l.Peer] = &link{dialed: l.Dialed, heardAt: now}
		e.reached(k.member.Location.Region)
		e.greet(l.Peer)
	})
}

// LinkDown implements peer.Handler.
func (e *Engine) LinkDown(id model.InstanceID, lost bool) {
	e.locked(func(now time.Time) {
		e.listen(now)
		delete(e.links, id)
		e.changed = true
		k := e.others[id]
		switch {
		case k == nil:
		case lost:
			e.unreachable(k, now)
		default:
			k.retryAt = now.Add(minRetry)
		}
	})
}

// DialFailed implements peer.Handler.
func (e *Engine) DialFailed(addr string) {
	e.locked(func(now time.Time) {
		k := e.others[e.byAddr[addr]]
		if k == nil {
			return
		}
		k.dialingTill = time.Time{}
		e.viewed = time.Time{}
		if e.links[k.member.ID] == nil {
			e.unreachable(k, now)
		}
	})
}

// unreachable puts off the next dial and tells others, if that is for this
// instance to do.
func (e *Engine) unreachable(k *known, now time.Time) {
	k.retryAt = now.Add(min(minRetry<<min(k.failures, 6), maxRetry))
	k.failures++
	if k.member.Location.Region == e.o.Self.Location.Region {
		e.accuse(k.member.ID, now)
		return
	}
	e.farLost(k, now)
}
