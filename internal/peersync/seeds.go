package peersync

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/clock"
)

// SeedList is a list of seeds as one instance sees it. It doesn't change.
type SeedList struct {
	others []string
	isSeed bool
	// superseded is closed when another list replaces this one.
	superseded chan struct{}
}

func newSeedList(isSeed bool, others []string) *SeedList {
	return &SeedList{others: slices.Clone(others), isSeed: isSeed, superseded: make(chan struct{})}
}

// Others returns the peer addresses of the seeds other than this instance.
func (l *SeedList) Others() []string { return l.others }

// IsSeed reports whether this instance is a seed.
func (l *SeedList) IsSeed() bool { return l.isSeed }

// Superseded returns a channel that is closed when another list replaces this one.
func (l *SeedList) Superseded() <-chan struct{} { return l.superseded }

// relays returns the seeds that may relay the store's changes to this instance. A seed reads the
// store itself, so that the seeds don't follow each other.
func (l *SeedList) relays() []string {
	if l.isSeed {
		return nil
	}
	return l.others
}

// mayGrant reports whether this instance grants once the holders before it have stopped. An
// instance without any seed grants everything to itself.
func (l *SeedList) mayGrant() bool { return l.isSeed || len(l.others) == 0 }

// shares returns the number of grantors among which each limit is divided.
func (l *SeedList) shares() int { return len(l.others) + 1 }

func (l *SeedList) equals(other *SeedList) bool {
	return l.isSeed == other.isSeed && len(l.others) == len(other.others) &&
		!slices.ContainsFunc(l.others, func(addr string) bool { return !slices.Contains(other.others, addr) })
}

// Seeds says which instances hold the roles that a fleet shares: they grant permits, relay the
// store's changes and keep the marks of requests. The list may be replaced while the instance
// runs.
//
// An instance that becomes a grantor by a new list doesn't grant before the grantors of the
// lists that it knew before have stopped, or haven't responded for takeoverSilence (Run). One
// that starts as a seed (AwaitOthers) learns from the others which lists they knew. A grantor
// that was passed over is told when it responds again, and yields; since it may be frozen
// meanwhile, one that wakes up grants nothing for resumeDelay.
//
// A grantor that is cut off from its successors, but not from all callers, isn't told and goes on
// granting: until they reach it again, what both grant can exceed a limit. So do processes that
// were started with lists that have no member in common.
//
// It is safe for concurrent use.
type Seeds struct {
	// OnTenure, if set, is called when the instance begins or ceases to grant.
	OnTenure func(grants bool, shares int)
	// Own is the peer address of this instance, or "".
	Own string

	transport Transport
	log       *zap.Logger
	current   atomic.Pointer[SeedList]

	mu sync.Mutex
	// tenure is the current one.
	tenure Tenure
	// known are the addresses of this list and of earlier ones whose grants may not have ended,
	// without the own one; the latest last.
	known []string
	// predecessors are the instances that may still grant by an earlier list. Until there are
	// none, a new list doesn't take effect on what this instance grants.
	predecessors map[string]*predecessor
	// starts is set until the first tenure of an instance that asks the others as it starts: what
	// accumulated since then is its own.
	starts bool
	// ended are the addresses that no longer grant by an earlier list, and passedOver those of
	// them that didn't respond.
	ended, passedOver map[string]bool
	// yieldsUntil is until when another instance grants in place of this one.
	yieldsUntil time.Time
	// checkedAt is when Run last ran, and resumesAt until when nothing is granted since the
	// process stood still.
	checkedAt clock.Instant
	resumesAt time.Time
}

// Tenure is a time in which an instance grants an equal share of each limit.
type Tenure struct {
	// Term numbers the tenures of a process. What was granted in one is unknown in the next.
	Term uint64
	// Shares is the number of grantors.
	Shares int
}

// predecessor is an instance that may still grant by an earlier list.
type predecessor struct {
	// silentSince is the time of the first question without an answer since its last answer.
	silentSince time.Time
	// isStart is set for a seed of the own list that is asked as this instance starts, isPassed
	// once it no longer keeps this instance from granting.
	isStart, isPassed bool
}

// maxKnownSeeds bounds the addresses of earlier lists that are remembered.
const maxKnownSeeds = 64

// NewSeeds returns the seeds of an instance that starts. It grants at once if it is one of them.
func NewSeeds(isSeed bool, others []string, transport Transport, log *zap.Logger) *Seeds {
	s := &Seeds{transport: transport, log: log, predecessors: make(map[string]*predecessor),
		ended: make(map[string]bool), passedOver: make(map[string]bool)}
	list := newSeedList(isSeed, others)
	s.current.Store(list)
	s.remember(list)
	if list.mayGrant() {
		s.tenure = Tenure{Term: 1, Shares: list.shares()}
	}
	return s
}

// Current returns the list in force.
func (s *Seeds) Current() *SeedList { return s.current.Load() }

