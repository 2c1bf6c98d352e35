package fleet

import (
	"fmt"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

// checkMembers fails the test unless every running instance sees exactly want live
// members.
func (s *sim) checkMembers(t *testing.T, when string, want int) {
	t.Helper()
	for _, n := range s.nodes {
		if n.up && !n.paused && len(n.members.Live()) != want {
			t.Errorf("%s: %s sees %d members, want %d", when, n.self.ID, len(n.members.Live()), want)
		}
	}
}

// count returns the number of events of a kind that the instance has recorded.
func (n *simNode) count(kind events.Kind) int {
	count := 0
	for _, e := range n.events.Snapshot() {
		if e.Kind == kind {
			count++
		}
	}
	return count
}

func TestJoinReachesAllMembers(t *testing.T) {
	s := newColdSim(17, 3)
	s.startAll()
	s.run(30 * time.Second)
	s.checkMembers(t, "cold start", 17)
	joiningNode := s.add(17)
	s.distributeList()
	joiningNode.start()
	checkPropagation(t, "join", s.propagation(propagationLimit, func(n *simNode) bool { return n.sees(joiningNode.self.ID) }))
	if len(joiningNode.members.Live()) != 18 {
		t.Errorf("the new instance sees %d members", len(joiningNode.members.Live()))
	}
}

func TestPacketLossEvictsNoMember(t *testing.T) {
	s := newSim(17, 4)
	s.loss = 0.1
	s.run(3 * time.Minute)
	s.checkMembers(t, "under loss", 17)
	for _, n := range s.nodes {
		if n.count(events.MemberLeft) > 0 {
			t.Errorf("%s removed a member", n.self.ID)
		}
	}
}

// TestResumedInstanceSuspectsNoMember pauses an instance until the others remove it. After
// it resumes, it must become a member again, must not remove members because its own
// links timed out, and must not restore facts that were superseded meanwhile.
func TestResumedInstanceSuspectsNoMember(t *testing.T) {
	for _, pause := range []time.Duration{5 * time.Second, staleStatePause + time.Minute} {
		s := newSim(17, 5)
		pausedNode := s.nodes[4]
		s.nodes[0].replica.Publish(FactQuarantine, "q", []byte("old"), 0)
		s.run(5 * time.Second)
		s.pause(pausedNode)
		s.run(pause / 2)
		s.checkMembers(t, "while one is paused", 16)
		s.nodes[0].replica.Publish(FactQuarantine, "q", []byte("new"), 0)
		s.run(pause / 2)
		s.resume(pausedNode)
		s.run(10 * time.Second)
		s.checkMembers(t, "after it resumed", 17)
		for _, n := range s.nodes {
			if f, _ := n.replica.Lookup(FactQuarantine, "q"); string(f.Value) != "new" {
				t.Errorf("%s has the %q fact, want the new one", n.self.ID, f.Value)
			}
			if left := n.count(events.MemberLeft); n != pausedNode && left != 1 {
				t.Errorf("%s removed %d members, want 1", n.self.ID, left)
			}
		}
		if pausedNode.count(events.MemberLeft) > 0 {
			t.Error("the resumed instance removed members")
		}
	}
}

// TestRegionPartitionHeals partitions one region from the others. Each side must keep its
// own members, and the member lists must be complete within seconds after the
// partition ends. The long partition is tested with 17 instances, the usual fleet size.
func TestRegionPartitionHeals(t *testing.T) {
	for size, length := range map[int]time.Duration{17: longPartition, 60: time.Minute} {
		s := newSim(size, 6)
		inRegion := 0
		for _, n := range s.nodes {
			if n.self.Location.Region == "ostrava" {
				inRegion++
			}
		}
		s.partitioned = func(a, b model.Location) bool { return (a.Region == "ostrava") != (b.Region == "ostrava") }
		s.updateLinks()
		s.run(10 * time.Second)
		before := s.sent()
		for _, n := range s.nodes {
			want := size - inRegion
			if n.self.Location.Region == "ostrava" {
				want = inRegion
			}
			if len(n.members.Live()) != want {
				t.Errorf("during the partition %s sees %d members, want %d", n.self.ID, len(n.members.Live()), want)
			}
			if n.count(events.MemberLeft) > 0 {
				t.Errorf("%s removed a member because of the partition", n.self.ID)
			}
		}
		s.nodes[0].replica.Publish(FactTargetDrain, "missed", nil, 0)
		s.run(length)
		perSecond := (s.sent() - before) / int(length/time.Second) / size
		t.Logf("%d members send %d B/s each during the partition", size, perSecond)
		if perSecond > 2048 {
			t.Errorf("%d members send %d B/s each during the partition", size, perSecond)
		}
		s.partitioned = func(_, _ model.Location) bool { return false }
		s.updateLinks()
		checkPropagation(t, "healing", s.propagation(propagationLimit, func(n *simNode) bool { return len(n.members.Live()) == size }))
		s.run(5 * time.Second)
		for _, n := range s.nodes {
			if _, ok := n.replica.Lookup(FactTargetDrain, "missed"); !ok {
				t.Errorf("%s has not received the fact published during the partition", n.self.ID)
			}
		}
	}
}

func TestFailureDomainLossReachesAllMembers(t *testing.T) { testDomainLoss(t, 60) }

// TestLargeFailureDomainLossReachesAllMembers stops a sixth of a large fleet at once.
func TestLargeFailureDomainLossReachesAllMembers(t *testing.T) { testDomainLoss(t, 500) }

// testDomainLoss stops all instances of a failure domain at once and checks that the
// others remove them in time.
func testDomainLoss(t *testing.T, size int) {
	s := newSim(size, 11)
	lost := 0
	for _, n := range s.nodes {
		if n.self.Location.FailureDomain == "brno-a" {
			n.up = false
			lost++
		}
	}
	s.updateLinks()
	checkPropagation(t, "loss of a failure domain", s.propagation(propagationLimit, func(n *simNode) bool { return len(n.members.Live()) == size-lost }))
}

// TestDeletesDeadMembers checks that the records and facts of instances that have left
// are deleted after tombstoneTTL, so that replaced instances don't leak memory.
func TestDeletesDeadMembers(t *testing.T) {
	s := newColdSim(1, 1)
	n := s.nodes[0]
	n.start()
	for i := range 100 {
		m := Member{ID: model.InstanceID(fmt.Sprint("praha-a-gone-", i)), Location: n.self.Location}
		n.replica.Merge(Fact{
			Kind: FactMember, Key: string(m.ID), Origin: m.ID, Stamp: n.replica.clock.Now(),
			Expires: s.now.Add(tombstoneTTL).UnixMilli(), Value: m.encodedValue(MemberLeft),
		})
	}
	if got := len(n.engine.peers); got != 100 {
		t.Errorf("%d of 100 members that left are known", got)
	}
	s.now = s.now.Add(tombstoneTTL)
	n.engine.Tick()
	if others, facts := len(n.engine.peers), n.replica.Len(); others != 0 || facts != 1 {
		t.Errorf("%d instances and %d facts are left, want 0 and 1", others, facts)
	}
}
