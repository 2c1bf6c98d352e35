package fleet

import (
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

const (
	// cutEvidence is how many members of a region an instance must fail to reach
	// before it proposes that the region is cut off.
	cutEvidence = 2
	// evidenceLife is how long a failure counts as evidence.
	evidenceLife = 5 * time.Second
	// minProbeInterval bounds how often one instance looks for the end of a cut;
	// a whole region does so about once in regionProbeInterval.
	minProbeInterval    = 4 * time.Second
	regionProbeInterval = time.Second
)

// cut is what is known about the way to another region.
type cut struct {
	// failed holds the members that could not be reached, and when.
	failed map[model.InstanceID]time.Time
	// proposedAt is when the region was first said to be cut off; zero if it is not.
	proposedAt time.Time
	inForce    bool
}

func (e *Engine) cutOf(r model.Region) *cut {
	c := e.cuts[r]
	if c == nil {
		c = &cut{failed: make(map[model.InstanceID]time.Time)}
		e.cuts[r] = c
	}
	return c
}

// isCut reports whether a region counts as cut off: one statement stands for all
// of its members, which come back with its withdrawal.
func (e *Engine) isCut(r model.Region) bool {
	c := e.cuts[r]
	return c != nil && c.inForce
}

func (e *Engine) anyCut() bool {
	for _, c := range e.cuts {
		if c.inForce {
			return true
		}
	}
	return false
}

// farLost handles a member of another region that can't be reached. Whether it
// is dead is for its own region to tell; here it may be a sign of a cut. One
// other member of the region is dialed to tell these apart.
func (e *Engine) farLost(k *known, now time.Time) {
	region := k.member.Location.Region
	c := e.cutOf(region)
	c.failed[k.member.ID] = now
	if now.Before(e.settledAt) || !c.proposedAt.IsZero() || e.linkedTo(region) {
		return
	}
	evidence := 0
	for _, at := range c.failed {
		if now.Sub(at) <= evidenceLife {
			evidence++
		}
	}
	candidates := e.candidates(region, c, now)
	if evidence >= cutEvidence || len(candidates) == 0 {
		e.stateCut(region, true)
		return
	}
	e.dial(candidates[e.o.Rand.IntN(len(candidates))], now)
}

// candidates returns the members of a region that have not failed lately.
func (e *Engine) candidates(region model.Region, c *cut, now time.Time) []*known {
	var out []*known
	for id, k := range e.others {
		if k.member.Location.Region != region || k.dead || k.member.PeerAddr == "" {
			continue
		}
		if at, failed := c.failed[id]; failed && now.Sub(at) <= evidenceLife {
			continue
		}
		out = append(out, k)
	}
	sortKnown(out)
	return out
}

func sortKnown(list []*known) {
	slices.SortFunc(list, func(a, b *known) int {
		if a.member.ID < b.member.ID {
			return -1
		}
		return 1
	})
}

func (e *Engine) linkedTo(region model.Region) bool {
	for id := range e.links {
		if k := e.others[id]; k != nil && k.member.Location.Region == region {
			return true
		}
	}
	return false
}

func (e *Engine) stateCut(to model.Region, isCut bool) {
	from := e.o.Self.Location.Region
	value := encode(CutValue{From: from, To: to, Cut: isCut})
	key := string(from) + ">" + string(to)
	e.do(func() { e.o.Board.Publish(FactCut, key, value, tombstoneLife) })
}

// onCutFact takes a statement about this instance's region in.
func (e *Engine) onCutFact(f Fact) {
	var v CutValue
	if err := peer.Decode(f.Value, &v); err != nil || v.From != e.o.Self.Location.Region {
		return
	}
	e.locked(func(now time.Time) {
		c := e.cutOf(v.To)
		switch {
		case !v.Cut:
			if c.inForce {
				e.record(events.MemberJoined, "", "region "+string(v.To)+" is reachable again")
			}
			e.heal(v.To, c)
		case c.proposedAt.IsZero():
			c.proposedAt = now
			if e.hears(v.To, now) {
				e.stateCut(v.To, false)
			}
		}
		e.publishMembers()
	})
}

func (e *Engine) heal(region model.Region, c *cut) {
	e.changed = true
	*c = cut{failed: make(map[model.InstanceID]time.Time)}
	for _, k := range e.others {
		if k.member.Location.Region == region {
			k.retryAt = time.Time{}
			k.failures = 0
		}
	}
}

// hears reports whether this instance has a healthy link to a region.
func (e *Engine) hears(region model.Region, now time.Time) bool {
	for id, l := range e.links {
		k := e.others[id]
		if k != nil && k.member.Location.Region == region && now.Sub(l.heardAt) <= freshSilence {
			return true
		}
	}
	return false
}

// reached withdraws a cut after a link to the region came up.
func (e *Engine) reached(region model.Region) {
	if c := e.cuts[region]; c != nil && !c.proposedAt.IsZero() {
		e.stateCut(region, false)
	}
}

// healCuts puts unopposed proposals in force and dials members across a cut
// now and then. Whom the platform's list does not name is not tried.
func (e *Engine) healCuts(now time.Time) {
	for region, c := range e.cuts {
		if c.proposedAt.IsZero() || now.Sub(c.proposedAt) < SuspicionTimeout {
			continue
		}
		if !c.inForce {
			c.inForce = true
			e.changed = true
			e.nextProbe = now.Add(e.probeInterval())
			e.record(events.MemberSuspected, "", "region "+string(region)+" can't be reached")
		}
	}
	if now.Before(e.nextProbe) || !e.anyCut() {
		return
	}
	if targets := e.acrossCuts(now); len(targets) > 0 {
		e.nextProbe = now.Add(e.probeInterval())
		k := targets[e.o.Rand.IntN(len(targets))]
		e.dial(k, now)
	}
}

func (e *Engine) acrossCuts(now time.Time) []*known {
	bounded := !e.listedAt.IsZero() && now.Sub(e.listedAt) < tombstoneLife
	var out []*known
	for _, k := range e.others {
		if k.dead || !e.isCut(k.member.Location.Region) || (bounded && !k.listed) {
			continue
		}
		out = append(out, k)
	}
	sortKnown(out)
	return out
}

// probeInterval returns the time to the next look across a cut, drawn so that
// the instances of a region take turns.
func (e *Engine) probeInterval() time.Duration {
	peers := 1
	for _, k := range e.others {
		if k.live() && k.member.Location.Region == e.o.Self.Location.Region {
			peers++
		}
	}
	interval := max(minProbeInterval, time.Duration(peers)*regionProbeInterval)
	return interval/2 + time.Duration(e.o.Rand.Int64N(int64(interval)))
}
