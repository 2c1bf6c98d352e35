package peersync

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/route"
)

// relayNode is an instance that follows the store, as a relay or by means of relays.
type relayNode struct {
	replica  *replica.Replica
	breaker  replica.Breaker
	floor    replica.Floor
	server   *RelayServer
	client   *RelayClient
	location model.Location
	// sent counts the bytes of the node's responses.
	sent int
	// silent is set while the node doesn't respond to peers, delay is how late it responds.
	silent bool
	delay  time.Duration
	// linkFreeAt is when the node's link has sent all responses.
	linkFreeAt time.Time
	// merged counts the calls of OnMerge.
	merged int
	// applied and left are the times at which routes came in force and targets left.
	applied map[model.Revision]time.Time
	left    map[model.TargetID]time.Time
	// evacuated are the times at which failure domains were to be evacuated, returned those at
	// which they took requests again.
	evacuated, returned map[model.FailureDomain]time.Time
}

// relayNetwork connects nodes by name. A node that is missing or silent never responds, and a
// silent one reaches no other.
type relayNetwork struct {
	mu    sync.Mutex
	nodes map[string]*relayNode
	// relaysFrom is when relays are ready at the earliest.
	relaysFrom time.Time
	// demanded is RelayClient.Demanded of nodes that are started.
	demanded chan struct{}
	// batchDelay is that of the nodes' followers of the store.
	batchDelay time.Duration
	// linkBytes is what a node's link sends in a second; zero means any number.
	linkBytes int
	// sent counts the bytes of requests and responses by distance, with those of packets.
	sent [model.OtherRegion + 1]int
	// evacuations is set if the nodes follow evacuations.
	evacuations bool
	// delay, if set, returns the latency of a message.
	delay func() time.Duration
	// withdrawWithin is the setting "keys.withdrawWithin" of the instances.
	withdrawWithin time.Duration
}

const (
	// packetPayload is what a packet carries, packetOverhead what it costs beside that with its
	// acknowledgement, in bytes (TestWireCosts).
	packetPayload  = 1200
	packetOverhead = 52 + 57
)

// latency returns the time that a message takes over a distance.
func latency(d model.Distance) time.Duration {
	return [...]time.Duration{model.SameDomain: 0, model.SameRegion: 500 * time.Microsecond, model.OtherRegion: 12 * time.Millisecond}[d]
}

// carry counts a message and blocks until it has arrived. The link of a node that responds
// sends one response after the other.
func (n *relayNetwork) carry(responder *relayNode, size int, d model.Distance) {
	n.mu.Lock()
	size += (size/packetPayload + 1) * packetOverhead
	n.sent[d] += size
	if responder != nil {
		responder.sent += size
	}
	arrivesAt := time.Now().Add(latency(d))
	if responder != nil && n.linkBytes > 0 {
		if now := time.Now(); responder.linkFreeAt.Before(now) {
			responder.linkFreeAt = now
		}
		responder.linkFreeAt = responder.linkFreeAt.Add(time.Duration(size) * time.Second / time.Duration(n.linkBytes))
		arrivesAt = responder.linkFreeAt.Add(latency(d))
	}
	if responder != nil {
		arrivesAt = arrivesAt.Add(responder.delay)
	}
	n.mu.Unlock()
	if wait := time.Until(arrivesAt); wait > 0 {
		time.Sleep(wait)
	}
}

// pause waits for the latency of a message.
func (n *relayNetwork) pause(ctx context.Context) {
	if n.delay == nil {
		return
	}
	select {
	case <-time.After(n.delay()):
	case <-ctx.Done():
	}
}

// nodeTransport is the network as one node sees it.
type nodeTransport struct {
	*relayNetwork
	from *relayNode
}

