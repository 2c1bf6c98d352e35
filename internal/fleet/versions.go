package fleet

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// PeerVersions is a linked member and the versions that it announced last.
type PeerVersions struct {
	Member   Member
	Versions ReplicaVersions
}

// announceInterval is the interval between the announcements to two links. Peers that
// receive the announcement of a change at different times fetch it from different
// instances.
const announceInterval = TickInterval

// Announce sets the versions that this instance has replicated and announces them to
// the linked members, one after the other in random order. A member with older
// versions fetches the change and announces it in turn.
func (e *Engine) Announce(v ReplicaVersions) {
	e.withLock(func(now time.Time) {
		if v == e.heldVersions {
			return
		}
		e.heldVersions = v
		ids := e.linkIDs()
		e.o.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		due := now
		for _, id := range ids {
			e.links[id].announceAt = due
			due = due.Add(announceInterval)
		}
		e.announceDue(now)
	})
}

// announceDue sends the announcements that are due to peers with older versions. An
// announcement that the budget refuses is retried with the next tick.
func (e *Engine) announceDue(now time.Time) {
	for _, id := range e.linkIDs() {
		l := e.links[id]
		if l.announceAt.IsZero() || now.Before(l.announceAt) {
			continue
		}
		v := e.heldVersions
		announced := e.peerVersions[id]
		behind := announced.Config < v.Config || announced.Targets < v.Targets
		if !behind || e.sendIf(id, message{Versions: &v}, e.o.Budget.AllowsUrgent) {
			l.announceAt = time.Time{}
		}
	}
}

// OnAnnounce sets the function that is called for every announcement of a linked member.
// It must be called before Start; f must not block.
func (e *Engine) OnAnnounce(f func(model.InstanceID, ReplicaVersions)) { e.onAnnounce = f }

// handleAnnouncement stores the versions that a linked member announced.
func (e *Engine) handleAnnouncement(from model.InstanceID, v ReplicaVersions) {
	e.peerVersions[from] = v
	if e.onAnnounce != nil {
		e.afterUnlock(func() { e.onAnnounce(from, v) })
	}
}

// PeerVersions returns the linked members that have announced their versions, ordered
// by ID.
func (e *Engine) PeerVersions() []PeerVersions {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []PeerVersions
	for _, id := range e.linkIDs() {
		v, ok := e.peerVersions[id]
		if p := e.peers[id]; ok && p != nil {
			out = append(out, PeerVersions{Member: p.member, Versions: v})
		}
	}
	return out
}

// OtherInstances returns the other instances that are live members or, if no member
// fact about them was received yet, on the platform's list. The order is unspecified.
func (e *Engine) OtherInstances() []Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Member
	for _, p := range e.peers {
		if p.live() || (p.state == 0 && p.listed) {
			out = append(out, p.member)
		}
	}
	return out
}
