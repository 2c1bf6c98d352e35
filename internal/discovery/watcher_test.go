package discovery

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// inForceLimit is the time within which a change must be in force on all reachable
	// instances.
	inForceLimit = 5 * time.Second
	// peerDelay is the one-way network delay between two instances.
	peerDelay = 12 * time.Millisecond
)

// testStore is a store that can be down, hold back changes or serve stale reads.
type testStore struct {
	store.Store
	objects     *standin.Objects
	down        atomic.Bool
	holdChanges atomic.Bool
	// replica is the version that reads return; zero means the latest.
	replica  atomic.Uint64
	calls    atomic.Int64
	watching atomic.Int64
}

func (s *testStore) at() store.Version {
	if at := s.replica.Load(); at > 0 {
		return store.Version(at)
	}
	return s.objects.Version()
}

func (s *testStore) List(_ context.Context, prefix string) (store.Batch, error) {
	s.calls.Add(1)
	if s.down.Load() {
		return store.Batch{}, &store.UnavailableError{Op: "list", Cause: &store.StatusError{Status: 503}}
	}
	b := s.objects.SinceAsOf(prefix, 0, s.at())
	return b, nil
}

func (s *testStore) Watch(ctx context.Context, prefix string, after store.Version) (store.Batch, error) {
	s.calls.Add(1)
	s.watching.Add(1)
	defer s.watching.Add(-1)
	timeout := time.After(20 * time.Second)
	for {
		if s.down.Load() {
			return store.Batch{}, &store.UnavailableError{Op: "watch", Cause: &store.StatusError{Status: 503}}
		}
		wake := s.objects.NextWrite()
		b := s.objects.SinceAsOf(prefix, after, s.at())
		if len(b.Changes) > 0 && !s.holdChanges.Load() {
			return b, nil
		}
		select {
		case <-wake:
		case <-time.After(time.Second):
		case <-timeout:
			return store.Batch{Next: after}, nil
		case <-ctx.Done():
			return store.Batch{}, &store.UnavailableError{Op: "watch", Cause: ctx.Err()}
		}
	}
}

// testFleet is a set of watchers in a ring, each connected to its closest neighbors.
type testFleet struct {
	objects *standin.Objects
	mu      sync.Mutex
	nodes   []*testNode
	// partition is the set of regions that are disconnected from the others.
	partition map[model.Region]bool
	stop      context.CancelFunc
	ctx       context.Context
}

type testNode struct {
	f     *testFleet
	self  fleet.Member
	store *testStore
	w     *Watcher
	ring  *events.Ring
	held  fleet.ReplicaVersions
	// muted disconnects the instance from the others.
	muted bool
}

var testDomains = []model.Location{
	{Region: "praha", FailureDomain: "praha-a"}, {Region: "brno", FailureDomain: "brno-a"},
	{Region: "ostrava", FailureDomain: "ostrava-a"}, {Region: "praha", FailureDomain: "praha-b"},
	{Region: "brno", FailureDomain: "brno-b"}, {Region: "ostrava", FailureDomain: "ostrava-b"},
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{objects: standin.NewObjects(), partition: make(map[model.Region]bool)}
	f.ctx, f.stop = context.WithCancel(context.Background())
	f.write(1)
	f.objects.Write(store.TargetsPrefix+"nahled", 0, []byte(`[]`), false)
	for range n {
		f.add()
	}
	for _, node := range f.nodes {
		node.run()
	}
	time.Sleep(10 * time.Second)
	return f
}

// write stores a revision of the configuration.
func (f *testFleet) write(revision int) {
	old, _ := f.objects.Get(store.ConfigKey)
	text := fmt.Sprintf(`{"revision":%d,"services":{"nahled":{"class":"idempotent"}}}`, revision)
	f.objects.Write(store.ConfigKey, old.Version, []byte(text), false)
}

func (f *testFleet) add() *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.nodes)
	at := testDomains[i%len(testDomains)]
	n := &testNode{f: f, store: &testStore{objects: f.objects}}
	n.self = fleet.Member{ID: model.InstanceID(fmt.Sprintf("%s-%d", at.FailureDomain, i)), Location: at}
	n.ring = events.NewRing(n.self.ID, events.NewClock(time.Now), 64)
	n.w = &Watcher{
		Store: n.store, Table: routing.NewTable(at), Config: config.NewSnapshotHolder(at), Recorder: n.ring,
		RetryDelay: 500 * time.Millisecond, Members: fleet.NewMembers(n.self), Peers: n, Self: n.self,
	}
	f.nodes = append(f.nodes, n)
	var members []fleet.Member
	for _, other := range f.nodes {
		members = append(members, other.self)
	}
	for _, other := range f.nodes {
		other.w.Members.Set(members)
	}
	return n
}

