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

// Scenario describes the faults of the targets during a run.
type Scenario struct {
	Name string
	// Straggling makes every target slow at random times.
	Straggling bool
	// Rejecting makes the first target reject every request at once.
	Rejecting bool
	// Draining makes half the targets drain in the middle of the run. The load is
	// relative to the remaining targets.
	Draining bool
}

// Size is the part of one service in one region.
type Size struct {
	Name    string
	Targets int
	Slots   int
}

// Hedge tells whether requests are hedged and how long the hedge takes.
type Hedge uint8

const (
	// Unhedged sends no hedges.
	Unhedged Hedge = iota
	// HedgeNewServiceTime draws a new service time for the hedge.
	HedgeNewServiceTime
	// HedgeSameServiceTime uses the service time of the request for the hedge.
	HedgeSameServiceTime
)

// Run describes one simulation. Load is the busy fraction of the slots; Requests is
// the number of requests, warm-up included.
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
	// sameDomainDelay is the one-way network delay within a failure domain.
	sameDomainDelay = 100 * time.Microsecond
	// otherDomainDelay is the one-way network delay between failure domains.
	otherDomainDelay = 500 * time.Microsecond
	// hedgeQuantile is the quantile of the recent latencies after which a hedge is
	// sent.
	hedgeQuantile = 0.90
	// hedgeBudget is the number of hedges that each request adds to the budget.
	hedgeBudget = 0.1
	// hedgeBurst is the limit of the hedge budget.
	hedgeBurst = 30
	// latencyWindow is the number of recent latencies that the hedge delay is
	// calculated from.
	latencyWindow = 1024
	// delayUpdateInterval is the number of latencies after which the hedge delay is
	// calculated again.
	delayUpdateInterval = 64
	// retryDelay is the time between two attempts to send queued requests.
	retryDelay = routing.SaturatedRetryInterval
	// tickInterval is the time between two ticks of package health and of the hints.
	tickInterval = 250 * time.Millisecond
	// propagationDelay is how long a fact takes to reach the other instances.
	propagationDelay = 300 * time.Millisecond
	// maxReportAge is the age at which decayedReport ignores a report.
	maxReportAge = 60 * time.Millisecond
)

// region is the state of one run: targets, entry instances and their requests.
type region struct {
	eventLoop
	run Run
	// rand draws the requests, so that they are the same for every policy; policyRand
	// draws everything else.
	rand, policyRand *rand.Rand

	servers map[model.TargetID]*server
	// list holds the targets in order of their numbers.
	list      []model.Target
	instances []*instance
	// latencies holds the latency of every request after the warm-up.
	latencies []time.Duration
	// gap is the mean time between two requests of the region.
	gap time.Duration
	// over is set once all requests have arrived.
	over bool
}

// instance is one entry instance.
type instance struct {
	region          *region
	id              model.InstanceID
	table           *routing.Table
	picker          routing.Picker
	domain          int
	queue           []*request
	recentLatencies []time.Duration
	latencyCount    int
	hedgeTokens     float64
	hedgeDelay      time.Duration
	reports         map[model.TargetID]report
	retryScheduled  bool
	health          *health.Table
	facts           *fleet.FactReplica
	// refreshHints, if set, is called at every tick to read the load of the other
	// instances.
	refreshHints func()
}

// report is the number of requests that a target last reported, and when the report
// arrived.
type report struct {
	held int
	at   time.Duration
}

// request is one request with its first attempt, retries and at most one hedge.
type request struct {
	arrivedAt   time.Duration
	serviceTime time.Duration
	receivedAt  time.Duration
	tried       []model.TargetID
	attempts    []attempt
	done        bool
	// measured is set for requests after the warm-up, which is the first tenth of the
	// run.
	measured bool
	hedged   bool
}

// attempt is one exchange of a request.
type attempt struct {
	endpoint *routing.Endpoint
	server   *server
	job      *job
}

