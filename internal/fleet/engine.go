package fleet

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// TickInterval is the interval at which Tick must be called.
	TickInterval = 100 * time.Millisecond
	// SuspicionTimeout is how long a suspect has to refute the suspicion.
	SuspicionTimeout = 600 * time.Millisecond
	// tombstoneTTL is how long the state of a member that left or was suspected is
	// kept. It is much longer than the partition of a region lasts, so that the two
	// sides agree on it afterwards.
	tombstoneTTL = 3 * time.Hour
	// pauseThreshold is the gap between ticks above which an instance assumes that
	// its own process was paused.
	pauseThreshold = time.Second
	// suspicionHoldoff is how long an instance publishes no suspicions or partitions
	// after a pause.
	suspicionHoldoff = 2 * time.Second
	// staleStatePause is the pause above which the facts of other instances are
	// considered stale: they are deleted and fetched again from peers.
	staleStatePause = 10 * time.Minute
	// healthyLinkSilence is how long a link may receive nothing and still be
	// considered healthy.
	healthyLinkSilence = peer.KeepAlive + 200*time.Millisecond

	// flushInterval is the mean interval between two flushes of a link's bulk queue.
	flushInterval = 500 * time.Millisecond
	// expireInterval is the interval at which expired facts and members are deleted.
	expireInterval = 10 * time.Second
)

// Transport connects an instance with its peers. It is implemented by
// *peer.Transport.
type Transport interface {
	// Dial opens a connection asynchronously. The outcome is reported by a call of
	// the engine's LinkUp or DialFailed.
	Dial(addr string)
	// Send sends a datagram without guarantee of delivery. It returns false if it
	// could not be sent.
	Send(to model.InstanceID, payload []byte) bool
	// Close closes the connection to a peer that is no longer needed.
	Close(to model.InstanceID)
	// PacketsReceived returns the number of packets received on the current connection
	// to a peer, or zero without one.
	PacketsReceived(from model.InstanceID) uint64
}

// Budget limits the bandwidth of control traffic. The engine sends a datagram only if
// the budget allows it.
type Budget interface {
	// Allows reports whether a datagram of the given size and priority may be sent.
	Allows(bytes int, p limit.Priority) bool
	// AllowsUrgent is like Allows, but for urgent facts, which may overdraw the budget
	// further than any priority.
	AllowsUrgent(bytes int) bool
}

// Options configure an Engine. All fields are required.
type Options struct {
	Self      Member
	Facts     *FactReplica
	Members   *Members
	Transport Transport
	Budget    Budget
	Recorder  events.Recorder
	Now       func() time.Time
	Rand      *rand.Rand
}

// peerRecord is the state that the engine keeps for another instance.
type peerRecord struct {
	member Member
	// state is zero until a member fact about the instance was received; until then
	// it is known only from the platform's list or a connection.
	state       MemberState
	suspectedAt time.Time
	// suspicionExpiry is when a deferred suspicion of the member is dropped; see
	// Engine.deferredSuspicions.
	suspicionExpiry time.Time
	// dead is set if the member has left or a suspicion was not refuted in time.
	dead bool
	// listed is set if the platform's current list contains the instance.
	listed bool
	// retryAt is when the instance may be dialed again.
	retryAt time.Time
	// failures is the number of failed connections since the last successful one.
	failures int
	// dialDeadline is when a dial in progress must have ended.
	dialDeadline  time.Time
	ringPositions ringPositions
}

// live reports whether the instance is considered a live member.
func (p *peerRecord) live() bool {
	return !p.dead && (p.state == MemberAlive || p.state == MemberLeaving || p.state == MemberSuspect)
}

// link is the state of an established connection.
type link struct {
	// dialed is set if this instance opened the connection.
	dialed bool
	// received is the last seen number of packets received; receivedAt is when it
	// last increased.
	received   uint64
	receivedAt time.Time
	// outOfViewSince is when the peer left the view; zero while it is part of it.
	outOfViewSince time.Time
	// urgent and bulk queue facts to be sent with the next tick and flush.
	urgent []Fact
	bulk   []Fact
	// urgentAt is when urgent facts were last sent.
	urgentAt time.Time
	// announceAt is when this instance's versions are announced to the peer; zero if
	// no announcement is pending.
	announceAt time.Time
	// flushAt is the time of the next flush of the bulk queue.
	flushAt time.Time
	// differs is set if the last digest received from the peer differed.
	differs bool
}

