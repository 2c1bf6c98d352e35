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
	// TickInterval is how often Tick wants to be called.
	TickInterval = 100 * time.Millisecond
	// SuspicionTimeout is how long a suspect has to contradict.
	SuspicionTimeout = 600 * time.Millisecond
	// tombstoneLife is how long a member that left is remembered; it outlasts
	// the cut of a region by far.
	tombstoneLife = 3 * time.Hour
	// pauseLimit is the gap between ticks after which an instance takes itself
	// to have been paused.
	pauseLimit = time.Second
	// settleTime is how long a woken instance accuses nobody.
	settleTime = 2 * time.Second
	// absenceLimit is the pause after which the facts of others are learnt anew.
	absenceLimit = 10 * time.Minute
	// freshSilence is the silence up to which a link counts as healthy.
	freshSilence = peer.KeepAlive + 200*time.Millisecond

	// flushInterval is the mean pause between two flushes of a link.
	flushInterval  = 500 * time.Millisecond
	expireInterval = 10 * time.Second
)

// Transport connects an instance with its peers; *peer.Transport implements it.
type Transport interface {
	// Dial opens a connection and reports the outcome to the engine.
	Dial(addr string)
	// Send sends a datagram that may get lost.
	Send(to model.InstanceID, payload []byte) bool
	// Close ends a connection that is not needed any more.
	Close(to model.InstanceID)
	// Heard counts the packets received from a peer on its connection.
	Heard(from model.InstanceID) uint64
}

// Budget is the measuring budget that the engine asks before it sends.
type Budget interface {
	Allows(bytes int, p limit.Priority) bool
	AllowsUrgent(bytes int) bool
}

// Options are the collaborators of an Engine.
type Options struct {
	Self      Member
	Board     *Facts
	Members   *Members
	Transport Transport
	Budget    Budget
	Recorder  events.Recorder
	Now       func() time.Time
	Rand      *rand.Rand
}

// known is what the engine knows of another instance.
type known struct {
	member Member
	// state is zero while only the platform's list names the instance.
	state       MemberState
	suspectedAt time.Time
	// accuseTill is until when the member is to be accused, once this instance
	// can trust its own links.
	accuseTill time.Time
	// dead is set once a suspicion has stood unopposed.
	dead   bool
	listed bool
	// retryAt is when the instance may be dialed again.
	retryAt  time.Time
	failures int
	// dialingTill is when a dial under way must have ended.
	dialingTill time.Time
	places      places
}

// live reports whether the instance counts as a member.
func (k *known) live() bool {
	return !k.dead && (k.state == MemberAlive || k.state == MemberLeaving || k.state == MemberSuspect)
}

// link is an established connection.
type link struct {
	dialed bool
	// heard and heardAt tell when the peer's packet counter last rose.
	heard   uint64
	heardAt time.Time
	// unwanted is since when the link is not part of the view.
	unwanted time.Time
	// urgent and bulk are facts that wait for the next tick or flush.
	urgent []Fact
	bulk   []Fact
	// urgentAt is when urgent facts were last sent.
	urgentAt time.Time
	// announceAt is when the peer is to be told what this instance holds.
	announceAt time.Time
	// flushAt is when the bulk facts are sent next.
	flushAt time.Time
	// differs is set after a digest that differed.
	differs bool
}

// Engine keeps the membership of a fleet and spreads facts. It holds no clock
// and no sockets: time comes from Options.Now and Tick, packets come and go
// through Transport. It is safe for concurrent use.
type Engine struct {
	o Options

	mu       sync.Mutex
	state    MemberState
	others   map[model.InstanceID]*known
	byAddr   map[string]model.InstanceID
	links    map[model.InstanceID]*link
	cuts     map[model.Region]*cut
	suspects map[model.InstanceID]*known
	lost     map[model.InstanceID]*known
	seeds    []string
	holdings Holdings
	heldBy   map[model.InstanceID]Holdings
	onHeld   func(model.InstanceID, Holdings)
	listedAt time.Time
	places   places

	lastTick   time.Time
	settledAt  time.Time
	lastExpire time.Time
	nextDigest time.Time
	nextProbe  time.Time
	refutedAt  time.Time
	mustRefute bool
	// changed is set when the members or the view may have to be worked out anew.
	changed     bool
	viewed      time.Time
	currentView []model.InstanceID
	membersSeen []Member
	// actions run after mu is released, in order.
	actions []func()
}

// NewEngine returns an engine that has told nobody of itself yet.
func NewEngine(o Options) *Engine {
	e := &Engine{
		o:        o,
		state:    MemberAlive,
		others:   make(map[model.InstanceID]*known),
		byAddr:   make(map[string]model.InstanceID),
		links:    make(map[model.InstanceID]*link),
		cuts:     make(map[model.Region]*cut),
		suspects: make(map[model.InstanceID]*known),
		lost:     make(map[model.InstanceID]*known),
		heldBy:   make(map[model.InstanceID]Holdings),
		places:   placesOf(o.Self.ID),
	}
	o.Board.published = e.spreadOwn
	o.Board.Subscribe(FactMember, e.onMemberFact)
	o.Board.Subscribe(FactCut, e.onCutFact)
	return e
}

