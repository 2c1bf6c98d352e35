package peersync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/replica"
)

// returnDrill plays returns of the store from an older copy in a fleet of two relays and other
// instances.
type returnDrill struct {
	*testing.T
	rng   *rand.Rand
	store *relayStore
	net   *relayNetwork
	nodes map[string]*relayNode
	// routes is the latest version of the routes, cut the instances that reach neither the
	// store nor their peers.
	routes int
	cut    []string
}

// change makes a random change of the store and lets a short time pass.
func (d *returnDrill) change() {
	name := strconv.Itoa(d.rng.IntN(80))
	switch d.rng.IntN(4) {
	case 0:
		d.routes++
		d.store.put("routes", "main", strconv.Itoa(d.routes))
	case 1:
		d.store.put("targets", name, "")
	default:
		d.store.put("targets", name, "a")
	}
	time.Sleep(time.Duration(d.rng.IntN(200)) * time.Millisecond)
}

// changeOften makes up to n random changes.
func (d *returnDrill) changeOften(n int) {
	for range d.rng.IntN(n + 1) {
		d.change()
	}
}

// cutOff cuts instances off from the store and from their peers; none ends that.
func (d *returnDrill) cutOff(names ...string) {
	for _, name := range d.cut {
		d.net.silence(name, false)
	}
	d.cut = names
	for _, name := range names {
		d.net.silence(name, true)
	}
	d.reachStore()
}

// reachStore lets all instances reach the store that aren't cut off.
func (d *returnDrill) reachStore() {
	cut := d.cut
	d.store.setDown(func(node, _ string) bool { return slices.Contains(cut, node) })
}

// returnStore lets the store lose up to ten changes, be away and return, once or twice. Then
// all that was lost is written again, in any order, between other changes.
func (d *returnDrill) returnStore(ctx context.Context) {
	older := d.store.copy()
	d.changeOften(10)
	if d.rng.IntN(2) == 0 {
		// Half of the fleet, or one instance of each kind.
		d.cutOff([][]string{{"seed-1", "node-1", "node-2"}, {"seed-2"}, {"node-3"}}[d.rng.IntN(3)]...)
		d.changeOften(4)
	}
	d.store.setDown(func(string, string) bool { return true })
	time.Sleep(time.Duration(d.rng.IntN(1500)) * time.Millisecond)
	if d.rng.IntN(2) == 0 {
		name := fmt.Sprint("late-", len(d.nodes))
		d.nodes[name] = d.net.start(ctx, d.store, name, "seed-1", "seed-2")
		time.Sleep(time.Duration(d.rng.IntN(500)) * time.Millisecond)
	}
	lost := []relayCopy{d.store.restore(older)}
	if d.rng.IntN(3) == 0 {
		d.reachStore()
		time.Sleep(time.Duration(d.rng.IntN(800)) * time.Millisecond)
		lost = append(lost, d.store.restore(older))
	}
	// Revisions are given out again before anybody reads the store.
	for range d.rng.IntN(40) {
		d.store.put("targets", "spare", "a")
	}
	d.reachStore()
	for _, l := range lost {
		for kind, objects := range l.objects {
			for name, o := range objects {
				if kind == "routes" {
					d.store.put(kind, name, strconv.Itoa(d.routes))
				} else {
					d.store.put(kind, name, string(o.Value))
				}
			}
		}
	}
	d.changeOften(6)
	d.cutOff()
}

// check compares what each instance holds with the store.
func (d *returnDrill) check() {
	var want []string
	d.store.mu.Lock()
	for name, o := range d.store.objects["targets"] {
		if !o.Deleted {
			want = append(want, name)
		}
	}
	era := d.store.revision.Era()
	d.store.mu.Unlock()
	slices.Sort(want)
	for name, node := range d.nodes {
		delta := node.replica.DeltaFor(replica.Versions{})
		var got []string
		for _, e := range delta.Entries() {
			got = append(got, e.Name)
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			d.Errorf("%s holds targets %v, the store %v", name, got, want)
		}
		if delta.Versions.Routes != model.Revision(d.routes) || delta.Versions.AsOf.Era() != era {
			d.Errorf("%s holds routes %d as of %v, the store %d of era %d", name, delta.Versions.Routes, delta.Versions.AsOf, d.routes, era)
		}
	}
}

// TestFleetFollowsAReturnedStore guards against a store that returns from an older copy: beside
// relays that are cut off, instances that start meanwhile and a second return, all follow it
// once it is calm, and the routes never go back.
func TestFleetFollowsAReturnedStore(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := &returnDrill{T: t, rng: rand.New(rand.NewPCG(seed, 44)), store: newRelayStore(60), net: &relayNetwork{nodes: make(map[string]*relayNode)}, nodes: make(map[string]*relayNode), routes: 1}
				for _, name := range []string{"seed-1", "seed-2", "alone"} {
					d.nodes[name] = d.net.start(ctx, d.store, name)
				}
				for _, name := range []string{"node-1", "node-2", "node-3"} {
					d.nodes[name] = d.net.start(ctx, d.store, name, "seed-1", "seed-2")
				}
				time.Sleep(5 * time.Second)
				for range 4 {
					d.changeOften(20)
					d.returnStore(ctx)
					time.Sleep(12 * time.Second)
					d.check()
				}
				cancel()
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestStartingInstanceGetsRoutesThatTheStoreLost guards against an instance that starts after
// the store returned from an older copy: it must not serve by the older routes until they are
// written again, where its relay knows newer ones.
func TestStartingInstanceGetsRoutesThatTheStoreLost(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, _ *relayNode) {
		older := store.copy()
		store.put("routes", "main", "7")
		time.Sleep(2 * time.Second)
		store.restore(older)
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		node := n.start(ctx, store, "late", "seed-1", "seed-2")
		time.Sleep(time.Second)
		if got := node.replica.Versions().Routes; got != 7 {
			t.Errorf("routes %d, want 7", got)
		}
	})
}

// TestOlderBuildFollowsRelaysOfANewerOne plays an instance whose build knows no eras: it takes the
// lists of its relays also after the store has returned from an older copy.
func TestOlderBuildFollowsRelaysOfANewerOne(t *testing.T) {
	relayTest(t, func(t *testing.T, store *relayStore, n *relayNetwork, _ *relayNode) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store.mu.Lock()
		store.withoutEras = "older"
		store.mu.Unlock()
		node := n.start(ctx, store, "older", "seed-1", "seed-2")
		time.Sleep(5 * time.Second)
		older := store.copy()
		store.put("targets", "17", "")
		time.Sleep(2 * time.Second)
		store.restore(older)
		time.Sleep(2 * time.Second)
		store.put("targets", "17", "")
		store.put("targets", "18", "")
		store.put("targets", "new", "a")
		time.Sleep(5 * time.Second)
		names := make(map[string]bool)
		for _, e := range node.replica.DeltaFor(replica.Versions{}).Targets {
			names[e.Name] = true
		}
		if !node.client.Relayed() || names["17"] || names["18"] || !names["new"] || !names["19"] {
			t.Errorf("relayed %t; 17 %t, 18 %t, new %t, 19 %t", node.client.Relayed(), names["17"], names["18"], names["new"], names["19"])
		}
	})
}