// CallAddr implements Transport.
func (n nodeTransport) CallAddr(ctx context.Context, addr string, op peer.Op, body, response any) (model.InstanceID, error) {
	n.mu.Lock()
	to := n.nodes[addr]
	silent := to == nil || to.silent || n.from.silent
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return "", ctx.Err()
	}
	raw, err := peer.Encode(body)
	if err != nil {
		return "", err
	}
	n.pause(ctx)
	result := make(chan any, 1)
	distance := n.from.location.DistanceTo(to.location)
	go func() {
		n.carry(nil, len(raw), distance)
		handle := to.server.HandleAwaitChange
		if op == peer.OpFetchState {
			handle = (&Syncer{Replica: to.replica}).HandleFetchState
		}
		out, err := handle("asker", raw)
		if err == nil {
			out, err = peer.Encode(out)
		}
		if err != nil {
			out = err
		} else {
			n.carry(to, len(out.([]byte)), distance)
		}
		result <- out
	}()
	select {
	case out := <-result:
		n.pause(ctx)
		if ctx.Err() != nil {
			return "", ctx.Err()
		}
		n.mu.Lock()
		silent := to.silent || n.from.silent
		n.mu.Unlock()
		if silent {
			<-ctx.Done()
			return "", ctx.Err()
		}
		if err, failed := out.(error); failed {
			return "", err
		}
		return model.InstanceID(addr), peer.Decode(out.([]byte), response)
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// Locate implements Locator.
func (n nodeTransport) Locate(ctx context.Context, addr string) (model.Location, bool) {
	n.mu.Lock()
	to := n.nodes[addr]
	silent := to == nil || to.silent || n.from.silent
	n.mu.Unlock()
	if silent {
		<-ctx.Done()
		return model.Location{}, false
	}
	distance := n.from.location.DistanceTo(to.location)
	n.carry(nil, 0, distance)
	n.carry(nil, 0, distance)
	return to.location, true
}

func (n *relayNetwork) silence(addr string, silent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr].silent = silent
}

func (n *relayNetwork) countMerge(node *relayNode) {
	n.mu.Lock()
	defer n.mu.Unlock()
	node.merged++
}

// sentOver returns the bytes sent so far over a distance.
func (n *relayNetwork) sentOver(d model.Distance) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[d]
}

func (n *relayNetwork) setDelay(addr string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr].delay = delay
}

// nodeObserver records when routes and targets changed.
type nodeObserver struct {
	nopObserver
	node *relayNode
	mu   *sync.Mutex
}

func (o nodeObserver) RoutesApplied(t *route.Table) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.applied[t.Revision] = time.Now()
}

func (o nodeObserver) TargetRemoved(id model.TargetID, _ bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.left[id] = time.Now()
}

// CallFinished and the methods below implement replica.Observer.
func (nodeObserver) CallFinished(string, time.Duration, int, error) {}
func (nodeObserver) OutageStarted(error)                            {}
func (nodeObserver) OutageEnded(time.Duration)                      {}

// ownWatchWait and ownMaxBackoff are those of an instance that must know changes within 4 s.
const (
	ownWatchWait  = 2600 * time.Millisecond
	ownMaxBackoff = 1700 * time.Millisecond
)

// start adds a node and runs it until ctx ends. Nodes named "seed-..." are relays.
func (n *relayNetwork) start(ctx context.Context, store *relayStore, name string, seeds ...string) *relayNode {
	return n.startAt(ctx, store, name, model.Location{}, seeds...)
}

