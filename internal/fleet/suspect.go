package fleet

import (
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

// refuteInterval bounds how often this instance contradicts statements about it.
const refuteInterval = 200 * time.Millisecond

// trustedLinks is the number of links whose life proves that this instance is
// not the one that is cut off.
const trustedLinks = 2

// accusationLife is how long an accusation may be put off.
const accusationLife = 2 * time.Second

// onMemberFact takes a statement about a member in.
func (e *Engine) onMemberFact(f Fact) {
	var v MemberValue
	if err := peer.Decode(f.Value, &v); err != nil {
		return
	}
	e.locked(func(now time.Time) {
		id := model.InstanceID(f.Key)
		if id == e.o.Self.ID {
			e.mustRefute = e.mustRefute || f.Origin != id || v.State != e.state
			e.refute(now)
			return
		}
		e.learn(id, v, now)
	})
}

// refute contradicts a statement of another instance about this one.
func (e *Engine) refute(now time.Time) {
	if !e.mustRefute || now.Sub(e.refutedAt) < refuteInterval {
		return
	}
	e.mustRefute = false
	e.refutedAt = now
	e.stateOwn(true)
}

func (e *Engine) learn(id model.InstanceID, v MemberValue, now time.Time) {
	k := e.other(id)
	before := *k
	k.state = v.State
	if v.State == MemberSuspect {
		e.suspect(k, &before, now)
		return
	}
	if k.member.PeerAddr != v.PeerAddr {
		delete(e.byAddr, k.member.PeerAddr)
		e.byAddr[v.PeerAddr] = id
	}
	k.member = Member{
		ID:           id,
		Location:     v.Location,
		PeerAddr:     v.PeerAddr,
		OperatorAddr: v.OperatorAddr,
		Leaving:      v.State == MemberLeaving,
	}
	delete(e.suspects, id)
	k.dead = v.State == MemberLeft
	if v.State == MemberAlive && (before.dead || before.state == 0) {
		k.retryAt = time.Time{}
		k.failures = 0
	}
	e.recordChange(&before, k)
}

// suspect starts the time that a member has to contradict. One of which nothing
// else is known counts as dead until it does.
func (e *Engine) suspect(k, before *known, now time.Time) {
	if k.member.PeerAddr == "" {
		k.dead = true
		return
	}
	if before.state != MemberSuspect {
		k.suspectedAt = now
		e.suspects[k.member.ID] = k
		e.record(events.MemberSuspected, k.member.ID, "")
	}
}

func (e *Engine) recordChange(before, after *known) {
	switch {
	case !before.live() && after.live():
		e.record(events.MemberJoined, after.member.ID, "")
	case before.state != MemberLeaving && after.state == MemberLeaving:
		e.record(events.MemberLeaving, after.member.ID, "")
	case before.live() && after.state == MemberLeft:
		e.record(events.MemberLeft, after.member.ID, "left")
	}
}

// confirm takes suspects off that have not contradicted in time.
func (e *Engine) confirm(now time.Time) {
	for id, k := range e.suspects {
		if now.Sub(k.suspectedAt) < SuspicionTimeout {
			continue
		}
		delete(e.suspects, id)
		k.dead = true
		e.changed = true
		e.record(events.MemberLeft, id, "silent")
	}
}

// accuse states that a member has gone silent. Only members of its own region
// do so: they are closest and outlive a cut between regions with it.
func (e *Engine) accuse(id model.InstanceID, now time.Time) {
	k := e.others[id]
	if k == nil || k.dead || (k.state != MemberAlive && k.state != MemberLeaving) {
		return
	}
	if now.Before(e.settledAt) {
		return
	}
	if !e.healthy(now) {
		k.accuseTill = now.Add(accusationLife)
		e.lost[id] = k
		return
	}
	value := encode(MemberValue{State: MemberSuspect})
	e.do(func() { e.o.Board.Accuse(FactMember, string(id), value, tombstoneLife) })
}

// accuseLost repeats accusations that were put off.
func (e *Engine) accuseLost(now time.Time) {
	for id, k := range e.lost {
		switch {
		case e.links[id] != nil || now.After(k.accuseTill):
			delete(e.lost, id)
		case e.healthy(now):
			delete(e.lost, id)
			e.accuse(id, now)
		}
	}
}

// healthy reports whether this instance still hears from enough of its links to
// trust its own. One without links is healthy only if there is nobody to link to.
// Whole failure domains die at once, so most links may rightly be silent; a
// wrong accusation is contradicted along any path that is left.
func (e *Engine) healthy(now time.Time) bool {
	if len(e.links) == 0 {
		return e.liveOthers() <= 1
	}
	fresh := 0
	for _, l := range e.links {
		if now.Sub(l.heardAt) <= freshSilence {
			fresh++
		}
	}
	return fresh >= min(trustedLinks, (len(e.links)+1)/2)
}

func (e *Engine) liveOthers() int {
	n := 0
	for _, k := range e.others {
		if k.live() {
			n++
		}
	}
	return n
}

// publishMembers swaps the list of live members in if it has changed.
func (e *Engine) publishMembers() {
	if !e.changed {
		return
	}
	e.changed = false
	e.viewed = time.Time{}
	list := []Member{e.o.Self}
	for _, k := range e.others {
		if k.live() && !e.isCut(k.member.Location.Region) {
			list = append(list, k.member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if !slices.Equal(list, e.membersSeen) {
		e.membersSeen = list
		e.o.Members.Set(list)
	}
}