// Replace puts another list in force and reports whether it differs. An empty one is ignored:
// each instance would grant the whole of each limit.
func (s *Seeds) Replace(isSeed bool, others []string) bool {
	list := newSeedList(isSeed, others)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.Current()
	if list.equals(before) || (!isSeed && len(others) == 0) {
		return false
	}
	s.remember(list)
	s.current.Store(list)
	s.yieldsUntil = time.Time{}
	maps.DeleteFunc(s.passedOver, func(addr string, _ bool) bool { return slices.Contains(others, addr) })
	clear(s.predecessors)
	clear(s.ended)
	for _, addr := range s.known {
		if list.mayGrant() && !s.passedOver[addr] {
			s.predecessors[addr] = &predecessor{}
		}
	}
	s.starts = false
	s.updateTenure()
	close(before.superseded)
	return true
}

// AwaitOthers makes a seed that starts grant nothing before it has asked the others, whose lists
// may name further ones that grant. Seeds of its own list that don't respond only keep it for
// seedStartWait, since what they grant is their share; they are asked on until takeoverSilence has
// passed. Run must be called afterwards.
func (s *Seeds) AwaitOthers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.Current()
	if !list.isSeed || len(list.others) == 0 {
		return
	}
	for _, addr := range list.others {
		s.predecessors[addr] = &predecessor{isStart: true}
	}
	s.tenure.Shares, s.starts = 0, true
}

// learn adds addresses that another instance knows. Those that are new may grant, and this instance
// grants nothing until they have ended. The caller must hold s.mu.
func (s *Seeds) learn(addrs []string) {
	for _, addr := range addrs {
		if addr == s.Own || slices.Contains(s.known, addr) || s.ended[addr] || len(s.known)+len(s.ended) >= maxKnownSeeds {
			continue
		}
		s.known = append(s.known, addr)
		s.predecessors[addr] = &predecessor{}
		s.tenure.Shares, s.starts = 0, false
	}
}

// recordEnded records that an instance no longer grants by an earlier list. It is no longer told
// to others unless the list names it. The caller must hold s.mu.
func (s *Seeds) recordEnded(addr string) {
	delete(s.predecessors, addr)
	s.ended[addr] = true
	if !slices.Contains(s.Current().others, addr) {
		s.known = slices.DeleteFunc(s.known, func(known string) bool { return known == addr })
	}
}

// remember adds a list to the known addresses. The caller must hold s.mu.
func (s *Seeds) remember(l *SeedList) {
	s.known = slices.DeleteFunc(s.known, func(addr string) bool { return slices.Contains(l.others, addr) })
	s.known = append(s.known, l.others...)
	s.known = s.known[max(0, len(s.known)-maxKnownSeeds):]
}

// updateTenure derives the tenure from the list and the predecessors. The caller must hold s.mu.
func (s *Seeds) updateTenure() {
	list, before := s.Current(), s.tenure
	next := Tenure{Term: before.Term}
	switch {
	case !list.mayGrant():
	case !s.hasPredecessors():
		next.Shares = list.shares()
	case before.Shares > 0:
		// Both lists name this instance: the smaller share is safe under either.
		next.Shares = max(before.Shares, list.shares())
	}
	if next == before {
		return
	}
	if !s.starts {
		next.Term++
	}
	s.tenure, s.starts = next, false
	if s.OnTenure != nil {
		s.OnTenure(next.Shares > 0, next.Shares)
	}
}

// hasPredecessors reports whether an instance may still grant by an earlier list. The caller must
// hold s.mu.
func (s *Seeds) hasPredecessors() bool {
	for _, p := range s.predecessors {
		if !p.isPassed {
			return true
		}
	}
	return false
}

// Tenure returns the tenure in which the instance may grant now, or false if it may not.
func (s *Seeds) Tenure() (Tenure, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenure, s.mayGrantNow()
}

// mayGrantNow reports whether the instance may grant. The caller must hold s.mu.
func (s *Seeds) mayGrantNow() bool {
	now := time.Now()
	mayStandStill := !s.checkedAt.IsZero() && s.checkedAt.ElapsedAtMost() > standstill
	return s.tenure.Shares > 0 && now.After(s.yieldsUntil) && now.After(s.resumesAt) && !mayStandStill
}

// Share holds this instance's share of the limits of one kind, granted by a G, for as long as
// it may grant. Each tenure begins with a new G. It is safe for concurrent use.
type Share[G any] struct {
	seeds *Seeds
	build func(shares int) G

	mu      sync.Mutex
	term    uint64
	grantor G
}

// NewShare returns the share of an instance. The function builds one of the given number of
// grantors.
func NewShare[G any](seeds *Seeds, build func(shares int) G) *Share[G] {
	// Grantors accumulate from their beginning: that of the process, not of the first use.
	tenure, _ := seeds.Tenure()
	return &Share[G]{seeds: seeds, build: build, term: tenure.Term, grantor: build(seeds.Current().shares())}
}

// Grantor returns the grantor, or false if this instance grants nothing now.
func (s *Share[G]) Grantor() (grantor G, grants bool) {
	tenure, grants := s.seeds.Tenure()
	if !grants {
		return grantor, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if tenure.Term > s.term {
		s.term, s.grantor = tenure.Term, s.build(tenure.Shares)
	}
	return s.grantor, true
}

// NotHolderError reports that this instance doesn't hold the role for which it was asked.
type NotHolderError struct{ Role string }

func (e *NotHolderError) Error() string { return "this instance doesn't " + e.Role + " now" }
