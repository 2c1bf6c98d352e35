package peersync

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
)

// quotaTolerance is the one that platforms allow.
var quotaTolerance = limit.Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// maxTargetWait bounds the time for which the requests of these tests wait for a target.
const maxTargetWait = 170 * time.Millisecond

// quotaFleet is a fleet of instances in three regions, over a network in memory, whose callers
// send requests for organisations. The first three instances are seeds, one in each region.
type quotaFleet struct {
	t      *testing.T
	random *rand.Rand

	mu    sync.Mutex
	nodes []*quotaNode
	// sent are the times of the requests that were sent, by organisation.
	sent map[model.OrganisationName][]time.Time
	// asked counts the questions to other instances, by the one that asks and the one that is
	// asked.
	asked map[[2]int]int
	// exceeded and unknown count the denials, by organisation.
	exceeded, unknown map[model.OrganisationName]int
}

type quotaNode struct {
	quotas *Quotas
	seeds  *Seeds
	// cut is set while the instance reaches no other one, silent while it doesn't respond, and
	// frozen while it doesn't run: nobody reaches it then.
	cut, silent, frozen bool
	// stop ends the hand-over of grants, if it runs.
	stop context.CancelFunc
}

// quotaTransport is the Transport of an instance.
type quotaTransport struct {
	fleet *quotaFleet
	from  int
}

// CallAddr implements Transport. Messages over a cut link, or to an instance that is silent or
// was restarted meanwhile, are lost.
func (p quotaTransport) CallAddr(ctx context.Context, addr string, op peer.Op, body, response any) (model.InstanceID, error) {
	var to int
	if _, err := fmt.Sscan(addr, &to); err != nil {
		return "", err
	}
	p.fleet.mu.Lock()
	p.fleet.asked[[2]int{p.from, to}]++
	p.fleet.mu.Unlock()
	node := p.fleet.reach(p.from, to)
	if node == nil {
		<-ctx.Done()
		return "", ctx.Err()
	}
	latency := time.Millisecond
	if p.from%3 != to%3 {
		latency = 12 * time.Millisecond
	}
	time.Sleep(latency)
	raw, err := peer.Encode(body)
	if err != nil {
		return "", err
	}
	handle := (&QuotaServer{Own: node.quotas.Own}).HandleAcquire
	if op == peer.OpQueryTenure {
		handle = node.seeds.HandleQuery
	}
	out, err := handle("asker", raw)
	if err != nil {
		return "", err
	}
	time.Sleep(latency)
	if p.fleet.reach(p.from, to) != node || ctx.Err() != nil {
		<-ctx.Done()
		return "", ctx.Err()
	}
	if raw, err = peer.Encode(out); err != nil {
		return "", err
	}
	return model.InstanceID(addr), peer.Decode(raw, response)
}

// reach returns an instance if another one reaches it.
func (f *quotaFleet) reach(from, to int) *quotaNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nodes[from].cut || f.nodes[to].cut || f.nodes[to].silent || f.nodes[from].frozen || f.nodes[to].frozen {
		return nil
	}
	return f.nodes[to]
}

// newQuotaFleet starts a fleet that has run for long enough for all shares to be full.
func newQuotaFleet(t *testing.T, instances int, seed uint64) *quotaFleet {
	f := &quotaFleet{t: t, random: rand.New(rand.NewPCG(seed, 3)), nodes: make([]*quotaNode, instances),
		asked: make(map[[2]int]int), sent: make(map[model.OrganisationName][]time.Time), exceeded: make(map[model.OrganisationName]int), unknown: make(map[model.OrganisationName]int)}
	for i := range f.nodes {
		f.start(i)
	}
	time.Sleep(time.Minute)
	return f
}

// start starts an instance, or restarts it without its memory.
func (f *quotaFleet) start(i int) { f.startWith(i, []int{0, 1, 2}) }

// startWith starts an instance with a list of seeds.
func (f *quotaFleet) startWith(i int, list []int) {
	isSeed, others := seedsOf(i, list)
	seeds := NewSeeds(isSeed, others, quotaTransport{f, i}, zap.NewNop())
	share := NewShare(seeds, func(shares int) *limit.QuotaGrantor { return limit.NewQuotaGrantor(shares, quotaTolerance) })
	seeds.Own = fmt.Sprint(i)
	node := &quotaNode{seeds: seeds, quotas: &Quotas{Tolerance: quotaTolerance, Own: share, Transport: quotaTransport{f, i}, Seeds: seeds, Log: zap.NewNop()}}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i] = node
}

// seedsOf returns whether an instance is in a list of seeds, and the addresses of the others.
func seedsOf(i int, list []int) (isSeed bool, others []string) {
	for _, seed := range list {
		if seed == i {
			isSeed = true
		} else {
			others = append(others, fmt.Sprint(seed))
		}
	}
	return isSeed, others
}

// demand is what the callers of one organisation ask.
type demand struct {
	name  model.OrganisationName
	quota limit.Quota
	// load is the rate of requests by the rate of the quota. Up to 1, the requests stay within
	// the quota.
	load float64
	// batch is the number of requests that are sent at once; zero means 1.
	batch int
	// at are the instances that its callers reach; nil means all.
	at []int
}

