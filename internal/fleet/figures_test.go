package fleet

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// durations collects propagation times over several seeds.
type durations struct{ took []time.Duration }

func (d *durations) add(took []time.Duration) { d.took = append(d.took, took...) }

// String returns the minimum, median, 99th percentile and maximum.
func (d *durations) String() string {
	slices.Sort(d.took)
	at := func(share float64) time.Duration {
		return d.took[int(share*float64(len(d.took)-1))].Round(10 * time.Millisecond)
	}
	return fmt.Sprintf("first %v, half %v, 99%% %v, all %v", at(0), at(0.5), at(0.99), at(1))
}

// reportLimit is how long to wait until all instances know that all others have applied
// a revision.
const reportLimit = time.Minute

// BenchmarkFleetFigures prints the figures for the table in docs/design/fleet.md. Their
// limits are checked by TestFactsPropagateInTime.
func BenchmarkFleetFigures(b *testing.B) {
	for _, plan := range []struct{ size, seeds int }{{17, 2}, {100, 2}, {500, 1}} {
		b.Run(fmt.Sprint(plan.size), func(b *testing.B) {
			for b.Loop() {
				printFigures(plan.size, plan.seeds)
			}
		})
	}
}

// BenchmarkColdStart prints how long it takes until all instances know each other when
// a whole fleet starts at once.
func BenchmarkColdStart(b *testing.B) {
	for _, size := range []int{17, 100} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for b.Loop() {
				printColdStart(size)
			}
		})
	}
}

// printFigures prints the traffic, processor time and propagation times of a fleet.
func printFigures(size, seeds int) {
	var drain, death, leave, join, domain, configApplied, reports durations
	var mean, worst, change int
	var wall time.Duration
	for seed := range uint64(seeds) {
		s := newSim(size, 100+seed)
		began := time.Now()
		m, w := s.rate(time.Minute)
		wall += time.Since(began)
		mean += m / seeds
		worst = max(worst, w)
		s.nodes[1].replica.Publish(FactTargetDrain, "nahled-3", nil, time.Minute)
		drain.add(s.propagation(propagationLimit, func(n *simNode) bool { _, ok := n.replica.Lookup(FactTargetDrain, "nahled-3"); return ok }))
		dead := s.nodes[2]
		s.kill(dead)
		death.add(s.propagation(propagationLimit, func(n *simNode) bool { return !n.sees(dead.self.ID) }))
		s.run(20 * time.Second)
		leavingNode := s.nodes[3]
		s.leave(leavingNode)
		leave.add(s.propagation(propagationLimit, func(n *simNode) bool { return n.seesLeaving(leavingNode.self.ID) }))
		s.run(20 * time.Second)
		joiningNode := s.add(size)
		s.distributeList()
		joiningNode.start()
		join.add(s.propagation(propagationLimit, func(n *simNode) bool { return n.sees(joiningNode.self.ID) }))
		s.run(20 * time.Second)
		before, changed := s.sent(), s.now
		s.nodes[5].hold(ReplicaVersions{Config: 2})
		configApplied.add(s.propagation(propagationLimit, func(n *simNode) bool { return n.held.Config == 2 }))
		runningNodes := len(s.nodes) - 2
		reports.add(s.propagationIn(200*time.Millisecond, reportLimit, func(n *simNode) bool { return n.reportsOf(2) >= runningNodes }))
		change += ((s.sent()-before)/size - mean*int(s.now.Sub(changed)/time.Second)) / seeds
		s.run(30 * time.Second)
		for _, n := range s.nodes {
			if n.self.Location == (model.Location{Region: "brno", FailureDomain: "brno-a"}) {
				n.up = false
			}
		}
		s.updateLinks()
		left := 0
		for _, n := range s.nodes {
			if n.up {
				left++
			}
		}
		domain.add(s.propagation(propagationLimit, func(n *simNode) bool { return len(n.members.Live()) == left }))
	}
	fmt.Printf("%d members: %d B/s each, the busiest %d B/s; %.0f µs of processor time per member and second, simulation included\n",
		size, mean, worst, float64(wall.Microseconds())/float64(60*size*seeds))
	for _, row := range []struct {
		what string
		f    *durations
	}{{"drain", &drain}, {"death", &death}, {"leave", &leave}, {"join", &join}, {"configuration in force", &configApplied},
		{"reports of it known", &reports}, {"loss of a failure domain", &domain}} {
		fmt.Printf("  %-26s %v\n", row.what, row.f)
	}
	fmt.Printf("  bytes sent by a member for one change of the configuration: %d\n", change)
}

