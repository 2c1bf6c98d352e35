package fleet

import (
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

const (
	// partitionEvidence is the number of members of a region that an instance must
	// fail to reach before it proposes a partition from that region.
	partitionEvidence = 2
	// evidenceWindow is how long a failed connection is taken as evidence of a partition.
	evidenceWindow = 5 * time.Second
	// minProbeInterval is the minimum mean interval at which one instance dials
	// across a partition to detect its end.
	minProbeInterval = 4 * time.Second
	// regionProbeInterval is the mean interval at which the instances of a region
	// together dial across a partition, unless minProbeInterval limits them.
	regionProbeInterval = time.Second
)

// partition is the state of a possible partition from another region.
type partition struct {
	// failed holds when members of the region were last found unreachable.
	failed map[model.InstanceID]time.Time
	// proposedAt is when a partition was first reported; zero if none is.
	proposedAt time.Time
	// confirmed is set once the report has not been withdrawn for SuspicionTimeout.
	confirmed bool
}

// partitionOf returns the partition state of a region, creating it if necessary.
func (e *Engine) partitionOf(r model.Region) *partition {
	part := e.partitions[r]
	if part == nil {
		part = &partition{failed: make(map[model.InstanceID]time.Time)}
		e.partitions[r] = part
	}
	return part
}

// partitioned reports whether a partition from a region is confirmed. All members of
// the region are then excluded from the live members until the report is withdrawn;
// they need not be suspected one by one.
func (e *Engine) partitioned(r model.Region) bool {
	part := e.partitions[r]
	return part != nil && part.confirmed
}

func (e *Engine) anyPartition() bool {
	for _, part := range e.partitions {
		if part.confirmed {
			return true
		}
	}
	return false
}

// handleRemoteUnreachable handles an unreachable member of another region. Only
// members of its own region may suspect it; here the failure may indicate a
// partition. Another member of the region is dialed to distinguish the two cases. A
// partition is reported once partitionEvidence members could not be reached or there is
// no other member to dial.
func (e *Engine) handleRemoteUnreachable(p *peerRecord, now time.Time) {
	region := p.member.Location.Region
	part := e.partitionOf(region)
	part.failed[p.member.ID] = now
	if now.Before(e.holdoffUntil) || !part.proposedAt.IsZero() || e.linkedTo(region) {
		return
	}
	evidence := 0
	for _, at := range part.failed {
		if now.Sub(at) <= evidenceWindow {
			evidence++
		}
	}
	candidates := e.probeCandidates(region, part, now)
	if evidence >= partitionEvidence || len(candidates) == 0 {
		e.publishPartition(region, true)
		return
	}
	e.dial(candidates[e.o.Rand.IntN(len(candidates))], now)
}

// probeCandidates returns the members of a region that were not found unreachable
// within evidenceWindow, ordered by ID.
func (e *Engine) probeCandidates(region model.Region, part *partition, now time.Time) []*peerRecord {
	var out []*peerRecord
	for id, p := range e.peers {
		if p.member.Location.Region != region || p.dead || p.member.PeerAddr == "" {
			continue
		}
		if at, failed := part.failed[id]; failed && now.Sub(at) <= evidenceWindow {
			continue
		}
		out = append(out, p)
	}
	sortByID(out)
	return out
}

func sortByID(list []*peerRecord) {
	slices.SortFunc(list, func(a, b *peerRecord) int {
		if a.member.ID < b.member.ID {
			return -1
		}
		return 1
	})
}

// linkedTo reports whether there is a link to a member of the region.
func (e *Engine) linkedTo(region model.Region) bool {
	for id := range e.links {
		if p := e.peers[id]; p != nil && p.member.Location.Region == region {
			return true
		}
	}
	return false
}

// publishPartition reports or withdraws a partition of this instance's region from
// another one.
func (e *Engine) publishPartition(to model.Region, partitioned bool) {
	from := e.o.Self.Location.Region
	value := encode(PartitionValue{From: from, To: to, Partitioned: partitioned})
	key := string(from) + ">" + string(to)
	e.afterUnlock(func() { e.o.Facts.Publish(FactPartition, key, value, tombstoneTTL) })
}

// onPartitionFact applies a partition report of this instance's region. Reports of
// other regions are ignored. An instance that still has a healthy link to the other
// region withdraws the report.
func (e *Engine) onPartitionFact(f Fact) {
	var v PartitionValue
	if err := peer.Decode(f.Value, &v); err != nil || v.From != e.o.Self.Location.Region {
		return
	}
	e.withLock(func(now time.Time) {
		part := e.partitionOf(v.To)
		switch {
		case !v.Partitioned:
			if part.confirmed {
				e.record(events.MemberJoined, "", "region "+string(v.To)+" is reachable again")
			}
			e.clearPartition(v.To, part)
		case part.proposedAt.IsZero():
			part.proposedAt = now
			if e.hasHealthyLink(v.To, now) {
				e.publishPartition(v.To, false)
			}
		}
		e.publishMembers()
	})
}

// clearPartition resets the partition state of a region and allows its members to be
// dialed immediately.
func (e *Engine) clearPartition(region model.Region, part *partition) {
	e.changed = true
	*part = partition{failed: make(map[model.InstanceID]time.Time)}
	for _, p := range e.peers {
		if p.member.Location.Region == region {
			p.retryAt = time.Time{}
			p.failures = 0
		}
	}
}

// hasHealthyLink reports whether this instance has a healthy link to a member of the
// region.
func (e *Engine) hasHealthyLink(region model.Region, now time.Time) bool {
	for id, l := range e.links {
		p := e.peers[id]
		if p != nil && p.member.Location.Region == region && now.Sub(l.receivedAt) <= healthyLinkSilence {
			return true
		}
	}
	return false
}

// withdrawPartition withdraws a partition report after a link to the region was
// established.
func (e *Engine) withdrawPartition(region model.Region) {
	if part := e.partitions[region]; part != nil && !part.proposedAt.IsZero() {
		e.publishPartition(region, false)
	}
}

// updatePartitions confirms partition reports that were not withdrawn in time and
// periodically dials a member across a confirmed partition to detect its end.
func (e *Engine) updatePartitions(now time.Time) {
	for region, part := range e.partitions {
		if part.proposedAt.IsZero() || now.Sub(part.proposedAt) < SuspicionTimeout {
			continue
		}
		if !part.confirmed {
			part.confirmed = true
			e.changed = true
			e.nextProbe = now.Add(e.probeInterval())
			e.record(events.MemberSuspected, "", "region "+string(region)+" can't be reached")
		}
	}
	if now.Before(e.nextProbe) || !e.anyPartition() {
		return
	}
	if candidates := e.partitionedPeers(now); len(candidates) > 0 {
		e.nextProbe = now.Add(e.probeInterval())
		p := candidates[e.o.Rand.IntN(len(candidates))]
		e.dial(p, now)
	}
}

// partitionedPeers returns the members in partitioned regions, ordered by ID. If the
// platform's list is recent enough, only members on it are returned.
func (e *Engine) partitionedPeers(now time.Time) []*peerRecord {
	bounded := !e.listedAt.IsZero() && now.Sub(e.listedAt) < tombstoneTTL
	var out []*peerRecord
	for _, p := range e.peers {
		if p.dead || !e.partitioned(p.member.Location.Region) || (bounded && !p.listed) {
			continue
		}
		out = append(out, p)
	}
	sortByID(out)
	return out
}

// probeInterval returns the random delay until this instance next dials across a
// partition. The mean grows with the number of live members of the region, so that
// the region's total dial rate stays constant.
func (e *Engine) probeInterval() time.Duration {
	members := 1
	for _, p := range e.peers {
		if p.live() && p.member.Location.Region == e.o.Self.Location.Region {
			members++
		}
	}
	interval := max(minProbeInterval, time.Duration(members)*regionProbeInterval)
	return interval/2 + time.Duration(e.o.Rand.Int64N(int64(interval)))
}