// play sends the requests of a demand for a time.
func (f *quotaFleet) play(d demand, during time.Duration, done func()) {
	defer done()
	f.mu.Lock()
	random := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	instances := len(f.nodes)
	f.mu.Unlock()
	var requests sync.WaitGroup
	level, last := d.quota.Burst, time.Now()
	for until := time.Now().Add(during); time.Now().Before(until); {
		batch := max(d.batch, 1)
		time.Sleep(time.Duration(random.ExpFloat64() * float64(batch) / (d.load * d.quota.PerSecond) * float64(time.Second)))
		now := time.Now()
		level, last = min(level+now.Sub(last).Seconds()*d.quota.PerSecond, d.quota.Burst), now
		if d.load <= 1 && level < float64(batch) {
			continue
		}
		level -= float64(batch)
		for range batch {
			at := random.IntN(instances)
			if d.at != nil {
				at = d.at[random.IntN(len(d.at))]
			}
			wait := time.Duration(random.Int64N(int64(maxTargetWait)))
			requests.Go(func() { f.request(at, d, wait) })
		}
	}
	requests.Wait()
}

// request waits for a target at an instance, acquires a permit and sends a request a little
// later, if the permit holds until then.
func (f *quotaFleet) request(at int, d demand, wait time.Duration) {
	f.mu.Lock()
	node := f.nodes[at]
	f.mu.Unlock()
	if f.isFrozen(node) {
		return
	}
	err := node.quotas.Check(d.name)
	var permit limit.QuotaPermit
	if err == nil {
		time.Sleep(wait)
		permit, err = node.quotas.Acquire(context.Background(), d.name, d.quota)
	}
	var exceeded *limit.QuotaExceededError
	switch {
	case errors.As(err, &exceeded):
		if exceeded.RetryAfter <= 0 || exceeded.RetryAfter > quotaTolerance.Window {
			f.t.Errorf("%s: asked to come back after %v", d.name, exceeded.RetryAfter)
		}
		f.count(f.exceeded, d.name)
		return
	case err != nil:
		f.count(f.unknown, d.name)
		return
	}
	time.Sleep(wait / 8)
	if permit.Expired() {
		permit.Release()
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent[d.name] = append(f.sent[d.name], time.Now())
}

func (f *quotaFleet) count(m map[model.OrganisationName]int, name model.OrganisationName) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m[name]++
}

// checkWindows checks that no window of an organisation holds more than the tolerance allows.
func (f *quotaFleet) checkWindows(d demand) {
	f.t.Helper()
	allowed := (d.quota.PerSecond*quotaTolerance.Window.Seconds()+d.quota.Burst)*(1+quotaTolerance.Overage) + quotaTolerance.Slack
	if most := f.mostInWindow(d.name); float64(most) > allowed {
		f.t.Errorf("%s: %d requests in a window, allowed %.0f", d.name, most, allowed)
	}
}

// mostInWindow returns the most requests of an organisation that were sent in a window.
func (f *quotaFleet) mostInWindow(name model.OrganisationName) (most int) {
	times := f.sent[name]
	slices.SortFunc(times, time.Time.Compare)
	for first, last := 0, 0; last < len(times); last++ {
		for times[last].Sub(times[first]) > quotaTolerance.Window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// demands are those of one hot organisation and of others of all sizes within their quotas,
// with callers who reach one instance, a few or all.
func demands(instances int) []demand {
	few := []int{3 % instances, 4 % instances, 5 % instances}
	return []demand{
		{name: "hot", quota: limit.Quota{Revision: 1, PerSecond: 40, Burst: 40}, load: 7},
		{name: "hot-and-small", quota: limit.Quota{Revision: 1, PerSecond: 3, Burst: 3}, load: 7},
		{name: "large", quota: limit.Quota{Revision: 1, PerSecond: 289, Burst: 289}, load: 0.8},
		{name: "full", quota: limit.Quota{Revision: 1, PerSecond: 40, Burst: 40}, load: 1},
		{name: "in-batches", quota: limit.Quota{Revision: 1, PerSecond: 40, Burst: 100}, load: 0.9, batch: 100},
		{name: "one-sided", quota: limit.Quota{Revision: 1, PerSecond: 40, Burst: 40}, load: 0.9, at: few},
		{name: "at-one", quota: limit.Quota{Revision: 1, PerSecond: 20, Burst: 10}, load: 0.9, at: few[:1]},
		{name: "small", quota: limit.Quota{Revision: 1, PerSecond: 2, Burst: 2}, load: 0.8},
		{name: "rare", quota: limit.Quota{Revision: 1, PerSecond: 0.5, Burst: 1}, load: 0.8},
	}
}

// fleetSizes are those of the deployments, and that of the sweep.
var fleetSizes = []int{6, 17, 137, 300}

// runQuotaFleet plays all demands for a time beside a course of events.
func runQuotaFleet(t *testing.T, instances int, seed uint64, during time.Duration, course func(f *quotaFleet)) *quotaFleet {
	f := newQuotaFleet(t, instances, seed)
	var all sync.WaitGroup
	for _, d := range demands(instances) {
		all.Add(1)
		go f.play(d, during, all.Done)
	}
	if course != nil {
		course(f)
	}
	all.Wait()
	for _, d := range demands(instances) {
		f.checkWindows(d)
	}
	return f
}
