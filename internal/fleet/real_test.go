package fleet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

// realNode is an engine that uses a real peer.Transport.
type realNode struct {
	*Engine
	transport *peer.Transport
	members   *Members
	budget    *limit.ControlBudget
}

func newRealNode(b *testing.B, i int, ca keys.KeyPair) *realNode {
	at := simDomains[i%len(simDomains)]
	id := model.InstanceID(fmt.Sprintf("%s-%d", at.FailureDomain, i))
	pair, err := keys.NewInstanceCert(ca, id, time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	credentials, err := keys.NewCredentials(ca.Cert, pair, time.Now)
	if err != nil {
		b.Fatal(err)
	}
	n := &realNode{budget: limit.NewControlBudget(limit.DefaultControlBytesPerSecond, time.Now)}
	n.transport, err = peer.Listen(peer.Options{
		Listen: net.JoinHostPort(standin.LoopbackIP(160+i), "0"), Credentials: credentials, Handler: n,
		Recorder: events.Discard, OnSend: n.budget.Charge, MaxLinks: 64,
	})
	if err != nil {
		b.Fatal(err)
	}
	self := Member{ID: id, Location: at, PeerAddr: n.transport.Addr()}
	n.members = NewMembers(self)
	n.Engine = NewEngine(Options{
		Self: self, Facts: NewFactReplica(id, events.NewClock(time.Now), time.Now), Members: n.members,
		Transport: n.transport, Budget: n.budget, Recorder: events.Discard, Now: time.Now,
		Rand: rand.New(rand.NewPCG(uint64(i), 3)),
	})
	return n
}

// run starts the node and ticks its engine until the benchmark ends.
func (n *realNode) run(b *testing.B) {
	n.transport.Start()
	n.Start(nil)
	ticker := time.NewTicker(TickInterval)
	b.Cleanup(func() {
		ticker.Stop()
		n.transport.Stop()
	})
	go func() {
		for range ticker.C {
			n.Tick()
		}
	}()
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRealFleet runs 17 members with real connections over loopback and reports
// traffic and resources per member, for comparison with the simulation.
func BenchmarkRealFleet(b *testing.B) {
	const size = 17
	const settle, measured = 15 * time.Second, 30 * time.Second
	ca, err := keys.NewCA("vltava", time.Now(), time.Hour)
	if err != nil {
		b.Fatal(err)
	}
	before := heapBytes()
	var nodes []*realNode
	var list []store.Instance
	for i := range size {
		n := newRealNode(b, i, ca)
		nodes = append(nodes, n)
		self := n.members.Live()[0]
		list = append(list, store.Instance{ID: self.ID, Location: self.Location, PeerAddr: self.PeerAddr})
	}
	for _, n := range nodes {
		n.SetPlatformList(list)
		n.run(b)
	}
	time.Sleep(settle)
	for b.Loop() {
		spent, cpu := uint64(0), processorTime()
		for _, n := range nodes {
			bytes, _ := n.budget.Usage()
			spent -= bytes
			if len(n.members.Live()) != size {
				b.Errorf("%s sees %d members", n.o.Self.ID, len(n.members.Live()))
			}
		}
		time.Sleep(measured)
		for _, n := range nodes {
			bytes, _ := n.budget.Usage()
			spent += bytes
		}
		b.ReportMetric(float64(spent)/size/measured.Seconds(), "B/s/member")
		b.ReportMetric(float64(processorTime()-cpu)/size/float64(measured)*100, "%core/member")
		b.ReportMetric(float64(heapBytes()-before)/size/1024, "KiB/member")
		b.ReportMetric(float64(runtime.NumGoroutine())/size, "goroutines/member")
	}
}
