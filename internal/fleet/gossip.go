package fleet

import (
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

const (
	// digestInterval is the mean interval at which an instance compares digests with
	// a random peer.
	digestInterval = 2 * time.Second
	// catchUpInterval is used instead of digestInterval while the last digest of any
	// peer differed.
	catchUpInterval = time.Second
	// maxQueuedFacts limits each of a link's two queues of facts, urgent and bulk.
	// Facts beyond it are dropped and later delivered by anti-entropy.
	maxQueuedFacts = 2048
	// maxSummaryBytes limits the entries of the summaries, or the requested hashes, in
	// one message.
	maxSummaryBytes = 900
	// sendOverheadBytes is the estimated size of the headers of a datagram and of the
	// packet that acknowledges it.
	sendOverheadBytes = 53 + 57
)

// disseminateOwn forwards a fact published by this instance to all links.
func (e *Engine) disseminateOwn(f Fact) {
	e.withLock(func(now time.Time) { e.disseminate([]Fact{f}, e.o.Self.ID, now) })
}

// Datagram implements peer.Handler. It merges and forwards the received facts and
// handles the anti-entropy part of the message. Undecodable datagrams are ignored.
func (e *Engine) Datagram(from model.InstanceID, payload []byte) {
	var m message
	if err := peer.Decode(payload, &m); err != nil {
		return
	}
	var merged []Fact
	for i := range m.Facts {
		f := &m.Facts[i]
		if f.Origin == "" {
			f.Origin = model.InstanceID(f.Key)
		}
		if e.o.Facts.Merge(*f) {
			merged = append(merged, *f)
		}
	}
	e.withLock(func(now time.Time) {
		if l := e.links[from]; l != nil {
			l.dropKnown(m.Facts)
		}
		e.disseminate(merged, from, now)
		e.handleSync(from, &m)
	})
}

// disseminate forwards facts to every link except the one they were received on.
// Urgent facts are sent immediately, or batched if any were sent within the last tick.
// Joins are queued for the next flush: when a whole fleet starts, they must not delay
// urgent facts.
func (e *Engine) disseminate(facts []Fact, from model.InstanceID, now time.Time) {
	if len(facts) == 0 {
		return
	}
	for _, id := range e.linkIDs() {
		if id == from {
			continue
		}
		l := e.links[id]
		for _, f := range facts {
			switch {
			case f.Origin == id || len(f.Value) > MaxValueBytes || !e.mayReceive(id, &f):
			case f.Kind.urgent() && !isJoin(&f):
				l.urgent = enqueue(l.urgent, f)
			default:
				l.bulk = enqueue(l.bulk, f)
			}
		}
		if now.Sub(l.urgentAt) >= TickInterval {
			e.sendUrgent(id, l, now)
		}
	}
}

// sendUrgent sends the urgent facts of a link. Facts that the budget refuses stay
// queued.
func (e *Engine) sendUrgent(id model.InstanceID, l *link, now time.Time) {
	if len(l.urgent) == 0 {
		return
	}
	l.urgentAt = now
	l.urgent = e.sendFacts(id, l.urgent, e.o.Budget.AllowsUrgent)
}

// flushUrgent sends the urgent facts of all links.
func (e *Engine) flushUrgent(now time.Time) {
	for _, id := range e.linkIDs() {
		e.sendUrgent(id, e.links[id], now)
	}
}

// mayReceive reports whether a fact may be sent to a peer: regional facts are sent only
// to peers in this instance's region.
func (e *Engine) mayReceive(id model.InstanceID, f *Fact) bool {
	if !f.Kind.regional() {
		return true
	}
	p := e.peers[id]
	return p != nil && p.member.Location.Region == e.o.Self.Location.Region
}

// linkIDs returns the IDs of the linked peers in ascending order, so that iteration is
// deterministic.
func (e *Engine) linkIDs() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(e.links))
	for id := range e.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// enqueue adds a fact to a queue, replacing a queued one of the same kind and key. A
// full queue is returned unchanged.
func enqueue(queue []Fact, f Fact) []Fact {
	for i := range queue {
		if queue[i].Kind == f.Kind && queue[i].Key == f.Key {
			queue[i] = f
			return queue
		}
	}
	if len(queue) >= maxQueuedFacts {
		return queue
	}
	return append(queue, f)
}

// dropKnown removes queued facts that the peer is known to have, because it has just
// sent the same or newer ones.
func (l *link) dropKnown(seen []Fact) {
	for i := range seen {
		known := func(f Fact) bool {
			return f.Kind == seen[i].Kind && f.Key == seen[i].Key && f.Stamp <= seen[i].Stamp
		}
		l.urgent = slices.DeleteFunc(l.urgent, known)
		l.bulk = slices.DeleteFunc(l.bulk, known)
	}
}

// sendFacts sends facts, in as many datagrams as needed, until allowed refuses a
// datagram. It returns the facts that were not sent.
func (e *Engine) sendFacts(to model.InstanceID, facts []Fact, allowed func(bytes int) bool) []Fact {
	for len(facts) > 0 {
		m := packFacts(facts)
		if !e.sendIf(to, m, allowed) {
			break
		}
		facts = facts[len(m.Facts):]
	}
	return facts
}

// send sends a message if the budget allows it at membership priority.
func (e *Engine) send(to model.InstanceID, m message) {
	e.sendIf(to, m, func(bytes int) bool { return e.o.Budget.Allows(bytes, limit.PriorityMembership) })
}

