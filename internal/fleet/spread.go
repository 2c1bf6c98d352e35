package fleet

import (
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

const (
	// digestInterval is how often an instance compares digests with a peer.
	digestInterval = 2 * time.Second
	// catchUpInterval is the same while the last digest differed.
	catchUpInterval = time.Second
	// maxBulk bounds the facts that wait for one peer; anti-entropy brings the rest.
	maxBulk = 2048
	// maxSummaryBytes bounds the entries of one summary.
	maxSummaryBytes = 900
	// sendOverheadBytes estimates the headers of a datagram and its acknowledgement.
	sendOverheadBytes = 53 + 57
)

// spreadOwn passes a fact of this instance on.
func (e *Engine) spreadOwn(f Fact) {
	e.locked(func(now time.Time) { e.spread([]Fact{f}, e.o.Self.ID, now) })
}

// Datagram implements peer.Handler.
func (e *Engine) Datagram(from model.InstanceID, payload []byte) {
	var m message
	if err := peer.Decode(payload, &m); err != nil {
		return
	}
	var fresh []Fact
	for i := range m.Facts {
		f := &m.Facts[i]
		if f.Origin == "" {
			f.Origin = model.InstanceID(f.Key)
		}
		if e.o.Board.Merge(*f) {
			fresh = append(fresh, *f)
		}
	}
	e.locked(func(now time.Time) {
		if l := e.links[from]; l != nil {
			l.unqueue(m.Facts)
		}
		e.spread(fresh, from, now)
		e.answer(from, &m)
	})
}

// spread passes facts on to every link but the one that they came from. Urgent
// ones go at once, but several within a tick go together. Joins can wait for a
// flush: a fleet that starts as a whole must not drown what is urgent.
func (e *Engine) spread(facts []Fact, from model.InstanceID, now time.Time) {
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
			case f.Origin == id || len(f.Value) > MaxValueBytes || !e.concerns(id, &f):
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

// sendUrgent sends the urgent facts of a link; what the budget refuses waits.
func (e *Engine) sendUrgent(id model.InstanceID, l *link, now time.Time) {
	if len(l.urgent) == 0 {
		return
	}
	l.urgentAt = now
	l.urgent = e.sendFacts(id, l.urgent, e.o.Budget.AllowsUrgent)
}

func (e *Engine) flushUrgent(now time.Time) {
	for _, id := range e.linkIDs() {
		e.sendUrgent(id, e.links[id], now)
	}
}

// concerns reports whether a fact may be sent to a peer.
func (e *Engine) concerns(id model.InstanceID, f *Fact) bool {
	if !f.Kind.regional() {
		return true
	}
	k := e.others[id]
	return k != nil && k.member.Location.Region == e.o.Self.Location.Region
}

func (e *Engine) linkIDs() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(e.links))
	for id := range e.links {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// enqueue adds a fact; an older one of the same key is replaced.
func enqueue(queue []Fact, f Fact) []Fact {
	for i := range queue {
		if queue[i].Kind == f.Kind && queue[i].Key == f.Key {
			queue[i] = f
			return queue
		}
	}
	if len(queue) >= maxBulk {
		return queue
	}
	return append(queue, f)
}

// unqueue drops waiting facts that the peer has just shown to know.
func (l *link) unqueue(seen []Fact) {
	for i := range seen {
		known := func(f Fact) bool {
			return f.Kind == seen[i].Kind && f.Key == seen[i].Key && f.Stamp <= seen[i].Stamp
		}
		l.urgent = slices.DeleteFunc(l.urgent, known)
		l.bulk = slices.DeleteFunc(l.bulk, known)
	}
}

// sendFacts sends facts as far as the budget allows and returns the rest.
func (e *Engine) sendFacts(to model.InstanceID, facts []Fact, allowed func(bytes int) bool) []Fact {
	for len(facts) > 0 {
		m := fill(facts)
		if !e.sendIf(to, m, allowed) {
			break
		}
		facts = facts[len(m.Facts):]
	}
	return facts
}

// send sends a message of the membership protocol if the budget allows.
func (e *Engine) send(to model.InstanceID, m message) {
	e.sendIf(to, m, func(bytes int) bool { return e.o.Budget.Allows(bytes, limit.PriorityMembership) })
}

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
	e.do(func() { e.o.Transport.Send(to, raw) })
	return true
}

// flushDue sends the facts that wait, the most useful first. Load hints don't
// wait for budget. Links take turns, so that a fact that comes in over one of
// them need not go out over it as well.
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

// greet opens a link: each side introduces itself, digests are compared at once.
func (e *Engine) greet(id model.InstanceID) {
	m := e.opening()
	if self, ok := e.o.Board.Lookup(FactMember, string(e.o.Self.ID)); ok {
		m.Facts = []Fact{self}
	}
	e.send(id, m)
}

// opening returns the message that opens an exchange of digests.
func (e *Engine) opening() message {
	sums := e.o.Board.digest()
	holdings := e.holdings
	return message{Root: sums.root(), Holdings: &holdings}
}

// reconcile compares digests with one peer when it is due.
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
	e.send(ids[e.o.Rand.IntN(len(ids))], e.opening())
}

