package peersync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// permitFleet is a fleet of instances that send requests to one target with a limit, over a
// network in memory. The first three instances are seeds.
type permitFleet struct {
	mu      sync.Mutex
	seeds   []string
	nodes   map[string]*permitNode
	arrived []time.Time
}

type permitNode struct {
	permits  *Permits
	endpoint *routing.Endpoint
	// cut is set while the instance reaches no other one.
	cut bool
}

// permitTransport is the Transport of the instance named from.
type permitTransport struct {
	fleet *permitFleet
	from  string
}

// CallAddr implements Transport. Messages over a cut link are lost silently.
func (p permitTransport) CallAddr(ctx context.Context, addr string, op peer.Op, body, response any) (model.InstanceID, error) {
	p.fleet.mu.Lock()
	to := p.fleet.nodes[addr]
	lost := to.cut || p.fleet.nodes[p.from].cut
	p.fleet.mu.Unlock()
	if lost {
		<-ctx.Done()
		return "", ctx.Err()
	}
	time.Sleep(peerLatency)
	raw, err := peer.Encode(body)
	if err != nil {
		return "", err
	}
	handle := (&PermitServer{Own: to.permits.Own}).HandleAcquire
	if op == peer.OpQueryTenure {
		handle = to.permits.Seeds.HandleQuery
	}
	out, err := handle("asker", raw)
	if err != nil {
		return "", err
	}
	time.Sleep(peerLatency)
	if raw, err = peer.Encode(out); err != nil {
		return "", err
	}
	return model.InstanceID(addr), peer.Decode(raw, response)
}

func newPermitFleet(instances int) *permitFleet {
	f := &permitFleet{nodes: make(map[string]*permitNode), seeds: []string{"0", "1", "2"}}
	for n := range instances {
		f.start(fmt.Sprint(n))
	}
	return f
}

// start starts an instance, or restarts it without its memory.
func (f *permitFleet) start(name string) {
	others := slices.DeleteFunc(slices.Clone(f.seeds), func(s string) bool { return s == name })
	seeds := NewSeeds(len(others) < len(f.seeds), others, permitTransport{f, name}, zap.NewNop())
	node := &permitNode{
		permits:  &Permits{Transport: permitTransport{f, name}, Seeds: seeds, Own: NewShare(seeds, limit.NewGrantor), Log: zap.NewNop()},
		endpoint: &routing.Endpoint{Target: model.Target{ID: "t"}, Load: new(routing.Load)},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name] = node
}

// setCut cuts an instance off from all others, or ends that.
func (f *permitFleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].cut = cut
}

// press makes an instance use each permit that it gets until the duration has passed.
func (f *permitFleet) press(name string, perSecond float64, duration time.Duration) {
	for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		node := f.nodes[name]
		f.mu.Unlock()
		node.endpoint.Load.RecordStatement(routing.Statement{Limited: true, LimitPerSecond: perSecond}, true, routing.Monotonic())
		if granted, _ := node.permits.Acquire(context.Background(), node.endpoint, routing.AllGrantors); granted {
			f.mu.Lock()
			f.arrived = append(f.arrived, time.Now())
			f.mu.Unlock()
		}
	}
}

// worst returns the largest number of arrivals within a span of time.
func (f *permitFleet) worst(span time.Duration) int {
	worst, first := 0, 0
	for i, at := range f.arrived {
		for at.Sub(f.arrived[first]) > span {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

// TestLimitHoldsOverAFleetUnderFaults guards against a limit that each instance keeps alone:
// 17 instances press on a target while instances and seeds restart and are cut off. In any
// 4 s it gets at most 1.5 times its limit and 5 requests, and it stays in use.
func TestLimitHoldsOverAFleetUnderFaults(t *testing.T) {
	const instances, span, duration = 17, 4 * time.Second, time.Minute
	for _, perSecond := range []float64{0.3, 1.6, 8, 40} {
		for seed := range uint64(8) {
			synctest.Test(t, func(t *testing.T) {
				f := newPermitFleet(instances)
				random := rand.New(rand.NewPCG(seed, 4))
				var callers sync.WaitGroup
				for n := range instances {
					callers.Go(func() { f.press(fmt.Sprint(n), perSecond, duration) })
				}
				for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(time.Second) {
					name := fmt.Sprint(random.IntN(instances))
					switch random.IntN(6) {
					case 0, 1:
						f.start(name)
					case 2, 3:
						f.setCut(name, true)
						time.AfterFunc(5*time.Second, func() { f.setCut(name, false) })
					case 4:
						f.start(f.seeds[random.IntN(len(f.seeds))])
					}
				}
				callers.Wait()
				allowed := int(1.5*perSecond*span.Seconds()) + 5
				if worst := f.worst(span); worst > allowed {
					t.Errorf("limit %v, seed %d: %d requests in %v, allowed %d", perSecond, seed, worst, span, allowed)
				}
				if used := float64(len(f.arrived)) / (perSecond * duration.Seconds()); used < 0.2 {
					t.Errorf("limit %v, seed %d: only %.2f of it is used", perSecond, seed, used)
				}
			})
		}
	}
}

// TestOneSeedGrantsItsShare checks that a limited target stays in use while two of three
// seeds are lost, and by how much.
func TestOneSeedGrantsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPermitFleet(9)
		f.setCut("0", true)
		f.setCut("1", true)
		f.press("5", 3, time.Minute)
		if n := len(f.arrived); n < 40 || n > 63 {
			t.Errorf("%d requests in a minute, a third of 3 a second is 60", n)
		}
	})
}

// TestWithdrawnLimitReachesAllInstances checks that an instance learns with its next question
// that a target has withdrawn its limit.
func TestWithdrawnLimitReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newPermitFleet(5)
		f.press("3", 0.5, 100*time.Millisecond)
		f.press("4", 0.5, 100*time.Millisecond)
		f.nodes["4"].permits.ReportWithdrawal(f.nodes["4"].endpoint)
		time.Sleep(10 * time.Second)
		node := f.nodes["3"]
		if granted, _ := node.permits.Acquire(t.Context(), node.endpoint, routing.NearestGrantor); !granted {
			t.Error("no permit after the limit was withdrawn")
		}
		if s, _ := node.endpoint.Load.Statement(); s.Limited {
			t.Error("the target still counts as limited")
		}
	})
}
