package fleet

import (
	"fmt"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

// agree fails unless every running instance sees exactly the given number of members.
func (s *sim) agree(t *testing.T, when string, want int) {
	t.Helper()
	for _, n := range s.nodes {
		if n.up && !n.frozen && len(n.members.Live()) != want {
			t.Errorf("%s: %s sees %d members, want %d", when, n.self.ID, len(n.members.Live()), want)
		}
	}
}

func (n *simNode) count(kind events.Kind) int {
	count := 0
	for _, e := range n.events.Snapshot() {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

func TestJoinsAreKnownToAll(t *testing.T) {
	s := newColdSim(17, 3)
	s.startAll()
	s.run(30 * time.Second)
	s.agree(t, "cold start", 17)
	joiner := s.add(17)
	s.list()
	joiner.start()
	checkSpread(t, "join", s.spread(patience, func(n *simNode) bool { return n.sees(joiner.self.ID) }))
	if len(joiner.members.Live()) != 18 {
		t.Errorf("the new instance sees %d members", len(joiner.members.Live()))
	}
}

func TestLossAloneTakesNobodyOff(t *testing.T) {
	s := newSim(17, 4)
	s.loss = 0.1
	s.run(3 * time.Minute)
	s.agree(t, "under loss", 17)
	for _, n := range s.nodes {
		if n.count(events.MemberLeft) > 0 {
			t.Errorf("%s took a member off", n.self.ID)
		}
	}
}

// TestWokenInstanceAccusesNobody freezes an instance until it is taken off: it
// must come back, evict nobody and bring back no fact that was replaced.
func TestWokenInstanceAccusesNobody(t *testing.T) {
	for _, pause := range []time.Duration{5 * time.Second, absenceLimit + time.Minute} {
		s := newSim(17, 5)
		sleeper := s.nodes[4]
		s.nodes[0].board.Publish(FactQuarantine, "q", []byte("old"), 0)
		s.run(5 * time.Second)
		s.freeze(sleeper)
		s.run(pause / 2)
		s.agree(t, "while one is frozen", 16)
		s.nodes[0].board.Publish(FactQuarantine, "q", []byte("new"), 0)
		s.run(pause / 2)
		s.thaw(sleeper)
		s.run(10 * time.Second)
		s.agree(t, "after it woke", 17)
		for _, n := range s.nodes {
			if f, _ := n.board.Lookup(FactQuarantine, "q"); string(f.Value) != "new" {
				t.Errorf("%s holds the %q fact", n.self.ID, f.Value)
			}
			if left := n.count(events.MemberLeft); n != sleeper && left != 1 {
				t.Errorf("%s took %d members off", n.self.ID, left)
			}
		}
		if sleeper.count(events.MemberLeft) > 0 {
			t.Error("the woken instance took members off")
		}
	}
}

// TestRegionCutHeals cuts a region off, for longCut at today's size. Each side keeps its own
// members, and the fleet is whole within seconds of the end.
func TestRegionCutHeals(t *testing.T) {
	for size, length := range map[int]time.Duration{17: longCut, 60: time.Minute} {
		s := newSim(size, 6)
		inRegion := 0
		for _, n := range s.nodes {
			if n.self.Location.Region == "ostrava" {
				inRegion++
			}
		}
		s.cut = func(a, b model.Location) bool { return (a.Region == "ostrava") != (b.Region == "ostrava") }
		s.changed()
		s.run(10 * time.Second)
		before := s.sent()
		for _, n := range s.nodes {
			want := size - inRegion
			if n.self.Location.Region == "ostrava" {
				want = inRegion
			}
			if len(n.members.Live()) != want {
				t.Errorf("during the cut %s sees %d members, want %d", n.self.ID, len(n.members.Live()), want)
			}
			if n.count(events.MemberLeft) > 0 {
				t.Errorf("%s took a member off because of the cut", n.self.ID)
			}
		}
		s.nodes[0].board.Publish(FactTargetDrain, "missed", nil, 0)
		s.run(length)
		perSecond := (s.sent() - before) / int(length/time.Second) / size
		t.Logf("%d members send %d B/s each during the cut", size, perSecond)
		if perSecond > 2048 {
			t.Errorf("%d members send %d B/s each during the cut", size, perSecond)
		}
		s.cut = func(_, _ model.Location) bool { return false }
		s.changed()
		checkSpread(t, "healing", s.spread(patience, func(n *simNode) bool { return len(n.members.Live()) == size }))
		s.run(5 * time.Second)
		for _, n := range s.nodes {
			if _, ok := n.board.Lookup(FactTargetDrain, "missed"); !ok {
				t.Errorf("%s has not caught up", n.self.ID)
			}
		}
	}
}

func TestLossOfAFailureDomainIsKnownToAll(t *testing.T) { loseDomain(t, 60) }

// TestLossOfALargeFailureDomainIsKnownToAll loses a sixth of a large fleet.
func TestLossOfALargeFailureDomainIsKnownToAll(t *testing.T) { loseDomain(t, 500) }

func loseDomain(t *testing.T, size int) {
	s := newSim(size, 11)
	lost := 0
	for _, n := range s.nodes {
		if n.self.Location.FailureDomain == "brno-a" {
			n.up = false
			lost++
		}
	}
	s.changed()
	checkSpread(t, "loss of a failure domain", s.spread(patience, func(n *simNode) bool { return len(n.members.Live()) == size-lost }))
}

// TestForgetsTheDead checks that replaced instances leave nothing behind.
func TestForgetsTheDead(t *testing.T) {
	s := newColdSim(1, 1)
	n := s.nodes[0]
	n.start()
	for i := range 100 {
		m := Member{ID: model.InstanceID(fmt.Sprint("praha-a-gone-", i)), Location: n.self.Location}
		n.board.Merge(Fact{
			Kind: FactMember, Key: string(m.ID), Origin: m.ID, Stamp: n.board.clock.Now(),
			Expires: s.now.Add(tombstoneLife).UnixMilli(), Value: m.value(MemberLeft),
		})
	}
	if got := len(n.engine.others); got != 100 {
		t.Errorf("%d of 100 tombstones are known", got)
	}
	s.now = s.now.Add(tombstoneLife)
	n.engine.Tick()
	if others, facts := len(n.engine.others), n.board.Len(); others != 0 || facts != 1 {
		t.Errorf("%d instances and %d facts are remembered", others, facts)
	}
}
