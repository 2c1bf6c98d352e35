package fleet

import (
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

// refuteInterval is the minimum interval between two refutations by this instance.
const refuteInterval = 200 * time.Millisecond

// minHealthyLinks is the number of healthy links from which an instance assumes that it
// is not itself disconnected.
const minHealthyLinks = 2

// deferredSuspicionTTL is how long a suspicion may be deferred before it is dropped.
const deferredSuspicionTTL = 2 * time.Second

// onMemberFact applies a member fact. A fact about this instance that another one
// published, or that contradicts its state, is refuted.
func (e *Engine) onMemberFact(f Fact) {
	var v MemberValue
	if err := peer.Decode(f.Value, &v); err != nil {
		return
	}
	e.withLock(func(now time.Time) {
		id := model.InstanceID(f.Key)
		if id == e.o.Self.ID {
			e.mustRefute = e.mustRefute || f.Origin != id || v.State != e.state
			e.refute(now)
			return
		}
		e.applyMemberValue(id, v, now)
	})
}

// refute publishes this instance's member fact again if a refutation is due.
func (e *Engine) refute(now time.Time) {
	if !e.mustRefute || now.Sub(e.refutedAt) < refuteInterval {
		return
	}
	e.mustRefute = false
	e.refutedAt = now
	e.publishSelf(true)
}

// applyMemberValue updates the record of another instance from its member fact.
func (e *Engine) applyMemberValue(id model.InstanceID, v MemberValue, now time.Time) {
	p := e.ensurePeer(id)
	before := *p
	p.state = v.State
	if v.State == MemberSuspect {
		e.markSuspect(p, &before, now)
		return
	}
	if p.member.PeerAddr != v.PeerAddr {
		delete(e.byAddr, p.member.PeerAddr)
		e.byAddr[v.PeerAddr] = id
	}
	p.member = Member{
		ID:           id,
		Location:     v.Location,
		PeerAddr:     v.PeerAddr,
		OperatorAddr: v.OperatorAddr,
		Leaving:      v.State == MemberLeaving,
	}
	delete(e.suspects, id)
	p.dead = v.State == MemberLeft
	if v.State == MemberAlive && (before.dead || before.state == 0) {
		p.retryAt = time.Time{}
		p.failures = 0
	}
	e.recordChange(&before, p)
}

// markSuspect starts the suspicion timeout of a member, unless it is running. A member
// whose address is unknown is considered dead until it refutes the suspicion.
func (e *Engine) markSuspect(p, before *peerRecord, now time.Time) {
	if p.member.PeerAddr == "" {
		p.dead = true
		return
	}
	if before.state != MemberSuspect {
		p.suspectedAt = now
		e.suspects[p.member.ID] = p
		e.record(events.MemberSuspected, p.member.ID, "")
	}
}

// recordChange records the event for a change of a member's state, if any.
func (e *Engine) recordChange(before, after *peerRecord) {
	switch {
	case !before.live() && after.live():
		e.record(events.MemberJoined, after.member.ID, "")
	case before.state != MemberLeaving && after.state == MemberLeaving:
		e.record(events.MemberLeaving, after.member.ID, "")
	case before.live() && after.state == MemberLeft:
		e.record(events.MemberLeft, after.member.ID, "left")
	}
}

// expireSuspects marks suspects as dead that have not refuted the suspicion within
// SuspicionTimeout.
func (e *Engine) expireSuspects(now time.Time) {
	for id, p := range e.suspects {
		if now.Sub(p.suspectedAt) < SuspicionTimeout {
			continue
		}
		delete(e.suspects, id)
		p.dead = true
		e.changed = true
		e.record(events.MemberLeft, id, "silent")
	}
}

// publishSuspicion publishes that a member is suspected to have failed. Only members of
// its own region may do so: they are closest to it and stay connected to it during a
// partition between regions. Nothing is published during the holdoff after a pause, and
// the suspicion is deferred while this instance's own links are not healthy.
func (e *Engine) publishSuspicion(id model.InstanceID, now time.Time) {
	p := e.peers[id]
	if p == nil || p.dead || (p.state != MemberAlive && p.state != MemberLeaving) {
		return
	}
	if now.Before(e.holdoffUntil) {
		return
	}
	if !e.locallyHealthy(now) {
		p.suspicionExpiry = now.Add(deferredSuspicionTTL)
		e.deferredSuspicions[id] = p
		return
	}
	value := encode(MemberValue{State: MemberSuspect})
	e.afterUnlock(func() { e.o.Facts.Supersede(FactMember, string(id), value, tombstoneTTL) })
}

// retryDeferredSuspicions publishes deferred suspicions once this instance is locally
// healthy, and drops those of members that are linked again or that have expired.
func (e *Engine) retryDeferredSuspicions(now time.Time) {
	for id, p := range e.deferredSuspicions {
		switch {
		case e.links[id] != nil || now.After(p.suspicionExpiry):
			delete(e.deferredSuspicions, id)
		case e.locallyHealthy(now):
			delete(e.deferredSuspicions, id)
			e.publishSuspicion(id, now)
		}
	}
}

// locallyHealthy reports whether enough links are healthy to assume that a lost peer
// has failed, rather than this instance's own network. Without links, that is the case
// only if at most one other live member is known. A small number of healthy links
// suffices, because the loss of a whole failure domain can silence most links at once,
// and a wrong suspicion can be refuted over any remaining path.
func (e *Engine) locallyHealthy(now time.Time) bool {
	if len(e.links) == 0 {
		return e.livePeerCount() <= 1
	}
	healthyCount := 0
	for _, l := range e.links {
		if now.Sub(l.receivedAt) <= healthyLinkSilence {
			healthyCount++
		}
	}
	return healthyCount >= min(minHealthyLinks, (len(e.links)+1)/2)
}

// livePeerCount returns the number of live members other than this instance.
func (e *Engine) livePeerCount() int {
	n := 0
	for _, p := range e.peers {
		if p.live() {
			n++
		}
	}
	return n
}

// publishMembers replaces the list in Members if the live members have changed.
func (e *Engine) publishMembers() {
	if !e.changed {
		return
	}
	e.changed = false
	e.viewComputedAt = time.Time{}
	list := []Member{e.o.Self}
	for _, p := range e.peers {
		if p.live() && !e.partitioned(p.member.Location.Region) {
			list = append(list, p.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if !slices.Equal(list, e.lastMembers) {
		e.lastMembers = list
		e.o.Members.Set(list)
	}
}