// startAt is like start for a node at a location.
func (n *relayNetwork) startAt(ctx context.Context, store *relayStore, name string, at model.Location, seeds ...string) *relayNode {
	node := &relayNode{location: at, applied: make(map[model.Revision]time.Time), left: make(map[model.TargetID]time.Time),
		evacuated: make(map[model.FailureDomain]time.Time), returned: make(map[model.FailureDomain]time.Time)}
	o := nodeObserver{node: node, mu: &n.mu}
	decodeRoutes := func(object replica.Object) (route.Config, bool, error) {
		revision, err := strconv.ParseUint(string(object.Value), 10, 64)
		return route.Config{Revision: model.Revision(revision)}, true, err
	}
	node.replica = &replica.Replica{
		Routes: &replica.Routes{Decode: decodeRoutes, Holder: route.NewHolder(), Observer: o},
		Targets: &replica.Targets{Table: nopObserver{}, Observer: o, Decode: func(object replica.Object) (model.Target, error) {
			return model.Target{ID: model.TargetID(object.Name), Service: model.ServiceName(object.Name[len(object.Name)-1:])}, nil
		}},
	}
	follower := func(kind string, view replica.View) *replica.Follower {
		return &replica.Follower{Source: relaySource{store, name, kind}, View: view, Observer: o, WatchWait: ownWatchWait,
			MaxBackoff: ownMaxBackoff, BatchDelay: n.batchDelay, Breaker: &node.breaker, Floor: &node.floor, Consistency: replica.Eventual}
	}
	routes, targets := follower("routes", node.replica.Routes), follower("targets", node.replica.Targets)
	routes.Consistency = replica.Strong
	if len(seeds) == 0 {
		node.server = &RelayServer{Replica: node.replica, Seeds: newTestSeeds(true), Location: at}
		node.replica.Current = func() bool {
			return node.replica.Routes.Holder.Current() != nil && !node.breaker.Open() && !time.Now().Before(n.relaysFrom)
		}
		node.replica.Routes.OnChange, node.replica.Targets.OnChange = node.replica.NotifyChanged, node.replica.NotifyChanged
		node.breaker.OnOpen = node.replica.NotifyChanged
		routes.WatchWait, targets.WatchWait = RelayWatchWait, RelayWatchWait
		if n.withdrawWithin > 0 {
			routes.WatchWait = n.withdrawWithin / 10
		}
	} else {
		node.client = &RelayClient{Replica: node.replica, OnMerge: func() { n.countMerge(node) }, Transport: nodeTransport{n, node}, Seeds: newTestSeeds(false, seeds...), Region: at.Region, Demanded: n.demanded, Log: zap.NewNop()}
		if at.Region != "" {
			node.client.Vicinity = &Vicinity{Locator: nodeTransport{n, node}, Seeds: node.client.Seeds, Region: at.Region}
		}
		if n.withdrawWithin > 0 {
			node.client.HoldRequests, node.client.MaxConfirmationAge = n.withdrawWithin*12/100, n.withdrawWithin/2
			routes.WatchWait = n.withdrawWithin * 18 / 100
		}
		routes.Relay, targets.Relay = node.client.RoutesRelay(), node.client.TargetsRelay()
		targets.StartFromRelay = true
	}
	followers := []*replica.Follower{routes, targets}
	if n.evacuations {
		followers = append(followers, n.evacuationsFollower(node, follower, o))
	}
	n.mu.Lock()
	n.nodes[name] = node
	n.mu.Unlock()
	if node.client != nil {
		go node.client.Run(ctx)
	}
	for _, f := range followers {
		go f.Run(ctx)
	}
	return node
}

// relayTest runs a test with a store, two relays and one instance that follows them.
func relayTest(t *testing.T, test func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newRelayStore(660)
		n := &relayNetwork{nodes: make(map[string]*relayNode)}
		n.start(ctx, store, "seed-1")
		n.start(ctx, store, "seed-2")
		node := n.start(ctx, store, "node", "seed-1", "seed-2")
		time.Sleep(10 * time.Second)
		if !node.client.Relayed() {
			t.Fatal("no relay was found")
		}
		store.takeCalls("node")
		test(t, store, n, node)
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// checkApplied checks that a revision of the routes came in force and the target left
// within a time after the change.
func checkApplied(t *testing.T, n *relayNetwork, node *relayNode, changedAt time.Time, revision model.Revision, target model.TargetID, within time.Duration) {
	t.Helper()
	n.mu.Lock()
	defer n.mu.Unlock()
	for what, at := range map[string]time.Time{
		fmt.Sprint("revision ", revision):     node.applied[revision],
		"removal of target " + string(target): node.left[target],
	} {
		if took := at.Sub(changedAt); at.IsZero() || took > within {
			t.Errorf("%s took effect after %v, want %v", what, took, within)
		}
	}
}

// TestRelayedChangesNeedNoWatch checks that an instance behind a relay makes no call to the
// store in calm minutes, and one for a change of the routes.
func TestRelayedChangesNeedNoWatch(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
		time.Sleep(5 * time.Minute)
		changedAt := time.Now()
		store.put("routes", "main", "2")
		store.put("targets", "17", "")
		time.Sleep(time.Minute)
		checkApplied(t, n, node, changedAt, 2, "17", 100*time.Millisecond)
		// The relay's confirmation is as old as two of its watches, since it counts from the
		// beginning of the one before.
		if c := node.replica.Routes.Holder.Confirmed(); c.By != route.FromRelay || c.Age() > 2*RelayWatchWait+AwaitWait+2*time.Millisecond {
			t.Errorf("routes confirmed by %q %v ago", c.By, c.Age())
		}
		if lists, watches := store.takeCalls("node"); lists != 0 || watches != 1 {
			t.Errorf("%d lists and %d watches, want none and 1", lists, watches)
		}
	})
}

