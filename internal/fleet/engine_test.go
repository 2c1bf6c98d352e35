package fleet

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
)

const (
	mostKnow = 2 * time.Second
	allKnow  = 5 * time.Second
	patience = 20 * time.Second
)

// checkSpread fails if fewer than 99 in 100 know within mostKnow or any is
// later than allKnow.
func checkSpread(t *testing.T, what string, took []time.Duration) {
	t.Helper()
	most := took[(len(took)*99+99)/100-1]
	all := took[len(took)-1]
	t.Logf("%s: first %v, 99 in 100 %v, all %v", what, took[0], most, all)
	if most > mostKnow || all > allKnow {
		t.Errorf("%s: 99 in 100 knew after %v, all after %v", what, most, all)
	}
}

func TestNewsSpreadsInTime(t *testing.T) {
	for _, size := range []int{17, largeFleet} {
		s := newSim(size, 7)
		for _, n := range s.nodes {
			if len(n.members.Live()) != size {
				t.Fatalf("%s sees %d of %d", n.self.ID, len(n.members.Live()), size)
			}
		}
		mean, worst := s.rate(30 * time.Second)
		t.Logf("%d members: %d B/s each, the busiest %d B/s", size, mean, worst)
		if worst > limit.DefaultControlBytesPerSecond {
			t.Errorf("one of %d members sends %d B/s", size, worst)
		}
		s.nodes[1].board.Publish(FactTargetDrain, "nahled-3", nil, time.Minute)
		checkSpread(t, "drain", s.spread(patience, func(n *simNode) bool {
			_, ok := n.board.Lookup(FactTargetDrain, "nahled-3")
			return ok
		}))
		s.nodes[5].hold(Holdings{Config: 2})
		checkSpread(t, "configuration", s.spread(patience, func(n *simNode) bool { return n.held.Config == 2 }))
		dead := s.nodes[2]
		s.kill(dead)
		checkSpread(t, "death", s.spread(patience, func(n *simNode) bool { return !n.sees(dead.self.ID) }))
		leaver := s.nodes[3]
		s.leave(leaver)
		checkSpread(t, "leave", s.spread(patience, func(n *simNode) bool { return n.seesLeaving(leaver.self.ID) }))
	}
}

func (s *sim) sent() int {
	total := 0
	for _, n := range s.nodes {
		total += n.sent
	}
	return total
}