// Engine maintains the membership of a fleet and disseminates facts by gossip. It
// performs no I/O and starts no timers: time comes from Options.Now and calls of
// Tick, and packets are exchanged through Transport. It implements peer.Handler and
// is safe for concurrent use.
type Engine struct {
	o Options

	mu     sync.Mutex
	state  MemberState
	peers  map[model.InstanceID]*peerRecord
	byAddr map[string]model.InstanceID
	links  map[model.InstanceID]*link
	// partitions holds the state of partitions from other regions.
	partitions map[model.Region]*partition
	// suspects are the suspected members whose SuspicionTimeout is running.
	suspects map[model.InstanceID]*peerRecord
	// deferredSuspicions are the members whose suspicion is published once this
	// instance's own links are healthy.
	deferredSuspicions map[model.InstanceID]*peerRecord
	seeds              []string
	// heldVersions are this instance's versions, peerVersions those that linked
	// members have announced.
	heldVersions ReplicaVersions
	peerVersions map[model.InstanceID]ReplicaVersions
	onAnnounce   func(model.InstanceID, ReplicaVersions)
	// listedAt is when the platform's list was last received; zero if never.
	listedAt      time.Time
	ringPositions ringPositions

	lastTick time.Time
	// holdoffUntil is the time before which no suspicions or partitions are published.
	holdoffUntil time.Time
	lastExpire   time.Time
	nextDigest   time.Time
	// nextProbe is when a seed or a member across a partition may be dialed next.
	nextProbe time.Time
	// refutedAt is when this instance last refuted a fact about itself; mustRefute is
	// set if it has to do so again.
	refutedAt  time.Time
	mustRefute bool
	// changed is set if the member list or the view may have to be recomputed.
	changed        bool
	viewComputedAt time.Time
	currentView    []model.InstanceID
	lastMembers    []Member
	// actions are run in order after mu is released.
	actions []func()
}

// NewEngine returns an engine that is not started: it has not published this
// instance's member fact yet.
func NewEngine(o Options) *Engine {
	e := &Engine{
		o:                  o,
		state:              MemberAlive,
		peers:              make(map[model.InstanceID]*peerRecord),
		byAddr:             make(map[string]model.InstanceID),
		links:              make(map[model.InstanceID]*link),
		partitions:         make(map[model.Region]*partition),
		suspects:           make(map[model.InstanceID]*peerRecord),
		deferredSuspicions: make(map[model.InstanceID]*peerRecord),
		peerVersions:       make(map[model.InstanceID]ReplicaVersions),
		ringPositions:      ringPositionsOf(o.Self.ID),
	}
	o.Facts.onPublish = e.disseminateOwn
	o.Facts.Subscribe(FactMember, e.onMemberFact)
	o.Facts.Subscribe(FactPartition, e.onPartitionFact)
	return e
}

// Start publishes this instance as alive, unless an identical fact is already stored.
// Seeds are peer addresses to dial while there is neither a link nor an instance to link
// to.
func (e *Engine) Start(seeds []string) {
	e.withLock(func(now time.Time) {
		e.seeds = seeds
		e.lastTick = now
		e.holdoffUntil = now
		e.state = MemberAlive
		published, ok := e.o.Facts.Lookup(FactMember, string(e.o.Self.ID))
		if !ok || !bytes.Equal(published.Value, e.o.Self.encodedValue(MemberAlive)) {
			e.publishSelf(false)
		}
	})
}

// Leave announces that this instance will stop. It stays a live member, but no longer
// owns jobs.
func (e *Engine) Leave() { e.setState(MemberLeaving) }

// MarkLeft announces that this instance has stopped and is no longer a member.
func (e *Engine) MarkLeft() { e.setState(MemberLeft) }

// setState publishes that this instance is leaving or has left.
func (e *Engine) setState(s MemberState) {
	e.withLock(func(time.Time) {
		e.state = s
		e.o.Self.Leaving = true
		e.publishSelf(false)
		e.changed = true
		e.publishMembers()
	})
}

// publishSelf publishes this instance's member fact with its current state.
func (e *Engine) publishSelf(refutes bool) {
	v := e.o.Self.memberValue(e.state)
	v.Refutes = refutes
	value := encode(v)
	ttl := time.Duration(0)
	if e.state == MemberLeft {
		ttl = tombstoneTTL
	}
	e.afterUnlock(func() { e.o.Facts.Publish(FactMember, string(e.o.Self.ID), value, ttl) })
}

func (m *Member) memberValue(s MemberState) MemberValue {
	return MemberValue{State: s, Location: m.Location, PeerAddr: m.PeerAddr, OperatorAddr: m.OperatorAddr}
}

func (m *Member) encodedValue(s MemberState) []byte { return encode(m.memberValue(s)) }

