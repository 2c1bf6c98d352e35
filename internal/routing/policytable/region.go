package policytable

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// Scenario is what happens to the targets during a run.
type Scenario struct {
	Name string
	// Straggling makes targets slow for a while, one after another.
	Straggling bool
	// Rejecting makes the first target refuse everything at once.
	Rejecting bool
	// Draining makes half the targets leave in the middle of the run. The load is
	// relative to what remains.
	Draining bool
}

// Size is the part of one service that lies in one region.
type Size struct {
	Name    string
	Targets int
	Slots   int
}

// Hedge says whether a second request is sent and how long it takes.
type Hedge uint8

const (
	// Unhedged sends none.
	Unhedged Hedge = iota
	// HedgeFresh draws a service time of its own for the hedge.
	HedgeFresh
	// HedgeCarried gives the hedge the service time of the request.
	HedgeCarried
)

// Run is one cell of the table.
type Run struct {
	Size     Size
	Scenario Scenario
	Policy   Policy
	Hedge    Hedge
	Class    model.Class
	Load     float64
	Seed     uint64
	Requests int
}

const (
	instancesPerRegion = 6
	service            = model.ServiceName("s")
	sameDomainDelay    = 100 * time.Microsecond
	otherDomainDelay   = 500 * time.Microsecond
	hedgeQuantile      = 0.90
	hedgeBudget        = 0.1
	hedgeBurst         = 30
	latencyWindow      = 1024
	noteInterval       = 64
	retryDelay         = routing.AskAgain
	tickInterval       = 250 * time.Millisecond
	spreadDelay        = 300 * time.Millisecond
	reportLifetime     = 60 * time.Millisecond
)

// region is one run: targets, entry instances and their requests.
type region struct {
	loop
	run Run
	// rand draws the callers' requests, the same ones for every policy; choice
	// draws everything else.
	rand, choice *rand.Rand

	servers   map[model.TargetID]*server
	list      []model.Target
	instances []*instance
	latencies []time.Duration
	// gap is the mean time between two requests of the region.
	gap  time.Duration
	over bool
}

// instance is one entry instance.
type instance struct {
	region  *region
	id      model.InstanceID
	table   *routing.Table
	picker  routing.Picker
	domain  int
	queue   []*request
	recent  []time.Duration
	seen    int
	hedges  float64
	delay   time.Duration
	reports map[model.TargetID]report
	waking  bool
	health  *health.Table
	board   *fleet.FactReplica
	// tell takes the hints of the other instances in.
	tell func()
}

// report is what a target said of its load.
type report struct {
	held int
	at   time.Duration
}

// request is one request with at most two exchanges.
type request struct {
	arrived  time.Duration
	work     time.Duration
	since    time.Duration
	tried    []model.TargetID
	attempts []attempt
	done     bool
	// counts is set once the first tenth of the run, the warm-up, is over.
	counts bool
	hedge  bool
}

type attempt struct {
	endpoint *routing.Endpoint
	server   *server
	job      *job
}

