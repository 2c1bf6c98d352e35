package fleet

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/store"
)

// Sizes on the wire in bytes, including the headers of IP, UDP, QUIC and TLS.
// TestWireCosts checks them against real connections.
const (
	// simDatagramOverhead is the size of a datagram's packet without its payload.
	simDatagramOverhead = 53
	// simAckBytes is the size of an acknowledgement or of a packet that closes a
	// connection.
	simAckBytes = 57
	// simKeepAliveBytes is the size of a keep-alive and its acknowledgement.
	simKeepAliveBytes = 54 + 57
	// simDialerBytes is what the dialing end sends for a handshake.
	simDialerBytes = 4800
	// simAcceptorBytes is what the accepting end sends for a handshake.
	simAcceptorBytes = 2700
	// simFailedDialBytes is what is sent for a dial without a response: two initial
	// packets.
	simFailedDialBytes = 2 * 1308
)

// sim is a discrete-event simulation of a fleet: it runs many engines in virtual time
// over a network that delays and loses datagrams. Like with QUIC, connections time out
// peer.IdleTimeout after the last keep-alive that was delivered.
type sim struct {
	now    time.Time
	rand   *rand.Rand
	queue  simQueue
	nodes  []*simNode
	byID   map[model.InstanceID]*simNode
	byAddr map[string]*simNode
	links  map[[2]model.InstanceID]*simLink
	// loss is the probability that a datagram is lost.
	loss float64
	// partitioned reports whether two locations can't reach each other.
	partitioned func(a, b model.Location) bool
}

// simEvent is a scheduled function. Events at the same time run in the order of seq.
type simEvent struct {
	at  time.Time
	seq int
	run func()
}

// simQueue is a heap of events in the order in which they run.
type simQueue struct {
	events []simEvent
	seq    int
}

func (q *simQueue) Len() int { return len(q.events) }
func (q *simQueue) Less(i, j int) bool {
	return cmp.Or(q.events[i].at.Compare(q.events[j].at), cmp.Compare(q.events[i].seq, q.events[j].seq)) < 0
}
func (q *simQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *simQueue) Push(x any)    { q.events = append(q.events, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// simNode is a simulated instance. It implements Transport.
type simNode struct {
	s       *sim
	self    Member
	engine  *Engine
	replica *FactReplica
	members *Members
	budget  *limit.ControlBudget
	events  *events.Ring
	up      bool
	paused  bool
	// sent is the number of bytes sent so far.
	sent int
	// held is the version of the configuration that the instance has applied.
	held ReplicaVersions
}

// simLink is an established connection. broken is when its ends became unreachable from
// each other; zero while they can communicate.
type simLink struct {
	ends   [2]*simNode
	start  time.Time
	broken time.Time
}

// simDomains are the locations over which instances are distributed evenly.
var simDomains = []model.Location{
	{Region: "praha", FailureDomain: "praha-a"}, {Region: "brno", FailureDomain: "brno-a"},
	{Region: "ostrava", FailureDomain: "ostrava-a"}, {Region: "praha", FailureDomain: "praha-b"},
	{Region: "brno", FailureDomain: "brno-b"}, {Region: "ostrava", FailureDomain: "ostrava-b"},
}

// newSim returns a running fleet of n instances that know each other and whose initial
// connections are established and charged to the budgets.
func newSim(n int, seed uint64) *sim {
	s := newColdSim(n, seed)
	for _, a := range s.nodes {
		fact := Fact{Kind: FactMember, Key: string(a.self.ID), Stamp: 1, Origin: a.self.ID, Value: a.self.encodedValue(MemberAlive)}
		for _, b := range s.nodes {
			b.replica.Merge(fact)
		}
	}
	s.startAll()
	s.run(30 * time.Second)
	return s
}

// startAll schedules the start of every instance within a second.
func (s *sim) startAll() {
	s.distributeList()
	for _, n := range s.nodes {
		n.up = true
		s.after(time.Duration(s.rand.IntN(1000))*time.Millisecond, n.start)
	}
}

// newColdSim returns a fleet of n instances that are not started and don't know each
// other.
func newColdSim(n int, seed uint64) *sim {
	s := &sim{
		now:         time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC),
		rand:        rand.New(rand.NewPCG(seed, 1)),
		byID:        make(map[model.InstanceID]*simNode),
		byAddr:      make(map[string]*simNode),
		links:       make(map[[2]model.InstanceID]*simLink),
		loss:        0.005,
		partitioned: func(_, _ model.Location) bool { return false },
	}
	for i := range n {
		s.add(i)
	}
	return s
}

// add creates an instance, which is not started.
func (s *sim) add(i int) *simNode {
	at := simDomains[i%len(simDomains)]
	id := model.InstanceID(fmt.Sprintf("%s-%03d", at.FailureDomain, i))
	n := &simNode{s: s, self: Member{ID: id, Location: at, PeerAddr: fmt.Sprintf("10.0.%d.%d:7946", i/250, i%250)}}
	skew := time.Duration(s.rand.IntN(100)-50) * time.Millisecond
	now := func() time.Time { return s.now }
	clock := events.NewClock(func() time.Time { return s.now.Add(skew) })
	n.replica = NewFactReplica(id, clock, now)
	n.members = NewMembers(n.self)
	n.budget = limit.NewControlBudget(limit.DefaultControlBytesPerSecond, now)
	n.events = events.NewRing(id, clock, 256)
	n.engine = NewEngine(Options{
		Self: n.self, Facts: n.replica, Members: n.members, Transport: n, Budget: n.budget,
		Recorder: n.events, Now: now, Rand: rand.New(rand.NewPCG(s.rand.Uint64(), 2)),
	})
	n.engine.OnAnnounce(n.fetch)
	s.nodes = append(s.nodes, n)
	s.byID[id] = n
	s.byAddr[n.self.PeerAddr] = n
	return n
}

// distributeList passes the platform's list, with all instances, to every instance.
func (s *sim) distributeList() {
	var list []store.Instance
	for _, n := range s.nodes {
		list = append(list, store.Instance{ID: n.self.ID, Location: n.self.Location, PeerAddr: n.self.PeerAddr})
	}
	for _, n := range s.nodes {
		n.engine.SetPlatformList(list)
	}
}

func (n *simNode) start() {
	n.up = true
	n.engine.Start(nil)
	n.tick()
}

// tick ticks the engine and reschedules itself until the instance is stopped.
func (n *simNode) tick() {
	if !n.up {
		return
	}
	if !n.paused {
		n.charge(len(n.engine.links) * simKeepAliveBytes * int(TickInterval) / int(peer.KeepAlive) / 2)
		n.engine.Tick()
	}
	n.s.after(TickInterval, n.tick)
}

// charge counts sent bytes and charges them to the budget.
func (n *simNode) charge(bytes int) {
	n.sent += bytes
	n.budget.Charge(bytes)
}

// after schedules a function to run after d.
func (s *sim) after(d time.Duration, run func()) {
	s.queue.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.queue.seq, run: run})
}