func (n *testNode) run() { go n.w.Run(n.f.ctx) }

// neighbors returns the reachable instances at most three positions away in the ring.
func (n *testNode) neighbors() []*testNode {
	n.f.mu.Lock()
	defer n.f.mu.Unlock()
	var out []*testNode
	count := len(n.f.nodes)
	for i, other := range n.f.nodes {
		for step := 1; step <= 3; step++ {
			if n.f.nodes[(i+step)%count] == n || n.f.nodes[(i+count-step)%count] == n {
				if other != n && !other.muted && !n.f.partitioned(n, other) {
					out = append(out, other)
				}
				break
			}
		}
	}
	return out
}

func (f *testFleet) partitioned(a, b *testNode) bool {
	return f.partition[a.self.Location.Region] != f.partition[b.self.Location.Region]
}

// PeerVersions implements Peers.
func (n *testNode) PeerVersions() []fleet.PeerVersions {
	var out []fleet.PeerVersions
	for _, other := range n.neighbors() {
		n.f.mu.Lock()
		held := other.held
		n.f.mu.Unlock()
		out = append(out, fleet.PeerVersions{Member: other.self, Versions: held})
	}
	return out
}

// OtherInstances implements Peers.
func (n *testNode) OtherInstances() []fleet.Member { return n.w.Members.Live()[1:] }

// Announce implements Peers.
func (n *testNode) Announce(h fleet.ReplicaVersions) {
	n.f.mu.Lock()
	changed := n.held != h
	n.held = h
	n.f.mu.Unlock()
	if changed {
		time.AfterFunc(peerDelay, n.f.notifyAll)
	}
}

// notifyAll makes every watcher check its peers, as an announcement or a new
// connection does.
func (f *testFleet) notifyAll() {
	f.mu.Lock()
	nodes := append([]*testNode{}, f.nodes...)
	f.mu.Unlock()
	for _, n := range nodes {
		n.w.HandleAnnouncement("", fleet.ReplicaVersions{})
	}
}

// Call implements Peers.
func (n *testNode) Call(_ context.Context, to model.InstanceID, _ peer.Op, body, response any) error {
	for _, other := range n.neighbors() {
		if other.self.ID != to {
			continue
		}
		time.Sleep(2 * peerDelay)
		raw, err := peer.Encode(body)
		if err != nil {
			return err
		}
		result, err := other.w.HandleReadObjects(n.self.ID, raw)
		if err != nil {
			return err
		}
		*response.(*objectsResponse) = *result.(*objectsResponse)
		return nil
	}
	return &peer.NotConnectedError{Peer: to}
}

func (n *testNode) revision() model.Revision {
	current := n.w.Config.Current()
	if current == nil {
		return 0
	}
	return current.Document.Revision
}

// expect waits for inForceLimit and fails unless all matching instances have the
// revision in force.
func (f *testFleet) expect(t *testing.T, what string, want model.Revision, match func(*testNode) bool) {
	t.Helper()
	time.Sleep(inForceLimit)
	for _, n := range f.nodes {
		if match(n) && n.revision() != want {
			t.Errorf("%s: %s has revision %d in force, want %d", what, n.self.ID, n.revision(), want)
		}
	}
}

func everyInstance(*testNode) bool { return true }

func testWithFleet(t *testing.T, n int, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(n)
		test(t, f)
		f.stop()
		time.Sleep(time.Minute)
	})
}

func TestFewInstancesWatch(t *testing.T) {
	testWithFleet(t, 18, func(t *testing.T, f *testFleet) {
		var watching int64
		for _, n := range f.nodes {
			watching += n.store.watching.Load()
			if !n.w.Ready() {
				t.Errorf("%s is not ready", n.self.ID)
			}
		}
		if want := int64(3 * watchersPerRegion * 2); watching != want {
			t.Errorf("%d watches are open, want %d", watching, want)
		}
		f.write(2)
		f.expect(t, "a change", 2, everyInstance)
	})
}