// sendIf sends a message if allowed returns true for its size on the wire, in bytes,
// and reports whether it did. It clears the origin of each fact whose origin
// equals its key.
func (e *Engine) sendIf(to model.InstanceID, m message, allowed func(bytes int) bool) bool {
	for i := range m.Facts {
		if string(m.Facts[i].Origin) == m.Facts[i].Key {
			m.Facts[i].Origin = ""
		}
	}
	raw := encode(m)
	if !allowed(len(raw) + sendOverheadBytes) {
		return false
	}
	e.afterUnlock(func() { e.o.Transport.Send(to, raw) })
	return true
}

// flushDue sends the queued bulk facts of the links that are due, in order of priority.
// Facts that the budget refuses stay queued, except load hints, which are dropped. The
// flush times of links are randomized, so that of two peers that have queued the same
// fact for each other usually only one sends it: the other drops it on receipt.
func (e *Engine) flushDue(now time.Time) {
	for _, id := range e.linkIDs() {
		l := e.links[id]
		if now.Before(l.flushAt) {
			continue
		}
		l.flushAt = now.Add(flushInterval/2 + time.Duration(e.o.Rand.Int64N(int64(flushInterval))))
		var rest []Fact
		for _, p := range []limit.Priority{limit.PriorityMembership, limit.PriorityHint} {
			due := slices.DeleteFunc(slices.Clone(l.bulk), func(f Fact) bool { return f.Kind.priority() != p })
			due = e.sendFacts(id, due, func(bytes int) bool { return e.o.Budget.Allows(bytes, p) })
			if p != limit.PriorityHint {
				rest = append(rest, due...)
			}
		}
		l.bulk = rest
	}
}

// sendHello sends the first message over a new link. It contains this instance's member
// fact and starts an anti-entropy exchange.
func (e *Engine) sendHello(id model.InstanceID) {
	m := e.digestMessage()
	if self, ok := e.o.Facts.Lookup(FactMember, string(e.o.Self.ID)); ok {
		m.Facts = []Fact{self}
	}
	e.send(id, m)
}

// digestMessage returns the message that starts an anti-entropy exchange. It also
// announces this instance's versions.
func (e *Engine) digestMessage() message {
	bucketSums := e.o.Facts.digest()
	heldVersions := e.heldVersions
	return message{Root: bucketSums.root(), Versions: &heldVersions}
}

// reconcile starts an anti-entropy exchange with a random linked peer if one is due.
func (e *Engine) reconcile(now time.Time) {
	if now.Before(e.nextDigest) || len(e.links) == 0 {
		return
	}
	ids := e.linkIDs()
	differs := slices.ContainsFunc(ids, func(id model.InstanceID) bool { return e.links[id].differs })
	interval := digestInterval
	if differs {
		interval = catchUpInterval
	}
	e.nextDigest = now.Add(interval*3/4 + time.Duration(e.o.Rand.Int64N(int64(interval/2))))
	e.send(ids[e.o.Rand.IntN(len(ids))], e.digestMessage())
}

// handleSync handles the parts of a message other than facts: those of an anti-entropy
// exchange and announced versions.
func (e *Engine) handleSync(from model.InstanceID, m *message) {
	l := e.links[from]
	if l == nil {
		return
	}
	if m.Root != 0 {
		e.handleRoot(from, l, m.Root)
	}
	if m.Buckets != nil {
		e.handleBuckets(from, l, m.Buckets)
	}
	for i := range m.Summary {
		e.handleSummary(from, l, &m.Summary[i])
	}
	if len(m.Want) > 0 {
		e.handleWant(l, m.Want)
	}
	if m.Versions != nil {
		e.handleAnnouncement(from, *m.Versions)
	}
}

// handleRoot replies to a digest root that differs with the bucket sums.
func (e *Engine) handleRoot(from model.InstanceID, l *link, root uint64) {
	bucketSums := e.o.Facts.digest()
	l.differs = root != bucketSums.root()
	if l.differs {
		e.send(from, message{Buckets: bucketSums.bytes()})
	}
}

// handleBuckets replies to bucket sums with summaries of buckets that differ. The first
// bucket is random, so that exchanges with several peers cover different buckets.
func (e *Engine) handleBuckets(from model.InstanceID, l *link, remote []byte) {
	bucketSums := e.o.Facts.digest()
	differing := bucketSums.differing(remote)
	l.differs = len(differing) > 0
	if !l.differs {
		return
	}
	var m message
	bytes := 0
	start := e.o.Rand.IntN(len(differing))
	for i := range differing {
		s := bucketSummary{Bucket: differing[(start+i)%len(differing)]}
		for _, f := range e.o.Facts.bucket(s.Bucket) {
			s.add(&f)
		}
		if bytes += len(s.Entries) + entryBytes; bytes > maxSummaryBytes && len(m.Summary) > 0 {
			break
		}
		m.Summary = append(m.Summary, s)
	}
	e.send(from, m)
}

// handleSummary queues the facts that the peer is missing and requests those that are
// missing here.
func (e *Engine) handleSummary(from model.InstanceID, l *link, s *bucketSummary) {
	if s.Bucket >= digestBuckets {
		return
	}
	missing, newer := e.o.Facts.compare(s)
	for _, f := range missing {
		l.bulk = enqueue(l.bulk, f)
	}
	if len(newer) > 0 {
		e.send(from, message{Want: newer[:min(len(newer), maxSummaryBytes)]})
	}
}

// handleWant queues the facts that the peer requests by hash.
func (e *Engine) handleWant(l *link, want []byte) {
	wanted := make(map[uint32]bool, len(want)/wantBytes)
	for ; len(want) >= wantBytes; want = want[wantBytes:] {
		wanted[uint32(want[0])<<24|uint32(want[1])<<16|uint32(want[2])<<8|uint32(want[3])] = true
	}
	for _, f := range e.o.Facts.matching(func(f *Fact) bool { return f.Kind.reconciled() && wanted[f.hash()] }) {
		l.bulk = enqueue(l.bulk, f)
	}
}
