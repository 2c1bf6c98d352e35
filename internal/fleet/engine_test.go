package fleet

import (
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/limit"
)

const (
	// p99Limit is the time within which a fact must reach 99% of the instances.
	p99Limit = 2 * time.Second
	// maxLimit is the time within which a fact must reach all instances.
	maxLimit = 5 * time.Second
	// propagationLimit is how long tests wait for a fact to reach all instances.
	propagationLimit = 20 * time.Second
)

// checkPropagation fails the test if the 99th percentile of the sorted times exceeds
// p99Limit or the maximum exceeds maxLimit.
func checkPropagation(t *testing.T, what string, took []time.Duration) {
	t.Helper()
	most := took[(len(took)*99+99)/100-1]
	all := took[len(took)-1]
	t.Logf("%s: first %v, 99%% %v, all %v", what, took[0], most, all)
	if most > p99Limit || all > maxLimit {
		t.Errorf("%s reached 99%% of the instances after %v, all after %v", what, most, all)
	}
}

func TestFactsPropagateInTime(t *testing.T) {
	for _, size := range []int{17, largeFleet} {
		s := newSim(size, 7)
		for _, n := range s.nodes {
			if len(n.members.Live()) != size {
				t.Fatalf("%s sees %d of %d", n.self.ID, len(n.members.Live()), size)
			}
		}
		mean, worst := s.rate(30 * time.Second)
		t.Logf("%d members send %d B/s each on average, %d B/s at most", size, mean, worst)
		if worst > limit.DefaultControlBytesPerSecond {
			t.Errorf("in a fleet of %d, a member sends %d B/s, which exceeds the budget", size, worst)
		}
		s.nodes[1].replica.Publish(FactTargetDrain, "nahled-3", nil, time.Minute)
		checkPropagation(t, "drain", s.propagation(propagationLimit, func(n *simNode) bool {
			_, ok := n.replica.Lookup(FactTargetDrain, "nahled-3")
			return ok
		}))
		s.nodes[5].hold(ReplicaVersions{Config: 2})
		checkPropagation(t, "configuration", s.propagation(propagationLimit, func(n *simNode) bool { return n.held.Config == 2 }))
		dead := s.nodes[2]
		s.kill(dead)
		checkPropagation(t, "death", s.propagation(propagationLimit, func(n *simNode) bool { return !n.sees(dead.self.ID) }))
		leavingNode := s.nodes[3]
		s.leave(leavingNode)
		checkPropagation(t, "leave", s.propagation(propagationLimit, func(n *simNode) bool { return n.seesLeaving(leavingNode.self.ID) }))
	}
}

// sent returns the number of bytes that all instances have sent.
func (s *sim) sent() int {
	total := 0
	for _, n := range s.nodes {
		total += n.sent
	}
	return total
}
