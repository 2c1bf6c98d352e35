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

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/quarantine"
)

const (
	// markedRequest is the request that ends each target.
	markedRequest quarantine.Fingerprint = "marked"
	// contactTime is the time in which the fleet must have learnt of ended targets.
	contactTime = 3 * time.Second
	// peerLatency is the time of a message between regions.
	peerLatency = 12 * time.Millisecond
)

// markFleet is a fleet of instances that exchange marks over a network in memory.
type markFleet struct {
	t      *testing.T
	random *rand.Rand
	seeds  []string

	mu    sync.Mutex
	nodes map[string]*markNode
	// ended is the number of targets that ended, endedAt the time of each end.
	ended   int
	endedAt []time.Time
	// late lists arrivals at targets later than contactTime after the third end.
	late []string
}

// markNode is one instance. A restart replaces it.
type markNode struct {
	registry  *quarantine.Registry
	exchange  *MarkExchange
	startedAt time.Time
	stop      context.CancelFunc
	// cut is set while the instance reaches no other one.
	cut bool
}

// markTransport is the Transport of the instance named from.
type markTransport struct {
	fleet *markFleet
	from  string
}

// CallAddr implements Transport. Messages over a cut link are lost silently.
func (m markTransport) CallAddr(ctx context.Context, addr string, op peer.Op, body, response any) (model.InstanceID, error) {
	f := m.fleet
	raw, err := peer.Encode(body)
	if err != nil {
		return "", err
	}
	to := f.reachable(m.from, addr)
	if to == nil || op != peer.OpExchangeMarks {
		<-ctx.Done()
		return "", ctx.Err()
	}
	result := make(chan any, 1)
	go func() {
		time.Sleep(peerLatency)
		out, err := to.exchange.HandleExchange("asker", raw)
		if err != nil {
			out = err
		}
		time.Sleep(peerLatency)
		result <- out
	}()
	select {
	case out := <-result:
		if err, failed := out.(error); failed {
			return "", err
		}
		if f.reachable(m.from, addr) != to {
			<-ctx.Done()
			return "", ctx.Err()
		}
		if raw, err = peer.Encode(out); err != nil {
			return "", err
		}
		return model.InstanceID(addr), peer.Decode(raw, response)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// reachable returns the instance at an address if another one reaches it, or nil.
func (f *markFleet) reachable(from, addr string) *markNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	to := f.nodes[addr]
	if to == nil || to.cut || f.nodes[from] == nil || f.nodes[from].cut {
		return nil
	}
	return to
}

// newMarkFleet starts instances, of which the first three are seeds.
func newMarkFleet(t *testing.T, instances int, seed uint64) *markFleet {
	f := &markFleet{t: t, random: rand.New(rand.NewPCG(seed, 3)), nodes: make(map[string]*markNode)}
	for n := range 3 {
		f.seeds = append(f.seeds, fmt.Sprint(n))
	}
	for n := range instances {
		f.start(fmt.Sprint(n))
	}
	return f
}

// start starts an instance, or restarts it without its memory.
func (f *markFleet) start(name string) {
	otherSeeds := slices.DeleteFunc(slices.Clone(f.seeds), func(s string) bool { return s == name })
	node := &markNode{registry: new(quarantine.Registry), startedAt: time.Now()}
	node.exchange = NewMarkExchange(node.registry, markTransport{f, name}, newTestSeeds(slices.Contains(f.seeds, name), otherSeeds...), zap.NewNop())
	node.registry.Isolated = node.exchange.Isolated
	ctx, cancel := context.WithCancel(f.t.Context())
	node.stop = cancel
	f.mu.Lock()
	if old := f.nodes[name]; old != nil {
		old.stop()
	}
	f.nodes[name] = node
	f.mu.Unlock()
	go node.exchange.Run(ctx)
}

func (f *markFleet) node(name string) *markNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[name]
}

func (f *markFleet) setCut(name string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[name].cut = cut
}

func (f *markFleet) stop() {
	for _, node := range f.nodes {
		node.stop()
	}
	time.Sleep(time.Minute)
}

// randomName returns the name of an instance.
func (f *markFleet) randomName() string { return fmt.Sprint(f.random.IntN(len(f.nodes))) }

// send sends the marked request to an instance, whose target ends unless the instance
// recognizes the request.
func (f *markFleet) send(name string) {
	node := f.node(name)
	if _, found := node.registry.Find(markedRequest); found {
		return
	}
	now := time.Now()
	f.mu.Lock()
	inTouch := now.Sub(node.startedAt) > contactTime
	if inTouch && len(f.endedAt) >= 3 && now.Sub(f.endedAt[2]) > contactTime {
		f.late = append(f.late, fmt.Sprintf("at %s, %v after the third", name, now.Sub(f.endedAt[2])))
	}
	f.ended++
	process := model.ProcessID(fmt.Sprint("target-", f.ended))
	f.mu.Unlock()
	go func() {
		time.Sleep(60 * time.Millisecond)
		f.mu.Lock()
		f.endedAt = append(f.endedAt, time.Now())
		f.mu.Unlock()
		node.registry.ReportEnd(markedRequest, process)
	}()
}