// Start states that this instance is alive. Seeds are peer addresses to dial
// while no member is known.
func (e *Engine) Start(seeds []string) {
	e.locked(func(now time.Time) {
		e.seeds = seeds
		e.lastTick = now
		e.settledAt = now
		e.state = MemberAlive
		known, ok := e.o.Board.Lookup(FactMember, string(e.o.Self.ID))
		if !ok || !bytes.Equal(known.Value, e.o.Self.value(MemberAlive)) {
			e.stateOwn(false)
		}
	})
}

// Leave states that this instance will stop; it stays a member, but takes no jobs.
func (e *Engine) Leave() { e.enter(MemberLeaving) }

// Left states that this instance has stopped.
func (e *Engine) Left() { e.enter(MemberLeft) }

func (e *Engine) enter(s MemberState) {
	e.locked(func(time.Time) {
		e.state = s
		e.o.Self.Leaving = true
		e.stateOwn(false)
		e.changed = true
		e.publishMembers()
	})
}

// stateOwn publishes this instance's own statement.
func (e *Engine) stateOwn(refutes bool) {
	v := e.o.Self.statement(e.state)
	v.Refutes = refutes
	value := encode(v)
	ttl := time.Duration(0)
	if e.state == MemberLeft {
		ttl = tombstoneLife
	}
	e.do(func() { e.o.Board.Publish(FactMember, string(e.o.Self.ID), value, ttl) })
}

func (m *Member) statement(s MemberState) MemberValue {
	return MemberValue{State: s, Location: m.Location, PeerAddr: m.PeerAddr, OperatorAddr: m.OperatorAddr}
}

func (m *Member) value(s MemberState) []byte { return encode(m.statement(s)) }

// locked runs f under the lock and then the actions that it asked for. A pause
// of this instance is noticed before anything else that came with it.
func (e *Engine) locked(f func(now time.Time)) {
	e.mu.Lock()
	now := e.o.Now()
	if gap := now.Sub(e.lastTick); gap > pauseLimit && !e.lastTick.IsZero() {
		e.wake(now, gap)
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

// do runs an action after the lock is released.
func (e *Engine) do(act func()) { e.actions = append(e.actions, act) }

func (e *Engine) record(kind events.Kind, member model.InstanceID, detail string) {
	e.o.Recorder.Record(events.Event{Kind: kind, Member: member, Detail: detail})
}

// Tick does what is due.
func (e *Engine) Tick() {
	e.locked(func(now time.Time) {
		e.lastTick = now
		e.listen(now)
		e.refute(now)
		e.accuseLost(now)
		e.confirm(now)
		e.connect(now)
		e.healCuts(now)
		e.reconcile(now)
		e.announceDue(now)
		e.flushUrgent(now)
		e.flushDue(now)
		if now.Sub(e.lastExpire) >= expireInterval {
			e.lastExpire = now
			e.o.Board.forget(func(*Fact) bool { return false })
			e.dropForgotten()
		}
		e.publishMembers()
	})
}

// wake makes up for a pause of this instance: its links are gone because of
// itself, suspicions have not been heard out, and what it knows may be old.
func (e *Engine) wake(now time.Time, gap time.Duration) {
	e.record(events.InstanceStarted, e.o.Self.ID, "woke after a pause of "+gap.Round(time.Millisecond).String())
	e.settledAt = now.Add(settleTime)
	for _, k := range e.suspects {
		k.suspectedAt = now
	}
	for _, k := range e.others {
		k.retryAt = time.Time{}
		k.failures = 0
	}
	if gap > absenceLimit {
		self := e.o.Self.ID
		e.do(func() { e.o.Board.forget(func(f *Fact) bool { return f.Origin != self }) })
	}
}

// listen notes which peers have been heard since the last tick.
func (e *Engine) listen(now time.Time) {
	for id, l := range e.links {
		if heard := e.o.Transport.Heard(id); heard != l.heard {
			l.heard = heard
			l.heardAt = now
		}
	}
}

// SetListed takes the platform's list of instances in. It lags, so it only adds
// instances to dial and bounds which dead ones are tried again.
func (e *Engine) SetListed(list []store.Instance) {
	e.locked(func(now time.Time) {
		e.listedAt = now
		for _, k := range e.others {
			k.listed = false
		}
		for _, i := range list {
			if i.ID == e.o.Self.ID || i.PeerAddr == "" {
				continue
			}
			k := e.other(i.ID)
			k.listed = true
			if k.state == 0 {
				k.member = Member{ID: i.ID, Location: i.Location, PeerAddr: i.PeerAddr, OperatorAddr: i.OperatorAddr}
				e.byAddr[i.PeerAddr] = i.ID
			}
		}
		for id, k := range e.others {
			if k.state == 0 && !k.listed && e.links[id] == nil {
				e.drop(id)
			}
		}
	})
}

func (e *Engine) other(id model.InstanceID) *known {
	e.changed = true
	k := e.others[id]
	if k == nil {
		k = &known{member: Member{ID: id}, places: placesOf(id)}
		e.others[id] = k
	}
	return k
}

// dropForgotten drops the dead whose tombstones have expired, unless the
// platform still lists them.
func (e *Engine) dropForgotten() {
	for id, k := range e.others {
		if !k.dead || k.listed || e.links[id] != nil {
			continue
		}
		if _, ok := e.o.Board.Lookup(FactMember, string(id)); !ok {
			e.drop(id)
		}
	}
}

func (e *Engine) drop(id model.InstanceID) {
	delete(e.byAddr, e.others[id].member.PeerAddr)
	delete(e.others, id)
	delete(e.heldBy, id)
	delete(e.suspects, id)
	delete(e.lost, id)
	e.changed = true
}