// P99 runs one cell and returns the 99th percentile of the latency.
func P99(run Run) time.Duration {
	r := newRegion(run)
	r.arrivals()
	r.drain()
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

func newRegion(run Run) *region {
	r := &region{run: run, rand: rand.New(rand.NewPCG(run.Seed, 1)), choice: rand.New(rand.NewPCG(run.Seed, 2)), servers: make(map[model.TargetID]*server)}
	for i := range run.Size.Targets {
		id := model.TargetID(fmt.Sprintf("t%d", i))
		r.list = append(r.list, model.Target{ID: id, Service: service, Location: location(i % 2), Slots: run.Size.Slots, MaxConns: 240})
		r.servers[id] = &server{
			loop:      &r.loop,
			rand:      rand.New(rand.NewPCG(run.Seed, uint64(100+i))),
			slots:     run.Size.Slots,
			straggles: run.Scenario.Straggling,
			rejects:   run.Scenario.Rejecting && i == 0,
		}
	}
	for i := range instancesPerRegion {
		r.instances = append(r.instances, r.newInstance(i))
	}
	return r
}

func location(domain int) model.Location {
	return model.Location{Region: "r", FailureDomain: model.FailureDomain(rune('a' + domain))}
}

func (r *region) newInstance(i int) *instance {
	in := &instance{region: r, id: model.InstanceID(fmt.Sprintf("i%d", i)), domain: i % 2, hedges: hedgeBurst, delay: time.Second, reports: make(map[model.TargetID]report)}
	in.table = routing.NewInstanceTable(in.id, location(in.domain))
	in.table.SetPlace(in.place(i))
	in.table.SetTargets(service, r.list)
	in.watch()
	in.picker = r.run.Policy.New(in)
	return in
}

func (in *instance) place(i int) routing.Place {
	return routing.Place{Index: i, Instances: instancesPerRegion, DomainIndex: i / 2, DomainInstances: instancesPerRegion / 2}
}

// watch gives an instance package health, whose facts reach the others after spreadDelay.
func (in *instance) watch() {
	if in.region.run.Policy.NoHealth {
		return
	}
	now := func() time.Time { return time.Unix(0, 0).Add(in.region.now) }
	in.board = fleet.NewFactReplica(in.id, events.NewClock(now), now)
	in.health = health.NewTable(health.Options{
		Self: in.id, Routing: in.table, Board: in.board, Recorder: events.Discard, Now: now,
		Measuring: limit.NewMeasuring(limit.MeasuringBytesPerSecond, now),
	})
	for _, kind := range []fleet.FactKind{fleet.FactTargetHealth, fleet.FactTargetDrain} {
		in.board.Subscribe(kind, func(f fleet.Fact) {
			in.region.after(spreadDelay, func() { in.region.spread(f) })
		})
	}
	in.health.Tick()
}

func (r *region) spread(f fleet.Fact) {
	for _, in := range r.instances {
		in.board.Merge(f)
	}
}

func (in *instance) inFlight(id model.TargetID) int {
	for _, e := range in.table.Snapshot().Pool(service).Endpoints {
		if e.Target.ID == id {
			return e.Load.InFlight()
		}
	}
	return 0
}

// arrivals starts the callers' requests.
func (r *region) arrivals() {
	slots := r.run.Size.Targets * r.run.Size.Slots
	if r.run.Scenario.Draining || r.run.Scenario.Rejecting {
		slots = r.left() * r.run.Size.Slots
	}
	r.gap = time.Duration(float64(meanService) / (r.run.Load * float64(slots)))
	r.after(0, func() { r.arrive(0) })
	r.after(tickInterval, r.tick)
}

// arrive brings the n-th request and schedules the next.
func (r *region) arrive(n int) {
	if r.run.Scenario.Draining && n == r.run.Requests/2 {
		r.drainHalf()
	}
	if n == r.run.Requests {
		r.over = true
		return
	}
	in := r.instances[r.rand.IntN(len(r.instances))]
	in.receive(&request{arrived: r.now, work: exponential(r.rand, meanService), counts: n >= r.run.Requests/10})
	r.after(exponential(r.rand, r.gap), func() { r.arrive(n + 1) })
}

// tick does what instances do now and then.
func (r *region) tick() {
	for _, in := range r.instances {
		if in.health != nil {
			in.health.Tick()
		}
		if in.tell != nil {
			in.tell()
		}
	}
	if !r.over {
		r.after(tickInterval, r.tick)
	}
}

// left returns the number of targets that stay in use.
func (r *region) left() int {
	if r.run.Scenario.Draining {
		return r.run.Size.Targets - r.run.Size.Targets/2
	}
	return r.run.Size.Targets - 1
}

func (r *region) drainHalf() {
	for _, target := range r.list[:r.run.Size.Targets/2] {
		r.servers[target.ID].draining = true
	}
	for _, in := range r.instances {
		if in.health == nil {
			r.after(time.Second, in.leave)
		}
	}
}

// leave takes the drains from the platform's list.
func (in *instance) leave() {
	for _, target := range in.region.list[:in.region.run.Size.Targets/2] {
		in.table.SetStanding(service, target.ID, routing.Draining)
	}
}

func (in *instance) receive(q *request) {
	q.since = in.region.now
	in.hedges = min(hedgeBurst, in.hedges+hedgeBudget)
	if len(in.queue) > 0 || !in.try(q) {
		in.queue = append(in.queue, q)
		in.wake()
	}
	if in.region.run.Hedge != Unhedged {
		in.region.after(in.delay, func() { in.sendHedge(q) })
	}
}

// wake asks again for the queued requests later.
func (in *instance) wake() {
	if in.waking {
		return
	}
	in.waking = true
	in.region.after(retryDelay, func() {
		in.waking = false
		in.advance()
	})
}

func (in *instance) advance() {
	for len(in.queue) > 0 {
		if q := in.queue[0]; !q.done && !in.try(q) {
			in.wake()
			return
		}
		in.queue = in.queue[1:]
	}
}

// try sends a request to a target; it reports false if every target is full.
func (in *instance) try(q *request) bool {
	e, err := in.picker.Pick(routing.Request{Service: service, Class: in.region.run.Class, Exclude: q.tried, Waited: in.region.now - q.arrived})
	var saturated *routing.SaturatedError
	if errors.As(err, &saturated) {
		return false
	}
	if err != nil {
		q.tried = nil
		return false
	}
	in.send(q, e)
	return true
}

func (in *instance) send(q *request, e *routing.Endpoint) {
	r := in.region
	s := r.servers[e.Target.ID]
	work := q.work
	if len(q.attempts) > 0 && r.run.Hedge == HedgeFresh {
		work = exponential(r.choice, meanService)
	}
	q.tried = append(q.tried, e.Target.ID)
	a := attempt{endpoint: e, server: s, job: &job{work: work}}
	q.attempts = append(q.attempts, a)
	delay := in.delayTo(e)
	a.job.answer = func(rejected bool, held int) {
		s.expected--
		r.after(delay, func() { in.answered(q, a, rejected, held) })
	}
	e.Load.BeginAt(r.now)
	s.expected++
	r.after(delay, func() { s.arrive(a.job) })
}

func (in *instance) delayTo(e *routing.Endpoint) time.Duration {
	if e.Distance == model.SameDomain {
		return sameDomainDelay
	}
	return otherDomainDelay
}

func (in *instance) answered(q *request, a attempt, rejected bool, held int) {
	if a.job.cancelled {
		return
	}
	a.job.cancelled = true
	a.endpoint.Load.ReportAt(held, in.region.now)
	a.endpoint.Load.EndAt(in.region.now)
	in.reports[a.endpoint.Target.ID] = report{held: held, at: in.region.now}
	in.learn(a, rejected)
	switch {
	case rejected && !q.done:
		in.queue = append([]*request{q}, in.queue...)
	case !q.done:
		in.complete(q)
	}
	in.advance()
}

// learn tells package health how an exchange ended.
func (in *instance) learn(a attempt, rejected bool) {
	if in.health == nil {
		return
	}
	outcome := health.Answered
	if rejected {
		outcome = health.Shed
	}
	in.health.Observe(health.Observation{Endpoint: a.endpoint, Outcome: outcome, Draining: a.server.draining})
	in.health.Settle()
}

func (in *instance) complete(q *request) {
	q.done = true
	in.note(in.region.now - q.since)
	if q.counts {
		in.region.latencies = append(in.region.latencies, in.region.now-q.arrived)
	}
	for _, a := range q.attempts {
		if a.job.cancelled {
			continue
		}
		a.job.cancelled = true
		a.endpoint.Load.EndAt(in.region.now)
		in.region.after(in.delayTo(a.endpoint), func() { a.server.abandon(a.job) })
	}
}

// note keeps recent latencies for the hedge's delay.
func (in *instance) note(latency time.Duration) {
	if len(in.recent) < latencyWindow {
		in.recent = append(in.recent, latency)
	} else {
		in.recent[in.seen%latencyWindow] = latency
	}
	in.seen++
	if in.seen%noteInterval == 0 {
		sorted := slices.Sorted(slices.Values(in.recent))
		in.delay = sorted[int(float64(len(sorted))*hedgeQuantile)]
	}
}

// sendHedge sends a second exchange if the first has not been answered yet, no
// request waits for its first, and the budget allows it.
func (in *instance) sendHedge(q *request) {
	if q.done || q.hedge || len(q.attempts) == 0 || len(in.queue) > 0 || in.hedges < 1 {
		return
	}
	q.hedge = true
	if in.try(q) {
		in.hedges--
	}
}