// TestChangesOutlastTheRelays checks how long changes may take while one or both relays stop
// responding or lose the store at the moment of the change.
func TestChangesOutlastTheRelays(t *testing.T) {
	const storeRead = 50 * time.Millisecond
	cut := func(nodes ...string) func(*relayStore, *relayNetwork) {
		return func(store *relayStore, _ *relayNetwork) {
			store.mu.Lock()
			defer store.mu.Unlock()
			store.downFor = func(name, _ string) bool {
				for _, n := range nodes {
					if n == name {
						return true
					}
				}
				return false
			}
		}
	}
	silence := func(nodes ...string) func(*relayStore, *relayNetwork) {
		return func(_ *relayStore, n *relayNetwork) {
			for _, name := range nodes {
				n.silence(name, true)
			}
		}
	}
	for _, c := range []struct {
		name   string
		fault  func(*relayStore, *relayNetwork)
		within time.Duration
	}{
		{"one relay is silent", silence("seed-1"), AwaitWait + exchangeTimeout + searchTimeout + storeRead},
		{"both relays are silent", silence("seed-1", "seed-2"), AwaitWait + exchangeTimeout + searchTimeout + storeRead},
		{"one relay has lost the store", cut("seed-1"), RelayWatchWait + exchangeTimeout + storeRead},
		{"both relays have lost the store", cut("seed-1", "seed-2"), RelayWatchWait + exchangeTimeout + lossTolerance + searchTimeout + storeRead},
		{"one lost the store, the other is silent", func(s *relayStore, n *relayNetwork) { cut("seed-1")(s, n); silence("seed-2")(s, n) }, MaxRelayLag},
	} {
		t.Run(c.name, func(t *testing.T) {
			relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
				c.fault(store, n)
				changedAt := time.Now()
				store.put("routes", "main", "2")
				store.put("targets", "17", "")
				time.Sleep(10 * time.Second)
				checkApplied(t, n, node, changedAt, 2, "17", min(c.within, MaxRelayLag))
				cut()(store, n)
				n.silence("seed-1", false)
				n.silence("seed-2", false)
				time.Sleep(5 * time.Second)
				store.takeCalls("node")
				time.Sleep(time.Minute)
				if _, watches := store.takeCalls("node"); watches > 0 {
					t.Errorf("%d watches after the relays were back", watches)
				}
			})
		})
	}
}

// TestRoutesAreReadAfterTheTargetsLostTheStoreBesideARelay guards against routes that stay old
// for good: the follower of the targets lost the store, then waited for a relay, and kept the
// follower of the routes waiting for its next call to the store.
func TestRoutesAreReadAfterTheTargetsLostTheStoreBesideARelay(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
		n.silence("seed-1", true)
		n.silence("seed-2", true)
		for node.client.Relayed() {
			time.Sleep(10 * time.Millisecond)
		}
		// Both followers watch the store now, and still do when the relays are back.
		n.silence("seed-1", false)
		n.silence("seed-2", false)
		for !node.client.Relayed() {
			time.Sleep(10 * time.Millisecond)
		}
		store.setDown(func(name, kind string) bool { return name == "node" && kind == "targets" })
		time.Sleep(10 * time.Millisecond)
		store.setDown(func(string, string) bool { return false })
		time.Sleep(5 * time.Second)
		changedAt := time.Now()
		store.put("routes", "main", "2")
		store.put("targets", "17", "")
		time.Sleep(20 * time.Second)
		checkApplied(t, n, node, changedAt, 2, "17", 100*time.Millisecond)
		if node.breaker.Open() {
			t.Error("the store still counts as lost")
		}
	})
}

// TestLostHistoryIsMadeUpByTheRelay checks that an instance neither lists nor watches if the
// store is away for half a second and has no history afterwards.
func TestLostHistoryIsMadeUpByTheRelay(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
		setDown := func(down bool) {
			store.mu.Lock()
			defer store.mu.Unlock()
			store.downFor = func(string, string) bool { return down }
		}
		setDown(true)
		store.loseHistory()
		time.Sleep(500 * time.Millisecond)
		setDown(false)
		changedAt := time.Now()
		store.put("targets", "17", "")
		store.put("routes", "main", "2")
		time.Sleep(time.Minute)
		checkApplied(t, n, node, changedAt, 2, "17", 2*time.Second)
		if lists, watches := store.takeCalls("node"); lists > 1 || watches > 1 {
			t.Errorf("%d lists and %d watches", lists, watches)
		}
	})
}

