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
	// checkersPerTarget is the number of instances of its region that check a target.
	checkersPerTarget = 2
	// idleCheckInterval, probationCheckInterval and drainCheckInterval are the
	// times between two probes by one instance.
	idleCheckInterval      = 10 * time.Second
	probationCheckInterval = time.Second
	drainCheckInterval     = 5 * time.Second
	// ownerInterval is the time after which an instance asks anew whether the
	// check of a target is its own job.
	ownerInterval = 5 * time.Second
	// quietTime is the time without real traffic after which a target is probed.
	quietTime = 10 * time.Second
	// ProbeBytes is what a probe costs on the wire, headers and handshake included.
	ProbeBytes = 900
	// probeTimeout bounds one probe.
	probeTimeout = time.Second
	// maxProbes is the number of probes that run at once.
	maxProbes = 8
)

// ProbeResult is what a probe of a target's health endpoint showed.
type ProbeResult uint8

const (
	// ProbeOK means that the endpoint called the target healthy.
	ProbeOK ProbeResult = iota
	// ProbeFailed means that it called it unhealthy or gave no answer.
	ProbeFailed
	// ProbeDraining means that the target is leaving.
	ProbeDraining
)

// Prober probes one target. It is safe for concurrent use.
type Prober interface {
	Probe(ctx context.Context, target model.Target) ProbeResult
}

// Checker probes the targets that are this instance's to check and that have no
// recent traffic. Its cost depends on the number of targets per instance only.
type Checker struct {
	Table     *Table
	Prober    Prober
	Members   *fleet.Members
	Measuring *limit.Measuring
	Location  model.Location
}

// Run checks until ctx ends and waits for the probes under way.
func (c *Checker) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var probes sync.WaitGroup
	defer probes.Wait()
	slots := make(chan struct{}, maxProbes)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, target := range c.Due() {
			select {
			case slots <- struct{}{}:
			case <-ctx.Done():
				return
			}
			probes.Go(func() {
				c.probe(ctx, target)
				<-slots
			})
		}
	}
}

func (c *Checker) probe(ctx context.Context, target model.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	c.Table.Probed(target.ID, c.Prober.Probe(ctx, target))
}

// Due returns the targets to probe now; each has been paid for.
func (c *Checker) Due() []model.Target {
	c.Table.Routing.SetPlace(c.place())
	var due []model.Target
	c.Table.Routing.Snapshot().Each(func(_ model.ServiceName, pool *routing.Pool) {
		for _, e := range pool.Endpoints {
			if e.Distance != model.OtherRegion && c.Table.due(e, c.mine) {
				due = append(due, e.Target)
			}
		}
	})
	return due
}

// place returns where this instance stands among the live members of its region.
func (c *Checker) place() routing.Place {
	var at routing.Place
	for _, member := range c.Members.Live() {
		distance := c.Location.DistanceTo(member.Location)
		if member.Leaving || distance == model.OtherRegion {
			continue
		}
		before := member.ID < c.Table.Self
		count(&at.Index, &at.Instances, before)
		if distance == model.SameDomain {
			count(&at.DomainIndex, &at.DomainInstances, before)
		}
	}
	return at
}

func count(index, total *int, before bool) {
	*total++
	if before {
		*index++
	}
}

// mine reports whether this instance checks a target, and pays for the probe.
func (c *Checker) mine(id model.TargetID) (mine, paid bool) {
	if !c.Members.IsOwner("check/"+string(id), checkersPerTarget, c.Location.Region) {
		return false, false
	}
	return true, c.Measuring.Take(ProbeBytes, limit.PriorityProbe)
}

// due reports whether a target has to be probed now, and sets the time at which
// it is considered again.
func (t *Table) due(e *routing.Endpoint, mine func(model.TargetID) (mine, paid bool)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := (*t.records.Load())[e.Target.ID]
	now := t.Now()
	if r == nil || now.Before(r.checkAt) {
		return false
	}
	if r.standing == routing.Proven && r.triedSince(now.Add(-quietTime)) {
		return false
	}
	own, paid := mine(e.Target.ID)
	if !own {
		r.checkAt = now.Add(ownerInterval)
		return false
	}
	if !paid {
		r.checkAt = now.Add(probationCheckInterval)
		return false
	}
	r.checkAt = now.Add(checkInterval(r.standing))
	return true
}

func checkInterval(s routing.Standing) time.Duration {
	switch s {
	case routing.Unproven:
		return probationCheckInterval
	case routing.Draining, routing.Ejected:
		return drainCheckInterval
	default:
		return idleCheckInterval
	}
}