// run advances the virtual time by d and runs the events that are due.
func (s *sim) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue.events) > 0 && !s.queue.events[0].at.After(end) {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func (s *sim) reachable(a, b *simNode) bool {
	return a.up && b.up && !a.paused && !b.paused && !s.partitioned(a.self.Location, b.self.Location)
}

// delay returns a random one-way network delay between two instances.
func (s *sim) delay(a, b *simNode) time.Duration {
	jitter := time.Duration(s.rand.IntN(1000)) * time.Microsecond
	switch a.self.Location.DistanceTo(b.self.Location) {
	case model.SameDomain:
		return 100*time.Microsecond + jitter
	case model.SameRegion:
		return 500*time.Microsecond + jitter
	default:
		return 12*time.Millisecond + jitter
	}
}

func linkKey(a, b model.InstanceID) [2]model.InstanceID {
	return [2]model.InstanceID{min(a, b), max(a, b)}
}

// Dial implements Transport.
func (n *simNode) Dial(addr string) {
	other := n.s.byAddr[addr]
	if other == nil || !n.s.reachable(n, other) {
		n.charge(simFailedDialBytes)
		n.s.after(peer.DialTimeout, func() { n.engine.DialFailed(addr) })
		return
	}
	n.s.after(3*n.s.delay(n, other), func() {
		key := linkKey(n.self.ID, other.self.ID)
		if n.s.links[key] != nil || !n.s.reachable(n, other) {
			return
		}
		n.s.links[key] = &simLink{ends: [2]*simNode{n, other}, start: n.s.now}
		n.charge(simDialerBytes)
		other.charge(simAcceptorBytes)
		n.engine.LinkUp(peer.Link{Peer: other.self.ID, Addr: addr, Dialed: true})
		other.engine.LinkUp(peer.Link{Peer: n.self.ID, Addr: n.self.PeerAddr})
	})
}

// Send implements Transport.
func (n *simNode) Send(to model.InstanceID, payload []byte) bool {
	other := n.s.byID[to]
	if n.s.links[linkKey(n.self.ID, to)] == nil {
		return false
	}
	n.charge(simDatagramOverhead + len(payload))
	if n.s.rand.Float64() < n.s.loss {
		return true
	}
	n.s.after(n.s.delay(n, other), func() {
		if n.s.reachable(n, other) && n.s.links[linkKey(n.self.ID, to)] != nil {
			other.charge(simAckBytes)
			other.engine.Datagram(n.self.ID, payload)
		}
	})
	return true
}

// Close implements Transport.
func (n *simNode) Close(to model.InstanceID) {
	key := linkKey(n.self.ID, to)
	if n.s.links[key] == nil {
		return
	}
	delete(n.s.links, key)
	n.charge(simAckBytes)
	other := n.s.byID[to]
	n.s.after(0, func() { n.engine.LinkDown(to, false) })
	n.s.after(n.s.delay(n, other), func() { other.engine.LinkDown(n.self.ID, false) })
}

// simConfigBytes is the size of a compressed configuration on the wire.
const simConfigBytes = 4096

// fetch fetches and applies a peer's configuration if it is newer, as package discovery
// does.
func (n *simNode) fetch(from model.InstanceID, h ReplicaVersions) {
	other := n.s.byID[from]
	if h.Config <= n.held.Config {
		return
	}
	n.s.after(2*n.s.delay(n, other)+n.s.delay(other, n), func() {
		if h.Config > n.held.Config && n.s.reachable(n, other) {
			other.charge(simConfigBytes)
			n.hold(h)
		}
	})
}

// hold applies a configuration, announces it and publishes the applied revision.
func (n *simNode) hold(h ReplicaVersions) {
	n.held = h
	n.engine.Announce(h)
	value := encode(RevisionValue{Revision: model.Revision(h.Config), Location: n.self.Location})
	n.replica.Publish(FactRevision, string(n.self.ID), value, time.Hour)
}

// reportsOf returns the number of instances known to have applied at least a revision.
func (n *simNode) reportsOf(revision model.Revision) int {
	count := 0
	for _, f := range n.replica.facts {
		if v, err := DecodeRevision(f); f.Kind == FactRevision && err == nil && v.Revision >= revision {
			count++
		}
	}
	return count
}

// PacketsReceived implements Transport.
func (n *simNode) PacketsReceived(from model.InstanceID) uint64 {
	l := n.s.links[linkKey(n.self.ID, from)]
	if l == nil {
		return 0
	}
	return l.keepAlives(n.s.now)
}

// keepAlives returns the number of keep-alives delivered over the link until now.
func (l *simLink) keepAlives(now time.Time) uint64 {
	if !l.broken.IsZero() {
		now = l.broken
	}
	return uint64(now.Sub(l.start) / peer.KeepAlive)
}

// updateLinks must be called after a change of reachability. It marks links as broken or
// restored and schedules the timeout of broken ones.
func (s *sim) updateLinks() {
	for key, l := range s.links {
		ok := s.reachable(l.ends[0], l.ends[1])
		if ok {
			l.broken = time.Time{}
			continue
		}
		if !l.broken.IsZero() {
			continue
		}
		l.broken = s.now
		lastKeepAlive := l.start.Add(time.Duration(l.keepAlives(s.now)) * peer.KeepAlive)
		s.after(lastKeepAlive.Add(peer.IdleTimeout).Sub(s.now), func() {
			if s.links[key] == l && !l.broken.IsZero() {
				delete(s.links, key)
				l.ends[0].reportLost(l.ends[1])
				l.ends[1].reportLost(l.ends[0])
			}
		})
	}
}

// reportLost reports a connection that timed out. A paused instance receives the report
// after it resumes.
func (n *simNode) reportLost(other *simNode) {
	switch {
	case !n.up:
	case n.paused:
		n.s.after(TickInterval, func() { n.reportLost(other) })
	default:
		n.engine.LinkDown(other.self.ID, true)
	}
}

func (s *sim) kill(n *simNode)   { n.up = false; s.updateLinks() }
func (s *sim) pause(n *simNode)  { n.paused = true; s.updateLinks() }
func (s *sim) resume(n *simNode) { n.paused = false; s.updateLinks() }

// leave shuts an instance down gracefully in the same steps as the daemon.
func (s *sim) leave(n *simNode) {
	n.engine.Leave()
	s.after(5*time.Second, func() {
		n.engine.MarkLeft()
		s.after(time.Second, func() { s.kill(n) })
	})
}

// propagation runs the simulation until the condition holds at every running instance or
// the limit has passed. It returns, in ascending order, how long each instance took;
// those where the condition does not hold within the limit count with the limit.
func (s *sim) propagation(limit time.Duration, condition func(*simNode) bool) []time.Duration {
	return s.propagationIn(10*time.Millisecond, limit, condition)
}

// propagationIn is like propagation, but checks the condition once per step.
func (s *sim) propagationIn(step, limit time.Duration, condition func(*simNode) bool) []time.Duration {
	started := s.now
	waiting := slices.DeleteFunc(slices.Clone(s.nodes), func(n *simNode) bool { return !n.up || n.paused })
	var took []time.Duration
	for len(waiting) > 0 && s.now.Sub(started) < limit {
		s.run(step)
		waiting = slices.DeleteFunc(waiting, func(n *simNode) bool {
			holds := condition(n)
			if holds {
				took = append(took, s.now.Sub(started))
			}
			return holds
		})
	}
	for range waiting {
		took = append(took, limit)
	}
	return took
}

// sees reports whether the instance considers another one a live member.
func (n *simNode) sees(id model.InstanceID) bool {
	return slices.ContainsFunc(n.members.Live(), func(m Member) bool { return m.ID == id })
}

// seesLeaving reports whether the instance considers another one a leaving member.
func (n *simNode) seesLeaving(id model.InstanceID) bool {
	return slices.ContainsFunc(n.members.Live(), func(m Member) bool { return m.ID == id && m.Leaving })
}