// answer handles the parts of a message that are about digests and holdings.
func (e *Engine) answer(from model.InstanceID, m *message) {
	l := e.links[from]
	if l == nil {
		return
	}
	if m.Root != 0 {
		e.answerRoot(from, l, m.Root)
	}
	if m.Buckets != nil {
		e.answerBuckets(from, l, m.Buckets)
	}
	for i := range m.Summary {
		e.answerSummary(from, l, &m.Summary[i])
	}
	if len(m.Want) > 0 {
		e.answerWant(l, m.Want)
	}
	if m.Holdings != nil {
		e.held(from, *m.Holdings)
	}
}

func (e *Engine) answerRoot(from model.InstanceID, l *link, root uint64) {
	sums := e.o.Board.digest()
	l.differs = root != sums.root()
	if l.differs {
		e.send(from, message{Buckets: sums.bytes()})
	}
}

// answerBuckets lists the facts of some buckets that differ, starting anywhere,
// so that several peers fill different gaps.
func (e *Engine) answerBuckets(from model.InstanceID, l *link, remote []byte) {
	sums := e.o.Board.digest()
	differing := sums.differing(remote)
	l.differs = len(differing) > 0
	if !l.differs {
		return
	}
	var m message
	bytes := 0
	start := e.o.Rand.IntN(len(differing))
	for i := range differing {
		s := bucketSummary{Bucket: differing[(start+i)%len(differing)]}
		for _, f := range e.o.Board.bucket(s.Bucket) {
			s.add(&f)
		}
		if bytes += len(s.Entries) + entryBytes; bytes > maxSummaryBytes && len(m.Summary) > 0 {
			break
		}
		m.Summary = append(m.Summary, s)
	}
	e.send(from, m)
}

func (e *Engine) answerSummary(from model.InstanceID, l *link, s *bucketSummary) {
	if s.Bucket >= digestBuckets {
		return
	}
	lacking, newer := e.o.Board.compare(s)
	for _, f := range lacking {
		l.bulk = enqueue(l.bulk, f)
	}
	if len(newer) > 0 {
		e.send(from, message{Want: newer[:min(len(newer), maxSummaryBytes)]})
	}
}

func (e *Engine) answerWant(l *link, want []byte) {
	asked := make(map[uint32]bool, len(want)/wantBytes)
	for ; len(want) >= wantBytes; want = want[wantBytes:] {
		asked[uint32(want[0])<<24|uint32(want[1])<<16|uint32(want[2])<<8|uint32(want[3])] = true
	}
	for _, f := range e.o.Board.selected(func(f *Fact) bool { return f.Kind.lasting() && asked[f.hash()] }) {
		l.bulk = enqueue(l.bulk, f)
	}
}
