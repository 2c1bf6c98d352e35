package health

import (
	"context"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	// checkersPerTarget is the number of instances of its region that probe a target.
	checkersPerTarget = 2
	// idleCheckInterval is the time between two probes of a proven target without
	// traffic by one instance.
	idleCheckInterval = 10 * time.Second
	// probationCheckInterval is the time between two probes of an unproven target by
	// one instance. A probe that the budget denied is retried after the same time.
	probationCheckInterval = time.Second
	// drainCheckInterval is the time between two probes of a draining or ejected
	// target by one instance.
	drainCheckInterval = 5 * time.Second
	// ownershipInterval is the time after which an instance checks again whether it
	// has to probe a target.
	ownershipInterval = 5 * time.Second
	// idleThreshold is the time without requests after which a proven target is
	// probed.
	idleThreshold = 10 * time.Second
	// ProbeBytes is the size of a probe on the wire, including headers and handshake.
	ProbeBytes = 900
	// probeTimeout limits the duration of one probe.
	probeTimeout = time.Second
	// maxProbes is the maximum number of concurrent probes.
	maxProbes = 8
)

// ProbeResult is the result of probing a target's health endpoint.
type ProbeResult uint8

const (
	// ProbeOK means that the target reported itself as healthy.
	ProbeOK ProbeResult = iota
	// ProbeFailed means that the target reported itself as unhealthy or did not
	// respond.
	ProbeFailed
	// ProbeDraining means that the target reported that it is draining.
	ProbeDraining
)

// Prober probes targets. Implementations are safe for concurrent use.
type Prober interface {
	Probe(ctx context.Context, target model.Target) ProbeResult
}

// Checker probes the targets that are assigned to this instance and have no recent
// traffic. The number of probes depends on the number of targets per instance, not on
// the load.
type Checker struct {
	Table         *Table
	Prober        Prober
	Members       *fleet.Members
	ControlBudget *limit.ControlBudget
	Location      model.Location
}

// Run probes targets until ctx is cancelled, then waits for the running probes.
func (c *Checker) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	slots := make(chan struct{}, maxProbes)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, target := range c.DueTargets() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			running.Go(func() {
				c.probe(ctx, target)
				<-slots
			})
		}
	}
}

func (c *Checker) probe(ctx context.Context, target model.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c.Table.ObserveProbe(target.ID, c.Prober.Probe(ctx, target))
}

// DueTargets returns the targets of this region that have to be probed now and charges
// their probes to the control budget. It also updates the position of this instance
// in the routing table.
func (c *Checker) DueTargets() []model.Target {
	c.Table.Routing.SetPosition(c.position())
	var due []model.Target
	c.Table.Routing.Snapshot().Each(func(_ model.ServiceName, pool *routing.Pool) {
		for _, e := range pool.Endpoints {
			if e.Distance != model.OtherRegion && c.Table.due(e, c.claimProbe) {
				due = append(due, e.Target)
			}
		}
	})
	return due
}

// position returns the position of this instance among the live members of its region.
func (c *Checker) position() routing.Position {
	var at routing.Position
	for _, member := range c.Members.Live() {
		distance := c.Location.DistanceTo(member.Location)
		if member.Leaving || distance == model.OtherRegion {
			continue
		}
		before := member.ID < c.Table.Self
		countMember(&at.Index, &at.Instances, before)
		if distance == model.SameDomain {
			countMember(&at.DomainIndex, &at.DomainInstances, before)
		}
	}
	return at
}

// countMember adds a member to a total, and to the index if the member comes before
// this instance.
func countMember(index, total *int, before bool) {
	*total++
	if before {
		*index++
	}
}

// claimProbe reports whether this instance is assigned to probe a target and, if so,
// whether the budget covers the probe.
func (c *Checker) claimProbe(id model.TargetID) (owned, paid bool) {
	if !c.Members.IsOwner("check/"+string(id), checkersPerTarget, c.Location.Region) {
		return false, false
	}
	return true, c.ControlBudget.Take(ProbeBytes, limit.PriorityProbe)
}

// due reports whether a target has to be probed now, and sets when it is next
// considered.
func (t *Table) due(e *routing.Endpoint, claim func(model.TargetID) (owned, paid bool)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := (*t.records.Load())[e.Target.ID]
	now := t.Now()
	if r == nil || now.Before(r.nextCheck) {
		return false
	}
	if r.state == routing.Proven && r.triedSince(now.Add(-idleThreshold)) {
		return false
	}
	owned, paid := claim(e.Target.ID)
	if !owned {
		r.nextCheck = now.Add(ownershipInterval)
		return false
	}
	if !paid {
		r.nextCheck = now.Add(probationCheckInterval)
		return false
	}
	r.nextCheck = now.Add(checkInterval(r.state))
	return true
}

// checkInterval returns the time between two probes of a target in the given state.
func checkInterval(s routing.TargetState) time.Duration {
	switch s {
	case routing.Unproven:
		return probationCheckInterval
	case routing.Draining, routing.Ejected:
		return drainCheckInterval
	default:
		return idleCheckInterval
	}
}
