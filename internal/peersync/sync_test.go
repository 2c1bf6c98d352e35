package peersync

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/route"
)

var errNoListener = errors.New("no listener")

// network connects syncers by address and encodes their messages.
type network map[string]*Syncer

// CallAddr implements Transport.
func (n network) CallAddr(_ context.Context, addr string, op peer.Op, body, response any) (model.InstanceID, error) {
	to := n[addr]
	if to == nil {
		return "", errNoListener
	}
	raw, err := peer.Encode(body)
	if err != nil {
		return "", err
	}
	handle := map[peer.Op]peer.RequestHandler{peer.OpFetchState: to.HandleFetchState, peer.OpPushState: to.HandlePushState}[op]
	out, err := handle("asker", raw)
	if err != nil {
		return "", err
	}
	if raw, err = peer.Encode(out); err != nil {
		return "", err
	}
	return model.InstanceID(addr), peer.Decode(raw, response)
}

type nopObserver struct{}

func (nopObserver) SetTargets(model.ServiceName, []model.Target) {}
func (nopObserver) TargetUpdated(model.Target, uint64)           {}
func (nopObserver) TargetRemoved(model.TargetID, bool)           {}
func (nopObserver) TargetRejected(string, error)                 {}
func (nopObserver) RoutesApplied(*route.Table)                   {}
func (nopObserver) RoutesRejected(error)                         {}

// add adds a syncer to the network. It exchanges state if needsPeers is set.
func (n network) add(addr string, needsPeers bool, seeds ...string) *Syncer {
	s := &Syncer{
		Replica: &replica.Replica{
			Routes: &replica.Routes{Holder: route.NewHolder(), Observer: nopObserver{}},
			Targets: &replica.Targets{Table: nopObserver{}, Observer: nopObserver{}, Decode: func(o replica.Object) (model.Target, error) {
				return model.Target{ID: model.TargetID(o.Name), Service: "a"}, nil
			}},
		},
		NeedsPeers: func() bool { return needsPeers },
		OnMerge:    func() {},
		Transport:  n,
		Seeds:      seeds,
		Log:        zap.NewNop(),
	}
	n[addr] = s
	return s
}

func setTargets(s *Syncer) {
	s.Replica.Targets.Replace(replica.Batch{AsOf: 9, Objects: []replica.Object{{Name: "t", Revision: 3}}}, time.Time{})
}

func (s *Syncer) runFor(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	s.Run(ctx)
}

func TestGatewayWithoutStateGetsItFromASeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		setTargets(n.add("seed", false))
		starter := n.add("starter", true, "dead", "seed")
		starter.runFor(t, 8*time.Second)
		if starter.Replica.Versions().AsOf != 9 {
			t.Errorf("received %+v", starter.Replica.Versions())
		}
	})
}

// TestSeedRelaysStateOfOneGateway starts a seed without state: a gateway that kept
// running offers its state to the seed, and a new gateway gets it from there.
func TestSeedRelaysStateOfOneGateway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		n.add("seed", true)
		survivor := n.add("survivor", true, "seed")
		setTargets(survivor)
		survivor.runFor(t, 4*time.Second)
		starter := n.add("starter", true, "seed")
		starter.runFor(t, 2*time.Second)
		if starter.Replica.Versions().AsOf != 9 {
			t.Errorf("received %+v", starter.Replica.Versions())
		}
	})
}

func TestNoExchangeWhileTheStoreIsAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		connected := n.add("settled", false, "seed")
		survivor := n.add("seed", true, "settled")
		setTargets(survivor)
		connected.runFor(t, 8*time.Second)
		survivor.runFor(t, 8*time.Second)
		if got := connected.Replica.Versions().AsOf; got != 0 {
			t.Errorf("merged a list as of %d", got)
		}
	})
}

// TestOnlyPeersWithStrongReadsRelay checks that a peer counts as a relay for relayTTL
// after its response if it uses only strong reads, and not otherwise.
func TestOnlyPeersWithStrongReadsRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		seed := n.add("seed", false)
		asker := n.add("asker", true, "seed")
		asker.runFor(t, 4*time.Second)
		if asker.RelayActive() {
			t.Error("a peer without strong reads counts as a relay")
		}
		seed.Replica.StrongReads = func() bool { return true }
		asker.runFor(t, 4*time.Second)
		if !asker.RelayActive() {
			t.Error("a peer with strong reads doesn't count as a relay")
		}
		time.Sleep(relayTTL)
		if asker.RelayActive() {
			t.Error("an old response still counts")
		}
	})
}

// TestExchangeIntervalGrowsWithTheList checks that exchanges stay within 1 kB/s.
func TestExchangeIntervalGrowsWithTheList(t *testing.T) {
	s := make(network).add("a", true)
	if got := s.interval(); got != initialInterval {
		t.Errorf("the interval of a gateway without state is %v", got)
	}
	table, err := route.NewTable(route.Config{Revision: 1})
	if err != nil {
		t.Fatal(err)
	}
	s.Replica.Routes.Holder.Apply(table)
	for targets, want := range map[int]time.Duration{269: steadyInterval, 3000: 12 * time.Second} {
		list := replica.Batch{AsOf: 9}
		for n := range targets {
			list.Objects = append(list.Objects, replica.Object{Name: strconv.Itoa(n), Revision: 3})
		}
		s.Replica.Targets.Replace(list, time.Time{})
		if got := s.interval(); got != want {
			t.Errorf("with %d targets the interval is %v, want %v", targets, got, want)
		}
		if s.CanRelay() != (want == steadyInterval) {
			t.Errorf("with %d targets CanRelay is %v", targets, s.CanRelay())
		}
	}
}
