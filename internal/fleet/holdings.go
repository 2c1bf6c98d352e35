package fleet

import (
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Holder is a linked member and what it said to hold.
type Holder struct {
	Member   Member
	Holdings Holdings
}

// announceStep is the pause between the announcements to two links. Peers that
// learn of a change one after the other fetch it from different instances.
const announceStep = TickInterval

// Announce tells the links what this instance holds, one after the other. They
// ask for what they lack, so that a change travels from link to link.
func (e *Engine) Announce(h Holdings) {
	e.locked(func(now time.Time) {
		if h == e.holdings {
			return
		}
		e.holdings = h
		ids := e.linkIDs()
		e.o.Rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		due := now
		for _, id := range ids {
			e.links[id].announceAt = due
			due = due.Add(announceStep)
		}
		e.announceDue(now)
	})
}

// announceDue sends the announcements that are due to peers that hold less.
func (e *Engine) announceDue(now time.Time) {
	for _, id := range e.linkIDs() {
		l := e.links[id]
		if l.announceAt.IsZero() || now.Before(l.announceAt) {
			continue
		}
		h := e.holdings
		known := e.heldBy[id]
		behind := known.Config < h.Config || known.Targets < h.Targets
		if !behind || e.sendIf(id, message{Holdings: &h}, e.o.Budget.AllowsUrgent) {
			l.announceAt = time.Time{}
		}
	}
}

// OnHeld calls f for every announcement of a linked member. It must be set
// before Start; f must not block.
func (e *Engine) OnHeld(f func(model.InstanceID, Holdings)) { e.onHeld = f }

func (e *Engine) held(from model.InstanceID, h Holdings) {
	e.heldBy[from] = h
	if e.onHeld != nil {
		e.do(func() { e.onHeld(from, h) })
	}
}

// Holders returns the linked members that have announced what they hold.
func (e *Engine) Holders() []Holder {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Holder
	for _, id := range e.linkIDs() {
		h, ok := e.heldBy[id]
		if k := e.others[id]; ok && k != nil {
			out = append(out, Holder{Member: k.member, Holdings: h})
		}
	}
	return out
}

// Others returns the other instances that are members or listed.
func (e *Engine) Others() []Member {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Member
	for _, k := range e.others {
		if k.live() || (k.state == 0 && k.listed) {
			out = append(out, k.member)
		}
	}
	return out
}
