package health

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

const (
	testService = model.ServiceName("nahled")
	// propagationDelay is how long a fact takes to reach the other instances.
	propagationDelay = 500 * time.Millisecond
	// workTime is how long a target takes to process a request.
	workTime = 25 * time.Millisecond
	// rejectTime is how long a target takes to reject a request.
	rejectTime = time.Millisecond
)

var praha = model.Location{Region: "praha", FailureDomain: "praha-a"}

// fakeTarget is the behaviour of a target in a test, with counts of what it received.
type fakeTarget struct {
	outcome  Outcome
	draining bool
	endpoint ProbeResult
	received int
	probes   int
}

// testInstance is an instance with its own fact replica.
type testInstance struct {
	fleet         *testFleet
	facts         *fleet.FactReplica
	routing       *routing.Table
	picker        routing.Picker
	table         *Table
	checker       *Checker
	controlBudget *limit.ControlBudget
}

// testFleet is a set of instances with connected fact replicas.
type testFleet struct {
	instances []*testInstance

	mu      sync.Mutex
	targets map[model.TargetID]*fakeTarget
}

// newTestFleet runs instances, with targets of one service, until the test ends.
func newTestFleet(t *testing.T, instances, targets int) *testFleet {
	f := &testFleet{targets: make(map[model.TargetID]*fakeTarget)}
	var members []fleet.Member
	for i := range instances {
		members = append(members, fleet.Member{ID: model.InstanceID(fmt.Sprintf("i%d", i)), Location: praha})
	}
	for _, m := range members {
		f.instances = append(f.instances, f.start(t, m, members))
	}
	f.connect()
	f.listTargets(targets)
	return f
}

func (f *testFleet) start(t *testing.T, self fleet.Member, members []fleet.Member) *testInstance {
	in := &testInstance{fleet: f, routing: routing.NewInstanceTable(self.ID, praha)}
	in.facts = fleet.NewFactReplica(self.ID, events.NewClock(time.Now), time.Now)
	in.controlBudget = limit.NewControlBudget(limit.DefaultControlBytesPerSecond, time.Now)
	in.picker = routing.NewCostPicker(in.routing, routing.Monotonic)
	in.table = NewTable(Options{
		Self: self.ID, Routing: in.routing, Facts: in.facts,
		ControlBudget: in.controlBudget, Recorder: events.Discard, Now: time.Now,
	})
	list := fleet.NewMembers(self)
	list.Set(members)
	in.checker = &Checker{Table: in.table, Prober: f, Members: list, ControlBudget: in.controlBudget, Location: praha}
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { in.table.Run(ctx) })
	loops.Go(func() { in.checker.Run(ctx) })
	t.Cleanup(func() { cancel(); loops.Wait() })
	return in
}

// connect delivers every fact to the other instances after propagationDelay.
func (f *testFleet) connect() {
	for _, from := range f.instances {
		for _, kind := range []fleet.FactKind{fleet.FactTargetHealth, fleet.FactTargetDrain} {
			from.facts.Subscribe(kind, func(fact fleet.Fact) {
				time.AfterFunc(propagationDelay, func() {
					for _, to := range f.instances {
						to.facts.Merge(fact)
					}
				})
			})
		}
	}
}

// listTargets sets the target list of every instance to the first n targets, creating
// missing ones.
func (f *testFleet) listTargets(n int) {
	var list []model.Target
	f.mu.Lock()
	for i := range n {
		id := targetID(i)
		if f.targets[id] == nil {
			f.targets[id] = new(fakeTarget)
		}
		list = append(list, model.Target{ID: id, Service: testService, Location: praha, Slots: 2, MaxConns: 240})
	}
	f.mu.Unlock()
	for _, in := range f.instances {
		in.routing.SetTargets(testService, list)
	}
	time.Sleep(2 * tickInterval)
}

func targetID(i int) model.TargetID { return model.TargetID(fmt.Sprintf("t%d", i)) }

// set changes the behaviour of target i.
func (f *testFleet) set(i int, change func(*fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.targets[targetID(i)])
}

func (f *testFleet) received(i int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets[targetID(i)].received
}

// Probe implements Prober.
func (f *testFleet) Probe(_ context.Context, target model.Target) ProbeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets[target.ID].probes++
	return f.targets[target.ID].endpoint
}

func (f *testFleet) probes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, target := range f.targets {
		n += target.probes
	}
	return n
}

// send sends one request and returns its target. It waits while every target is full.
func (in *testInstance) send(t *testing.T, class model.Class) model.TargetID {
	t.Helper()
	e, err := in.picker.Pick(routing.Request{Service: testService, Class: class})
	var saturated *routing.SaturatedError
	for errors.As(err, &saturated) {
		time.Sleep(routing.SaturatedRetryInterval)
		e, err = in.picker.Pick(routing.Request{Service: testService, Class: class})
	}
	if err != nil {
		t.Fatalf("pick: %v", err)
	}
	e.Load.Begin()
	o, work := in.fleet.receive(e)
	time.AfterFunc(work, func() {
		in.table.Observe(o)
		e.Load.End()
	})
	return e.Target.ID
}

// receive processes a request at its target. It returns the observation and how long
// the exchange takes.
func (f *testFleet) receive(e *routing.Endpoint) (Observation, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.targets[e.Target.ID]
	target.received++
	work := workTime
	if target.outcome != Answered {
		work = rejectTime
	}
	return Observation{Endpoint: e, Outcome: target.outcome, Draining: target.draining}, work
}

// sendMany sends n requests at intervals shorter than workTime.
func (in *testInstance) sendMany(t *testing.T, class model.Class, n int) {
	t.Helper()
	for range n {
		in.send(t, class)
		time.Sleep(2 * rejectTime)
	}
	time.Sleep(workTime)
}

// sendFromEach sends one request from every instance, n times, with a pause after each
// time.
func (f *testFleet) sendFromEach(t *testing.T, class model.Class, n int, pause time.Duration) {
	t.Helper()
	for range n {
		for _, in := range f.instances {
			in.send(t, class)
		}
		time.Sleep(pause)
	}
}

func (in *testInstance) state(i int) routing.TargetState {
	for _, e := range in.routing.Snapshot().Pool(testService).Endpoints {
		if e.Target.ID == targetID(i) {
			return e.State
		}
	}
	return routing.Draining
}

func (f *testFleet) wantState(t *testing.T, i int, want routing.TargetState) {
	t.Helper()
	for n, in := range f.instances {
		if got := in.state(i); got != want {
			t.Errorf("target %d is %s at instance %d, want %s", i, got, n, want)
		}
	}
}

// inVirtualTime runs a test in a synctest bubble.
func inVirtualTime(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}
