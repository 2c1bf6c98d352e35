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
	letters = model.ServiceName("nahled")
	// spreadDelay is the time in which a fact reaches the other instances.
	spreadDelay = 500 * time.Millisecond
	// workTime and rejectTime are how long targets take to run and to refuse.
	workTime   = 25 * time.Millisecond
	rejectTime = time.Millisecond
)

var praha = model.Location{Region: "praha", FailureDomain: "praha-a"}

// fakeTarget is how a target of a test behaves.
type fakeTarget struct {
	outcome  Outcome
	draining bool
	endpoint ProbeResult
	received int
	probes   int
}

// testInstance is one entry instance with its own board.
type testInstance struct {
	fleet     *testFleet
	board     *fleet.FactReplica
	routing   *routing.Table
	picker    routing.Picker
	table     *Table
	checker   *Checker
	measuring *limit.Measuring
}

// testFleet is several instances whose boards are connected, in virtual time.
type testFleet struct {
	instances []*testInstance

	mu      sync.Mutex
	targets map[model.TargetID]*fakeTarget
}

// newTestFleet runs instances over targets of one service until the test ends.
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
	f.list(targets)
	return f
}

func (f *testFleet) start(t *testing.T, self fleet.Member, members []fleet.Member) *testInstance {
	in := &testInstance{fleet: f, routing: routing.NewInstanceTable(self.ID, praha)}
	in.board = fleet.NewFactReplica(self.ID, events.NewClock(time.Now), time.Now)
	in.measuring = limit.NewMeasuring(limit.MeasuringBytesPerSecond, time.Now)
	in.picker = routing.NewCostPicker(in.routing, routing.Monotonic)
	in.table = NewTable(Options{
		Self: self.ID, Routing: in.routing, Board: in.board,
		Measuring: in.measuring, Recorder: events.Discard, Now: time.Now,
	})
	list := fleet.NewMembers(self)
	list.Set(members)
	in.checker = &Checker{Table: in.table, Prober: f, Members: list, Measuring: in.measuring, Location: praha}
	ctx, cancel := context.WithCancel(t.Context())
	var loops sync.WaitGroup
	loops.Go(func() { in.table.Run(ctx) })
	loops.Go(func() { in.checker.Run(ctx) })
	t.Cleanup(func() { cancel(); loops.Wait() })
	return in
}

// connect makes every fact reach the other instances after spreadDelay.
func (f *testFleet) connect() {
	for _, from := range f.instances {
		for _, kind := range []fleet.FactKind{fleet.FactTargetHealth, fleet.FactTargetDrain} {
			from.board.Subscribe(kind, func(fact fleet.Fact) {
				time.AfterFunc(spreadDelay, func() {
					for _, to := range f.instances {
						to.board.Merge(fact)
					}
				})
			})
		}
	}
}

// list makes the platform list the first n targets.
func (f *testFleet) list(n int) {
	var list []model.Target
	f.mu.Lock()
	for i := range n {
		id := targetID(i)
		if f.targets[id] == nil {
			f.targets[id] = new(fakeTarget)
		}
		list = append(list, model.Target{ID: id, Service: letters, Location: praha, Slots: 2, MaxConns: 240})
	}
	f.mu.Unlock()
	for _, in := range f.instances {
		in.routing.SetTargets(letters, list)
	}
	time.Sleep(2 * tickInterval)
}

func targetID(i int) model.TargetID { return model.TargetID(fmt.Sprintf("t%d", i)) }

// set changes the behaviour of a target.
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

// send sends one request and returns the target that it went to. It waits while
// every target is full.
func (in *testInstance) send(t *testing.T, class model.Class) model.TargetID {
	t.Helper()
	e, err := in.picker.Pick(routing.Request{Service: letters, Class: class})
	var saturated *routing.SaturatedError
	for errors.As(err, &saturated) {
		time.Sleep(routing.AskAgain)
		e, err = in.picker.Pick(routing.Request{Service: letters, Class: class})
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

// receive lets a target answer a request; one that runs it takes workTime.
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

// sendMany sends requests with a pause shorter than their work.
func (in *testInstance) sendMany(t *testing.T, class model.Class, n int) {
	t.Helper()
	for range n {
		in.send(t, class)
		time.Sleep(2 * rejectTime)
	}
	time.Sleep(workTime)
}

// sendEach sends one request from every instance, n times, with a pause between.
func (f *testFleet) sendEach(t *testing.T, class model.Class, n int, pause time.Duration) {
	t.Helper()
	for range n {
		for _, in := range f.instances {
			in.send(t, class)
		}
		time.Sleep(pause)
	}
}

func (in *testInstance) standing(i int) routing.Standing {
	for _, e := range in.routing.Snapshot().Pool(letters).Endpoints {
		if e.Target.ID == targetID(i) {
			return e.Standing
		}
	}
	return routing.Draining
}

func (f *testFleet) wantStanding(t *testing.T, i int, want routing.Standing) {
	t.Helper()
	for n, in := range f.instances {
		if got := in.standing(i); got != want {
			t.Errorf("target %d is %s at instance %d, want %s", i, got, n, want)
		}
	}
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}