// TestInvalidRoutesAreNotReadForever relays a revision of the routes that can't be applied.
func TestInvalidRoutesAreNotReadForever(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
		ahead, err := route.NewTable(route.Config{Revision: 7})
		if err != nil {
			t.Fatal(err)
		}
		for _, seed := range []string{"seed-1", "seed-2"} {
			n.nodes[seed].replica.Routes.Holder.Apply(ahead)
			n.nodes[seed].replica.NotifyChanged()
		}
		time.Sleep(time.Minute)
		// One cheap read and a strong one.
		if lists, watches := store.takeCalls("node"); lists+watches > 2 {
			t.Errorf("%d lists and %d watches, want up to 2", lists, watches)
		}
	})
}

// TestFailedReadsDontCountAsLookedFor guards against routes that stay old for good: a relay told
// of a newer revision, the store refused strong reads while cheap ones lagged, and the
// instance gave up.
func TestFailedReadsDontCountAsLookedFor(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
		refuse := func(refused bool) {
			store.mu.Lock()
			defer store.mu.Unlock()
			store.strongRefused = refused
		}
		refuse(true)
		store.put("routes", "main", "2")
		store.put("targets", "17", "")
		time.Sleep(20 * time.Second)
		refuse(false)
		recoveredAt := time.Now()
		time.Sleep(10 * time.Second)
		n.mu.Lock()
		defer n.mu.Unlock()
		if at := node.applied[2]; at.IsZero() || at.Sub(recoveredAt) > ownMaxBackoff+time.Second {
			t.Errorf("the routes came in force %v after the store took strong reads again", at.Sub(recoveredAt))
		}
	})
}

// TestMalformedRequestsAreRefused sends requests that are no request, and one that asks for a
// wait of days.
func TestMalformedRequestsAreRefused(t *testing.T) {
	relayTest(t, func(t *testing.T, _ *relayStore, n *relayNetwork, _ *relayNode) {
		seed := n.nodes["seed-1"]
		before := seed.replica.Versions()
		var malformed *peer.CodecError
		for _, body := range []string{"", "\xff", "\xa1\x01\x00", "\xa1\x02\x20"} {
			if _, err := seed.server.HandleAwaitChange("peer", []byte(body)); !errors.As(err, &malformed) {
				t.Errorf("%q: %v", body, err)
			}
		}
		request, err := peer.Encode(awaitRequest{Versions: before, WaitMillis: 1 << 31})
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		if _, err := seed.server.HandleAwaitChange("peer", request); err != nil || time.Since(start) > maxAwaitWait {
			t.Errorf("answered after %s: %v", time.Since(start), err)
		}
		if after := seed.replica.Versions(); after.Routes != before.Routes || after.Digest != before.Digest {
			t.Errorf("%+v became %+v", before, after)
		}
	})
}