// repeat sends the request every 200 ms to a random instance while faults strike.
func (f *markFleet) repeat(duration time.Duration, strike func()) {
	for until := time.Now().Add(duration); time.Now().Before(until); {
		f.send(f.randomName())
		strike()
		time.Sleep(200 * time.Millisecond)
	}
}

// checkLate fails the test if more than three arrivals were late.
func (f *markFleet) checkLate(seed uint64) {
	if f.ended < 2 {
		f.t.Errorf("seed %d: only %d targets ended", seed, f.ended)
	}
	if len(f.late) > 3 {
		f.t.Errorf("seed %d: %d late arrivals, 3 are allowed: %v", seed, len(f.late), f.late)
	}
}

// TestFleetStopsRequestUnderFaults guards against a request that ends targets and is
// recognized by a part of the fleet alone: it comes again every 200 ms at any of 17
// instances, while instances and seeds restart and up to three are cut off.
func TestFleetStopsRequestUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			f := newMarkFleet(t, 17, seed)
			time.Sleep(time.Second)
			var cut []string
			f.repeat(2*time.Minute, func() {
				switch f.random.IntN(25) {
				case 0:
					f.start(f.randomName())
				case 1:
					// Of three seeds, two restart together.
					f.start(f.seeds[0])
					f.start(f.seeds[1])
				case 2:
					if name := f.randomName(); len(cut) < 3 && !slices.Contains(cut, name) {
						cut = append(cut, name)
						f.setCut(name, true)
					}
				case 3, 4:
					if len(cut) > 0 {
						f.setCut(cut[0], false)
						cut = cut[1:]
					}
				}
			})
			f.checkLate(seed)
			f.stop()
		})
	}
}

// TestOneSeedIsEnoughToStopRequest checks that the marks outlast the seeds one by one, as
// long as one of them lives.
func TestOneSeedIsEnoughToStopRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newMarkFleet(t, 9, 1)
		f.setCut("0", true)
		f.setCut("1", true)
		time.Sleep(10 * time.Second)
		f.send("5")
		time.Sleep(200 * time.Millisecond)
		f.send("6")
		time.Sleep(200 * time.Millisecond)
		for _, name := range []string{"2", "3", "4", "7", "8"} {
			if _, found := f.node(name).registry.Find(markedRequest); !found {
				t.Errorf("instance %s doesn't recognize the request", name)
			}
		}
		// The instances that reported, and then the seed, lose their memory.
		f.start("5")
		f.start("6")
		time.Sleep(contactTime)
		f.start("2")
		time.Sleep(contactTime)
		f.start("8")
		time.Sleep(contactTime)
		if _, found := f.node("8").registry.Find(markedRequest); !found {
			t.Error("a restarted instance doesn't learn of the request from a restarted seed")
		}
		f.stop()
	})
}

// slowTransport delays the calls of some addresses.
type slowTransport struct {
	Transport
	delays map[string]time.Duration
}

// CallAddr implements Transport.
func (s slowTransport) CallAddr(ctx context.Context, addr string, op peer.Op, body, response any) (model.InstanceID, error) {
	time.Sleep(s.delays[addr])
	return s.Transport.CallAddr(ctx, addr, op, body, response)
}

// seedTransport answers exchanges by the seed at each address.
type seedTransport map[string]*MarkExchange

// CallAddr implements Transport.
func (s seedTransport) CallAddr(_ context.Context, addr string, _ peer.Op, body, response any) (model.InstanceID, error) {
	raw, err := peer.Encode(body)
	if err != nil {
		return "", err
	}
	out, err := s[addr].HandleExchange("asker", raw)
	if err != nil {
		return "", err
	}
	if raw, err = peer.Encode(out); err != nil {
		return "", err
	}
	return model.InstanceID(addr), peer.Decode(raw, response)
}

// TestMarksComeFromTheSeedOfTheOwnRegion guards against a fleet that starts and whose instances
// hold their exchanges at whichever seed responded first, for good.
func TestMarksComeFromTheSeedOfTheOwnRegion(t *testing.T) {
	for nearDelay, want := range map[time.Duration]string{0: "seed-near", searchTimeout / 2: "seed-near", 2 * searchTimeout: "seed-far"} {
		synctest.Test(t, func(t *testing.T) {
			seeds := make(seedTransport)
			for _, name := range []string{"seed-near", "seed-far"} {
				seed := NewMarkExchange(new(quarantine.Registry), nil, newTestSeeds(true), zap.NewNop())
				seed.Region = model.Region(name)
				seeds[name] = seed
			}
			transport := slowTransport{seeds, map[string]time.Duration{"seed-near": nearDelay}}
			e := NewMarkExchange(new(quarantine.Registry), transport, newTestSeeds(false, "seed-near", "seed-far"), zap.NewNop())
			e.Region = "seed-near"
			s, near := e.nearest(t.Context(), []*seedMarks{{exchange: e, addr: "seed-near"}, {exchange: e, addr: "seed-far"}})
			if s == nil || s.addr != want || near != (want == "seed-near") {
				t.Errorf("near seed responds after %v: chosen %+v, near %v", nearDelay, s, near)
			}
			time.Sleep(time.Second)
		})
	}
}
