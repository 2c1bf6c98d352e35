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

// Announce tells all links what this instance holds. They ask for what they
// lack, so that a change travels from link to link.
func (e *Engine) Announce(h Holdings) {
	e.locked(func(time.Time) {
		if h == e.holdings {
			return
		}
		e.holdings = h
		for _, id := range e.linkIDs() {
			if known := e.heldBy[id]; known.Config >= h.Config && known.Targets >= h.Targets {
				continue
			}
			e.sendIf(id, message{Holdings: &h}, e.o.Budget.AllowsUrgent)
		}
	})
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