// TestInstanceWithoutRelaysWatchesTheStore checks that an instance without a seed that relays
// watches the store itself.
func TestInstanceWithoutRelaysWatchesTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newRelayStore(1)
		n := &relayNetwork{nodes: make(map[string]*relayNode)}
		node := n.start(ctx, store, "node", "missing")
		time.Sleep(10 * time.Second)
		changedAt := time.Now()
		store.put("routes", "main", "2")
		store.put("targets", "0", "")
		time.Sleep(10 * time.Second)
		checkApplied(t, n, node, changedAt, 2, "0", 100*time.Millisecond)
		if node.client.Relayed() {
			t.Error("a seed that doesn't respond counts as a relay")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestRelayOfTheOwnRegionIsPreferred guards against relays of other regions that respond first,
// such as when a fleet starts: the one in the region is followed, also after its return.
func TestRelayOfTheOwnRegionIsPreferred(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newRelayStore(660)
		n := &relayNetwork{nodes: make(map[string]*relayNode)}
		here, there := model.Location{Region: "here", FailureDomain: "here-a"}, model.Location{Region: "there", FailureDomain: "there-a"}
		n.startAt(ctx, store, "seed-near", here)
		n.startAt(ctx, store, "seed-far", there)
		// The answers of the near relay arrive last.
		n.setDelay("seed-near", 100*time.Millisecond)
		node := n.startAt(ctx, store, "node", model.Location{Region: "here", FailureDomain: "here-b"}, "seed-far", "seed-near")
		time.Sleep(10 * time.Second)
		n.setDelay("seed-near", 0)
		check := func(what string, far bool) {
			t.Helper()
			before := n.sentOver(model.OtherRegion)
			time.Sleep(10 * time.Second)
			if sent := n.sentOver(model.OtherRegion) - before; (sent > 2000) != far {
				t.Errorf("%s: %d B between regions in 10 s", what, sent)
			}
		}
		check("both relays respond", false)
		n.silence("seed-near", true)
		time.Sleep(10 * time.Second)
		check("the near relay is silent", true)
		n.silence("seed-near", false)
		time.Sleep(2 * returnInterval)
		check("the near relay has returned", false)
		if !node.client.Relayed() {
			t.Error("no relay is followed")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestSearchesCarryNoChanges guards against searches for a relay, each of which brought all
// changes from each of the seeds.
func TestSearchesCarryNoChanges(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
		body, err := peer.Encode(awaitRequest{Versions: replica.Versions{AsOf: 1, Routes: 1}, Search: true})
		if err != nil {
			t.Fatal(err)
		}
		found, err := n.nodes["seed-1"].server.HandleAwaitChange("asker", body)
		if err != nil {
			t.Fatal(err)
		}
		if raw, err := peer.Encode(found); err != nil || len(raw) > 200 {
			t.Errorf("a search brings %d B, %v", len(raw), err)
		}
	})
}

// TestSlowRelayGivesWayToTheStore guards against a list that arrives in parts over a link that
// is too slow for it: the store is read, and no part is sent twice.
func TestSlowRelayGivesWayToTheStore(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, node *relayNode) {
		n.mu.Lock()
		n.linkBytes = 12_000
		n.mu.Unlock()
		for i := range 3700 {
			store.put("targets", fmt.Sprintf("i-%08x", i), "ready")
		}
		time.Sleep(catchUpTimeout + AwaitWait + 2*exchangeTimeout)
		if own, relay := node.replica.Versions(), n.nodes["seed-1"].replica.Versions(); own.AsOf != relay.AsOf || own.Digest != relay.Digest {
			t.Errorf("the instance holds %+v, the relay %+v", own, relay)
		}
	})
}

// TestStartingInstanceListsTargetsFromARelay guards against a fleet that starts and whose
// instances each list all targets from the store, across regions. Without a relay that is fast
// enough they still do.
func TestStartingInstanceListsTargetsFromARelay(t *testing.T) {
	for _, c := range []struct {
		name      string
		linkBytes int
		silent    bool
		lists     int
		within    time.Duration
	}{
		{"relays respond", 0, false, 1, searchInterval},
		{"relays are silent", 0, true, 2, startWait + searchInterval},
		{"relays are slow", 12_000, false, 2, startWait + searchInterval},
	} {
		t.Run(c.name, func(t *testing.T) {
			relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, _ *relayNode) {
				n.mu.Lock()
				n.linkBytes = c.linkBytes
				n.mu.Unlock()
				n.silence("seed-1", c.silent)
				n.silence("seed-2", c.silent)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				node := n.start(ctx, store, "starting", "seed-1", "seed-2")
				time.Sleep(c.within)
				if own, relay := node.replica.Versions(), n.nodes["seed-1"].replica.Versions(); own.Digest != relay.Digest {
					t.Errorf("the instance holds %+v, the relay %+v", own, relay)
				}
				if lists, _ := store.takeCalls("starting"); lists != c.lists {
					t.Errorf("%d lists from the store, want %d", lists, c.lists)
				}
			})
		})
	}
}