// rate runs the simulation for d and returns the mean and the maximum number of bytes
// per second that a member sends.
func (s *sim) rate(d time.Duration) (mean, worst int) {
	before := make(map[*simNode]int)
	for _, n := range s.nodes {
		before[n] = n.sent
	}
	s.run(d)
	seconds := int(d / time.Second)
	total := 0
	for _, n := range s.nodes {
		sent := n.sent - before[n]
		total += sent
		worst = max(worst, sent/seconds)
	}
	return total / seconds / len(s.nodes), worst
}

// printColdStart starts a whole fleet within a second. The instances know each other
// only from the platform's list.
func printColdStart(size int) {
	s := newColdSim(size, 9)
	s.startAll()
	took := s.propagationIn(200*time.Millisecond, 10*time.Minute, func(n *simNode) bool { return len(n.members.Live()) == size })
	f := durations{took}
	fmt.Printf("%d members start at once; all known: %v\n", size, &f)
}

// BenchmarkMergeFact measures merging one fact.
func BenchmarkMergeFact(b *testing.B) {
	n := newColdSim(1, 1).nodes[0]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n.replica.Merge(Fact{Kind: FactTargetHealth, Key: "target", Origin: "x", Stamp: n.replica.clock.Now(), Value: []byte{1}})
	}
}

// BenchmarkDatagram measures handling one datagram with one new fact at an instance
// with six links.
func BenchmarkDatagram(b *testing.B) {
	s := newSim(100, 1)
	n := s.nodes[0]
	from := n.engine.linkIDs()[0]
	b.ReportAllocs()
	for b.Loop() {
		fact := Fact{Kind: FactTargetHealth, Key: "target", Origin: "x", Stamp: n.replica.clock.Now(), Value: []byte{1}}
		n.engine.Datagram(from, encode(message{Facts: []Fact{fact}}))
		s.queue.events = s.queue.events[:0]
	}
}

// BenchmarkTick measures one tick of an instance in a fleet of 500.
func BenchmarkTick(b *testing.B) {
	s := newSim(500, 1)
	n := s.nodes[0]
	b.ReportAllocs()
	for b.Loop() {
		s.now = s.now.Add(TickInterval)
		n.engine.Tick()
		s.queue.events = s.queue.events[:0]
	}
}

// BenchmarkMemory reports the memory that an instance's fact store and engine use per
// member and per additional fact.
func BenchmarkMemory(b *testing.B) {
	const count = 10000
	for b.Loop() {
		n := newColdSim(1, 1).nodes[0]
		start := heapBytes()
		for i := range count {
			m := Member{ID: model.InstanceID(fmt.Sprintf("praha-a-%05d", i)), Location: simDomains[0], PeerAddr: fmt.Sprint("10.0.0.1:", i)}
			n.replica.Merge(Fact{Kind: FactMember, Key: string(m.ID), Stamp: 1, Origin: m.ID, Value: m.encodedValue(MemberAlive)})
		}
		members := heapBytes()
		for i := range count {
			n.replica.Merge(Fact{Kind: FactTargetHealth, Key: fmt.Sprintf("target-%05d", i), Stamp: 1, Origin: "x", Value: make([]byte, 20)})
		}
		b.ReportMetric(float64(members-start)/count, "B/member")
		b.ReportMetric(float64(heapBytes()-members)/count, "B/fact")
		runtime.KeepAlive(n)
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