func TestPeersReplaceHungWatches(t *testing.T) {
	testWithFleet(t, 18, func(t *testing.T, f *testFleet) {
		for _, n := range f.nodes {
			n.store.holdChanges.Store(n.self.Location.Region == "brno")
		}
		f.write(2)
		f.expect(t, "with hung watches", 2, everyInstance)
	})
}

func TestPartitionedRegionCatchesUp(t *testing.T) {
	testWithFleet(t, 18, func(t *testing.T, f *testFleet) {
		isPartitioned := func(n *testNode) bool { return n.self.Location.Region == "ostrava" }
		set := func(partition bool) {
			f.mu.Lock()
			f.partition["ostrava"] = partition
			f.mu.Unlock()
			for _, n := range f.nodes {
				n.store.down.Store(partition && isPartitioned(n))
			}
		}
		set(true)
		f.write(2)
		f.expect(t, "outside the partition", 2, func(n *testNode) bool { return !isPartitioned(n) })
		f.expect(t, "inside the partition", 1, isPartitioned)
		set(false)
		f.notifyAll()
		f.expect(t, "after the partition", 2, everyInstance)
	})
}

func TestStaleReadsAreIgnored(t *testing.T) {
	testWithFleet(t, 6, func(t *testing.T, f *testFleet) {
		f.write(2)
		f.expect(t, "before", 2, everyInstance)
		joiner := f.add()
		joiner.store.replica.Store(1)
		joiner.run()
		for !joiner.w.Ready() {
			time.Sleep(time.Millisecond)
		}
		if joiner.revision() != 2 {
			t.Errorf("the instance was ready with revision %d", joiner.revision())
		}
		for _, n := range f.nodes {
			n.store.replica.Store(1)
		}
		time.Sleep(time.Minute)
		f.expect(t, "with stale reads", 2, everyInstance)
	})
}

func TestLowerRevisionIsRejectedAndRecorded(t *testing.T) {
	testWithFleet(t, 6, func(t *testing.T, f *testFleet) {
		f.write(5)
		f.expect(t, "before", 5, everyInstance)
		f.write(3)
		f.expect(t, "after a lower one was written", 5, everyInstance)
		for _, n := range f.nodes {
			stale := 0
			for _, e := range n.ring.Snapshot() {
				if e.Kind == events.RevisionStale && e.Revision == 3 {
					stale++
				}
			}
			if stale == 0 {
				t.Errorf("%s did not record the lower revision", n.self.ID)
			}
		}
	})
}

func TestReadyFromPeersOfTwoFailureDomains(t *testing.T) {
	testWithFleet(t, 6, func(t *testing.T, f *testFleet) {
		f.write(2)
		f.expect(t, "before", 2, everyInstance)
		joiner := f.add()
		joiner.store.down.Store(true)
		f.mu.Lock()
		for _, n := range f.nodes[1:6] {
			n.muted = true
		}
		f.mu.Unlock()
		joiner.run()
		f.notifyAll()
		time.Sleep(time.Minute)
		if joiner.w.Ready() {
			t.Error("ready with peers of one failure domain")
		}
		f.mu.Lock()
		for _, n := range f.nodes[1:6] {
			n.muted = false
		}
		f.mu.Unlock()
		f.notifyAll()
		time.Sleep(time.Second)
		if !joiner.w.Ready() || joiner.revision() != 2 {
			t.Errorf("ready %t with revision %d", joiner.w.Ready(), joiner.revision())
		}
	})
}

// TestNoRetryStormAfterAnOutage counts the calls to the store during an outage of ten
// minutes and after it.
func TestNoRetryStormAfterAnOutage(t *testing.T) {
	testWithFleet(t, 18, func(t *testing.T, f *testFleet) {
		calls := func() (total int64) {
			for _, n := range f.nodes {
				total += n.store.calls.Load()
			}
			return total
		}
		for _, n := range f.nodes {
			n.store.down.Store(true)
		}
		time.Sleep(time.Minute)
		before := calls()
		time.Sleep(10 * time.Minute)
		watches := int64(3 * watchersPerRegion * 2)
		if during := calls() - before; during > watches*10*60/2 {
			t.Errorf("%d calls in ten minutes of outage", during)
		}
		f.write(2)
		before = calls()
		for _, n := range f.nodes {
			n.store.down.Store(false)
		}
		time.Sleep(10 * time.Second)
		if after := calls() - before; after > 3*watches {
			t.Errorf("%d calls in the ten seconds after the outage", after)
		}
		f.expect(t, "after the outage", 2, everyInstance)
	})
}