// TestCallersThatWaitEndTheWaitForARelay guards against a fleet that restarts under load and
// refuses requests until its relays are back. A list of more than one page isn't read for that:
// all instances at once would keep the store from the relays.
func TestCallersThatWaitEndTheWaitForARelay(t *testing.T) {
	for _, c := range []struct {
		targets, lists int
		within         time.Duration
	}{{pageObjects, 2, 2 * startPollInterval}, {pageObjects + 1, 3, startWait + searchInterval}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := newRelayStore(c.targets)
			n := &relayNetwork{nodes: make(map[string]*relayNode), demanded: make(chan struct{})}
			n.start(ctx, store, "seed-1")
			time.Sleep(time.Second)
			n.silence("seed-1", true)
			close(n.demanded)
			node := n.start(ctx, store, "node", "seed-1")
			time.Sleep(c.within)
			if own, relay := node.replica.Versions(), n.nodes["seed-1"].replica.Versions(); own.Digest != relay.Digest {
				t.Errorf("%d targets: the instance holds %+v, the store %+v", c.targets, own, relay)
			}
			if lists, _ := store.takeCalls("node"); lists != c.lists {
				t.Errorf("%d targets: %d lists from the store, want %d", c.targets, lists, c.lists)
			}
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
}

// TestStoreWithoutTargetsIsKnown checks that an instance that starts behind a relay learns that
// there are no targets: until then it isn't ready.
func TestStoreWithoutTargetsIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newRelayStore(0)
		n := &relayNetwork{nodes: make(map[string]*relayNode)}
		n.start(ctx, store, "seed-1")
		time.Sleep(time.Second)
		node := n.start(ctx, store, "node", "seed-1")
		time.Sleep(searchInterval)
		n.mu.Lock()
		if node.merged == 0 || node.replica.Versions().AsOf == 0 {
			t.Errorf("merged %d times, holds %+v", node.merged, node.replica.Versions())
		}
		n.mu.Unlock()
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestStartingInstanceWaitsForTheRelayOfItsRegion guards against a fleet that restarts at once
// and gets its lists from the region whose relay is back first.
func TestStartingInstanceWaitsForTheRelayOfItsRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newRelayStore(660)
		n := &relayNetwork{nodes: make(map[string]*relayNode)}
		n.startAt(ctx, store, "seed-far", model.Location{Region: "there"})
		time.Sleep(time.Second)
		node := n.startAt(ctx, store, "node", model.Location{Region: "here"}, "seed-far", "seed-near")
		time.Sleep(nearStartWait / 2)
		n.startAt(ctx, store, "seed-near", model.Location{Region: "here"})
		time.Sleep(startWait)
		if own, relay := node.replica.Versions(), n.nodes["seed-near"].replica.Versions(); own.Digest != relay.Digest {
			t.Errorf("the instance holds %+v, the relay %+v", own, relay)
		}
		if lists, _ := store.takeCalls("node"); lists != 1 || n.sentOver(model.OtherRegion) > 3000 {
			t.Errorf("%d lists from the store, %d B between regions", lists, n.sentOver(model.OtherRegion))
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestSeedOfTheOwnRegionIsAskedFirst guards against a fleet that starts and whose instances each
// connect to all seeds, of which two are in other regions.
func TestSeedOfTheOwnRegionIsAskedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := newRelayStore(660)
		n := &relayNetwork{nodes: make(map[string]*relayNode)}
		n.startAt(ctx, store, "seed-far", model.Location{Region: "there"})
		n.startAt(ctx, store, "seed-near", model.Location{Region: "here"})
		time.Sleep(time.Second)
		node := n.startAt(ctx, store, "node", model.Location{Region: "here"}, "seed-far", "seed-near")
		time.Sleep(time.Minute)
		// A question for the location and its answer.
		if sent := n.sentOver(model.OtherRegion); sent > 2*packetOverhead || !node.client.Relayed() {
			t.Errorf("%d B between regions, relayed: %v", sent, node.client.Relayed())
		}
		n.silence("seed-near", true)
		time.Sleep(AwaitWait + exchangeTimeout + searchTimeout)
		if !node.client.Relayed() || n.sentOver(model.OtherRegion) < 500 {
			t.Error("the relay of the other region is not followed")
		}
		cancel()
		time.Sleep(10 * time.Second)
	})
}

// TestStartOfAFleetSparesTheStore guards against lists of all gateways that fill the store's
// link, so that the relays, which started at the same time, get theirs late: while the relay
// responds, its list is waited for.
func TestStartOfAFleetSparesTheStore(t *testing.T) {
	for readyAfter, lists := range map[time.Duration]int{startWait * 3 / 2: 1, maxStartWait * 3 / 2: 2} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := newRelayStore(660)
			n := &relayNetwork{nodes: make(map[string]*relayNode), relaysFrom: time.Now().Add(readyAfter)}
			n.startAt(ctx, store, "seed-near", model.Location{Region: "here"})
			n.startAt(ctx, store, "node", model.Location{Region: "here"}, "seed-near")
			time.Sleep(2 * maxStartWait)
			if got, _ := store.takeCalls("node"); got != lists {
				t.Errorf("the relay is ready after %v: %d lists from the store, want %d", readyAfter, got, lists)
			}
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
}