// P99 simulates a run and returns the 99th percentile of its latency.
func P99(run Run) time.Duration {
	r := newRegion(run)
	r.start()
	r.runAll()
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

// newRegion returns the targets and instances of a run.
func newRegion(run Run) *region {
	r := &region{run: run, rand: rand.New(rand.NewPCG(run.Seed, 1)), policyRand: rand.New(rand.NewPCG(run.Seed, 2)), servers: make(map[model.TargetID]*server)}
	for i := range run.Size.Targets {
		id := model.TargetID(fmt.Sprintf("t%d", i))
		r.list = append(r.list, model.Target{ID: id, Service: service, Location: location(i % 2), Slots: run.Size.Slots, MaxConns: 240})
		r.servers[id] = &server{
			loop:      &r.eventLoop,
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

// location returns a location in the given failure domain of the region.
func location(domain int) model.Location {
	return model.Location{Region: "r", FailureDomain: model.FailureDomain(rune('a' + domain))}
}

// newInstance returns the i-th instance.
func (r *region) newInstance(i int) *instance {
	in := &instance{region: r, id: model.InstanceID(fmt.Sprintf("i%d", i)), domain: i % 2, hedgeTokens: hedgeBurst, hedgeDelay: time.Second, reports: make(map[model.TargetID]report)}
	in.table = routing.NewInstanceTable(in.id, location(in.domain))
	in.table.SetPosition(in.position(i))
	in.table.SetTargets(service, r.list)
	in.startHealth()
	in.picker = r.run.Policy.New(in)
	return in
}

// position returns the position of the i-th instance; instances alternate between two
// failure domains.
func (in *instance) position(i int) routing.Position {
	return routing.Position{Index: i, Instances: instancesPerRegion, DomainIndex: i / 2, DomainInstances: instancesPerRegion / 2}
}

// startHealth connects the instance to package health. Its facts reach the other
// instances after propagationDelay.
func (in *instance) startHealth() {
	if in.region.run.Policy.NoHealth {
		return
	}
	now := func() time.Time { return time.Unix(0, 0).Add(in.region.now) }
	in.facts = fleet.NewFactReplica(in.id, events.NewClock(now), now)
	in.health = health.NewTable(health.Options{
		Self: in.id, Routing: in.table, Facts: in.facts, Recorder: events.Discard, Now: now,
		ControlBudget: limit.NewControlBudget(limit.DefaultControlBytesPerSecond, now),
	})
	for _, kind := range []fleet.FactKind{fleet.FactTargetHealth, fleet.FactTargetDrain} {
		in.facts.Subscribe(kind, func(f fleet.Fact) {
			in.region.schedule(propagationDelay, func() { in.region.propagate(f) })
		})
	}
	in.health.Tick()
}

// propagate merges a fact into the fact replicas of all instances.
func (r *region) propagate(f fleet.Fact) {
	for _, in := range r.instances {
		in.facts.Merge(f)
	}
}

// inFlight returns the number of the instance's exchanges in flight at a target.
func (in *instance) inFlight(id model.TargetID) int {
	for _, e := range in.table.Snapshot().Pool(service).Endpoints {
		if e.Target.ID == id {
			return e.Load.InFlight()
		}
	}
	return 0
}

// start schedules the first request and the first tick.
func (r *region) start() {
	slots := r.run.Size.Targets * r.run.Size.Slots
	if r.run.Scenario.Draining || r.run.Scenario.Rejecting {
		slots = r.remainingTargets() * r.run.Size.Slots
	}
	r.gap = time.Duration(float64(meanServiceTime) / (r.run.Load * float64(slots)))
	r.schedule(0, func() { r.arrive(0) })
	r.schedule(tickInterval, r.tick)
}

// arrive delivers the n-th request and schedules the next one.
func (r *region) arrive(n int) {
	if r.run.Scenario.Draining && n == r.run.Requests/2 {
		r.drainHalf()
	}
	if n == r.run.Requests {
		r.over = true
		return
	}
	in := r.instances[r.rand.IntN(len(r.instances))]
	in.receive(&request{arrivedAt: r.now, serviceTime: exponential(r.rand, meanServiceTime), measured: n >= r.run.Requests/10})
	r.schedule(exponential(r.rand, r.gap), func() { r.arrive(n + 1) })
}

// tick runs the periodic work of all instances.
func (r *region) tick() {
	for _, in := range r.instances {
		if in.health != nil {
			in.health.Tick()
		}
		if in.refreshHints != nil {
			in.refreshHints()
		}
	}
	if !r.over {
		r.schedule(tickInterval, r.tick)
	}
}

// remainingTargets returns the number of targets that serve requests to the end of the
// run.
func (r *region) remainingTargets() int {
	if r.run.Scenario.Draining {
		return r.run.Size.Targets - r.run.Size.Targets/2
	}
	return r.run.Size.Targets - 1
}

// drainHalf makes the first half of the targets drain. Instances without package
// health learn of it from the platform a second later.
func (r *region) drainHalf() {
	for _, target := range r.list[:r.run.Size.Targets/2] {
		r.servers[target.ID].draining = true
	}
	for _, in := range r.instances {
		if in.health == nil {
			r.schedule(time.Second, in.markDraining)
		}
	}
}

// markDraining marks the draining targets, as an update of the platform's target list
// would.
func (in *instance) markDraining() {
	for _, target := range in.region.list[:in.region.run.Size.Targets/2] {
		in.table.SetState(service, target.ID, routing.Draining)
	}
}

// receive sends a request, or queues it if others wait or every target is full, and
// schedules its hedge.
func (in *instance) receive(q *request) {
	q.receivedAt = in.region.now
	in.hedgeTokens = min(hedgeBurst, in.hedgeTokens+hedgeBudget)
	if len(in.queue) > 0 || !in.trySend(q) {
		in.queue = append(in.queue, q)
		in.scheduleRetry()
	}
	if in.region.run.Hedge != Unhedged {
		in.region.schedule(in.hedgeDelay, func() { in.sendHedge(q) })
	}
}

// scheduleRetry schedules another attempt to send the queued requests.
func (in *instance) scheduleRetry() {
	if in.retryScheduled {
		return
	}
	in.retryScheduled = true
	in.region.schedule(retryDelay, func() {
		in.retryScheduled = false
		in.sendQueued()
	})
}

// sendQueued sends queued requests in order until every target is full.
func (in *instance) sendQueued() {
	for len(in.queue) > 0 {
		if q := in.queue[0]; !q.done && !in.trySend(q) {
			in.scheduleRetry()
			return
		}
		in.queue = in.queue[1:]
	}
}

// trySend sends a request to a target and reports whether it could. If no target is
// left for the request, the next attempt may use all of them again.
func (in *instance) trySend(q *request) bool {
	e, err := in.picker.Pick(routing.Request{Service: service, Class: in.region.run.Class, Exclude: q.tried, Waited: in.region.now - q.arrivedAt})
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

// send sends a request to an endpoint as a new attempt.
func (in *instance) send(q *request, e *routing.Endpoint) {
	r := in.region
	s := r.servers[e.Target.ID]
	work := q.serviceTime
	if len(q.attempts) > 0 && r.run.Hedge == HedgeNewServiceTime {
		work = exponential(r.policyRand, meanServiceTime)
	}
	q.tried = append(q.tried, e.Target.ID)
	a := attempt{endpoint: e, server: s, job: &job{serviceTime: work}}
	q.attempts = append(q.attempts, a)
	delay := in.delayTo(e)
	a.job.respond = func(rejected bool, held int) {
		s.outstanding--
		r.schedule(delay, func() { in.onResponse(q, a, rejected, held) })
	}
	e.Load.BeginAt(r.now)
	s.outstanding++
	r.schedule(delay, func() { s.arrive(a.job) })
}

// delayTo returns the one-way network delay to an endpoint.
func (in *instance) delayTo(e *routing.Endpoint) time.Duration {
	if e.Distance == model.SameDomain {
		return sameDomainDelay
	}
	return otherDomainDelay
}

// onResponse handles the response of an attempt. A rejected request goes to the front of
// the queue.
func (in *instance) onResponse(q *request, a attempt, rejected bool, held int) {
	if a.job.cancelled {
		return
	}
	a.job.cancelled = true
	a.endpoint.Load.ReportAt(held, in.region.now)
	a.endpoint.Load.EndAt(in.region.now)
	in.reports[a.endpoint.Target.ID] = report{held: held, at: in.region.now}
	in.observe(a, rejected)
	switch {
	case rejected && !q.done:
		in.queue = append([]*request{q}, in.queue...)
	case !q.done:
		in.complete(q)
	}
	in.sendQueued()
}

// observe reports the outcome of an attempt to package health.
func (in *instance) observe(a attempt, rejected bool) {
	if in.health == nil {
		return
	}
	outcome := health.Answered
	if rejected {
		outcome = health.Shed
	}
	in.health.Observe(health.Observation{Endpoint: a.endpoint, Outcome: outcome, Draining: a.server.draining})
	in.health.EvaluatePending()
}

// complete records the latency of a request and cancels its other attempts.
func (in *instance) complete(q *request) {
	q.done = true
	in.recordLatency(in.region.now - q.receivedAt)
	if q.measured {
		in.region.latencies = append(in.region.latencies, in.region.now-q.arrivedAt)
	}
	for _, a := range q.attempts {
		if a.job.cancelled {
			continue
		}
		a.job.cancelled = true
		a.endpoint.Load.EndAt(in.region.now)
		in.region.schedule(in.delayTo(a.endpoint), func() { a.server.cancel(a.job) })
	}
}

// recordLatency adds a latency to the window from which the hedge delay is calculated.
func (in *instance) recordLatency(latency time.Duration) {
	if len(in.recentLatencies) < latencyWindow {
		in.recentLatencies = append(in.recentLatencies, latency)
	} else {
		in.recentLatencies[in.latencyCount%latencyWindow] = latency
	}
	in.latencyCount++
	if in.latencyCount%delayUpdateInterval == 0 {
		sorted := slices.Sorted(slices.Values(in.recentLatencies))
		in.hedgeDelay = sorted[int(float64(len(sorted))*hedgeQuantile)]
	}
}

// sendHedge sends a hedge if the request has no response yet, the queue is empty and
// the hedge budget allows it.
func (in *instance) sendHedge(q *request) {
	if q.done || q.hedged || len(q.attempts) == 0 || len(in.queue) > 0 || in.hedgeTokens < 1 {
		return
	}
	q.hedged = true
	if in.trySend(q) {
		in.hedgeTokens--
	}
}
