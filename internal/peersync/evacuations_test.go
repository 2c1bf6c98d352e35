package peersync

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/route"
)

// evacuationBound is the time within which an evacuation has to be in force.
const evacuationBound = 5 * time.Second

// evacuationsFollower returns the follower of a node's evacuations, as the gateway runs it.
func (n *relayNetwork) evacuationsFollower(node *relayNode, follower func(string, replica.View) *replica.Follower, o nodeObserver) *replica.Follower {
	view := &replica.Evacuations{Table: o, Observer: o, Decode: func(object replica.Object) (model.FailureDomain, error) {
		return model.FailureDomain(object.Name), nil
	}}
	f := follower("evacuations", view)
	f.Consistency, f.StartFromRelay = replica.Strong, true
	if node.client != nil {
		f.Relay = node.client.EvacuationsRelay()
	} else {
		view.OnChange, f.WatchWait = node.replica.NotifyChanged, 2*RelayWatchWait
	}
	node.replica.Evacuations = view
	return f
}

// SetEvacuated and the methods below implement replica.EvacuationTable and
// replica.EvacuationObserver.
func (nodeObserver) SetEvacuated(map[model.FailureDomain]bool) {}
func (nodeObserver) EvacuationRejected(string, error)          {}

func (o nodeObserver) EvacuationStarted(d model.FailureDomain, _, _ replica.Position, _ route.Source) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.evacuated[d] = time.Now()
}

func (o nodeObserver) EvacuationEnded(d model.FailureDomain, _ replica.Position, _ route.Source) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.node.returned[d] = time.Now()
}

// TestEvacuationsOutlastRelaysAndCuts evacuates a failure domain and takes it back while the
// relays or the store are lost at that moment. Each must be in force within the bound.
func TestEvacuationsOutlastRelaysAndCuts(t *testing.T) {
	cut := func(nodes ...string) func(string, string) bool {
		return func(name, _ string) bool {
			for _, n := range nodes {
				if n == name {
					return true
				}
			}
			return false
		}
	}
	for name, c := range map[string]struct {
		silent []string
		cut    []string
		within time.Duration
	}{
		"calm":                     {within: 100 * time.Millisecond},
		"the relay is silent":      {silent: []string{"seed-1"}, within: evacuationBound},
		"both relays are silent":   {silent: []string{"seed-1", "seed-2"}, within: evacuationBound},
		"a relay lost the store":   {cut: []string{"seed-1"}, within: evacuationBound},
		"both lost the store":      {cut: []string{"seed-1", "seed-2"}, within: evacuationBound},
		"one silent, one cut off":  {silent: []string{"seed-2"}, cut: []string{"seed-1"}, within: evacuationBound},
		"the node is cut off, too": {cut: []string{"seed-1", "node"}, within: evacuationBound},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := newRelayStore(10)
			n := &relayNetwork{nodes: make(map[string]*relayNode), evacuations: true}
			n.start(ctx, store, "seed-1")
			n.start(ctx, store, "seed-2")
			node := n.start(ctx, store, "node", "seed-1", "seed-2")
			time.Sleep(10 * time.Second)
			store.takeCalls("node")
			time.Sleep(time.Minute)
			if lists, watches := store.takeCalls("node"); lists+watches > 0 {
				t.Errorf("%s: %d calls to the store behind a relay, want none", name, lists+watches)
			}
			for _, addr := range c.silent {
				n.silence(addr, true)
			}
			store.setDown(cut(c.cut...))
			changedAt := time.Now()
			store.put("evacuations", "praha-a", "{}")
			time.Sleep(10 * time.Second)
			takenBackAt := time.Now()
			store.put("evacuations", "praha-a", "")
			time.Sleep(10 * time.Second)
			n.mu.Lock()
			for what, took := range map[string]time.Duration{
				"evacuation": node.evacuated["praha-a"].Sub(changedAt), "return": node.returned["praha-a"].Sub(takenBackAt),
			} {
				if took < 0 || took > c.within {
					t.Errorf("%s: the %s was in force after %v, want %v", name, what, took, c.within)
				}
			}
			n.mu.Unlock()
			cancel()
			time.Sleep(10 * time.Second)
		})
	}
}

func newEvacuations() *replica.Evacuations {
	return &replica.Evacuations{Table: nodeObserver{}, Observer: nopEvacuations{}, Decode: func(o replica.Object) (model.FailureDomain, error) {
		return model.FailureDomain(o.Name), nil
	}}
}

// nopEvacuations implements replica.EvacuationObserver.
type nopEvacuations struct{}

func (nopEvacuations) EvacuationStarted(model.FailureDomain, replica.Position, replica.Position, route.Source) {
}
func (nopEvacuations) EvacuationEnded(model.FailureDomain, replica.Position, route.Source) {}
func (nopEvacuations) EvacuationRejected(string, error)                                    {}

// TestEvacuationOutlivesRestartsWithoutStore restarts all gateways but one, seeds included,
// while the store is away: the one that kept running hands the evacuation on.
func TestEvacuationOutlivesRestartsWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		seed := n.add("seed", true)
		survivor := n.add("survivor", true, "seed")
		starter := n.add("starter", true, "seed")
		for _, s := range []*Syncer{seed, survivor, starter} {
			s.Replica.Evacuations = newEvacuations()
		}
		survivor.Replica.Evacuations.Replace(replica.Batch{AsOf: 9, Objects: []replica.Object{{Name: "praha-a", Revision: 3}}}, time.Time{})
		survivor.runFor(t, 4*time.Second)
		starter.runFor(t, 2*time.Second)
		for name, s := range n {
			if s.Replica.Evacuations.Count() != 1 {
				t.Errorf("%s knows %d evacuations, want 1", name, s.Replica.Evacuations.Count())
			}
		}
	})
}