// withLock runs f with e.mu held and then, without it, the actions that f scheduled.
// It checks for a pause of this instance first, so that f doesn't mistake the effects
// of the pause for failures of peers.
func (e *Engine) withLock(f func(now time.Time)) {
	e.mu.Lock()
	now := e.o.Now()
	if gap := now.Sub(e.lastTick); gap > pauseThreshold && !e.lastTick.IsZero() {
		e.resumeAfterPause(now, gap)
		e.lastTick = now
	}
	f(now)
	actions := e.actions
	e.actions = nil
	e.mu.Unlock()
	for _, act := range actions {
		act()
	}
}

// afterUnlock schedules an action to run after e.mu is released. The caller must hold
// e.mu.
func (e *Engine) afterUnlock(act func()) { e.actions = append(e.actions, act) }

func (e *Engine) record(kind events.Kind, member model.InstanceID, detail string) {
	e.o.Recorder.Record(events.Event{Kind: kind, Member: member, Detail: detail})
}

// Tick performs all periodic work that is due. It must be called every TickInterval.
func (e *Engine) Tick() {
	e.withLock(func(now time.Time) {
		e.lastTick = now
		e.updateReceived(now)
		e.refute(now)
		e.retryDeferredSuspicions(now)
		e.expireSuspects(now)
		e.maintainLinks(now)
		e.updatePartitions(now)
		e.reconcile(now)
		e.announceDue(now)
		e.flushUrgent(now)
		e.flushDue(now)
		if now.Sub(e.lastExpire) >= expireInterval {
			e.lastExpire = now
			e.o.Facts.deleteMatching(func(*Fact) bool { return false })
			e.dropExpired()
		}
		e.publishMembers()
	})
}

// resumeAfterPause handles a pause of this instance. Links were lost because of the
// pause rather than a failure of the peers, refutations could not be received, and
// after a long pause the stored facts are stale.
func (e *Engine) resumeAfterPause(now time.Time, gap time.Duration) {
	e.record(events.InstanceStarted, e.o.Self.ID, "woke after a pause of "+gap.Round(time.Millisecond).String())
	e.holdoffUntil = now.Add(suspicionHoldoff)
	for _, p := range e.suspects {
		p.suspectedAt = now
	}
	for _, p := range e.peers {
		p.retryAt = time.Time{}
		p.failures = 0
	}
	if gap > staleStatePause {
		self := e.o.Self.ID
		e.afterUnlock(func() { e.o.Facts.deleteMatching(func(f *Fact) bool { return f.Origin != self }) })
	}
}

// updateReceived updates the time at which each link last received packets.
func (e *Engine) updateReceived(now time.Time) {
	for id, l := range e.links {
		if count := e.o.Transport.PacketsReceived(id); count != l.received {
			l.received = count
			l.receivedAt = now
		}
	}
}

// SetPlatformList sets the platform's list of instances. The list lags behind the actual
// membership. Therefore it only adds instances to dial and limits which instances
// are dialed across a partition; it does not remove members.
func (e *Engine) SetPlatformList(list []store.Instance) {
	e.withLock(func(now time.Time) {
		e.listedAt = now
		for _, p := range e.peers {
			p.listed = false
		}
		for _, i := range list {
			if i.ID == e.o.Self.ID || i.PeerAddr == "" {
				continue
			}
			p := e.ensurePeer(i.ID)
			p.listed = true
			if p.state == 0 {
				p.member = Member{ID: i.ID, Location: i.Location, PeerAddr: i.PeerAddr, OperatorAddr: i.OperatorAddr}
				e.byAddr[i.PeerAddr] = i.ID
			}
		}
		for id, p := range e.peers {
			if p.state == 0 && !p.listed && e.links[id] == nil {
				e.drop(id)
			}
		}
	})
}

// ensurePeer returns the record of an instance, creating it if necessary.
func (e *Engine) ensurePeer(id model.InstanceID) *peerRecord {
	e.changed = true
	p := e.peers[id]
	if p == nil {
		p = &peerRecord{member: Member{ID: id}, ringPositions: ringPositionsOf(id)}
		e.peers[id] = p
	}
	return p
}

// dropExpired deletes the records of dead instances whose member facts have expired,
// unless the platform still lists them.
func (e *Engine) dropExpired() {
	for id, p := range e.peers {
		if !p.dead || p.listed || e.links[id] != nil {
			continue
		}
		if _, ok := e.o.Facts.Lookup(FactMember, string(id)); !ok {
			e.drop(id)
		}
	}
}

// drop deletes all state of an instance.
func (e *Engine) drop(id model.InstanceID) {
	delete(e.byAddr, e.peers[id].member.PeerAddr)
	delete(e.peers, id)
	delete(e.peerVersions, id)
	delete(e.suspects, id)
	delete(e.deferredSuspicions, id)
	e.changed = true
}
