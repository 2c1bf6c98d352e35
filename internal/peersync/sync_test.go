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
func (nopObserver) TargetUpdated(model.Target, replica.Position) {}
func (nopObserver) TargetRemoved(model.TargetID, bool)           {}
func (nopObserver) TargetRejected(string, error)                 {}
func (nopObserver) StoreReturned(replica.Return)                 {}
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
		Seeds:      newTestSeeds(false, seeds...),
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

// TestExchangesFitTheBudgetAtAnySize checks that a ready gateway exchanges state at the same
// interval with many targets as with few, and what an exchange costs: some tens of bytes
// without differences, and as much as differs otherwise.
func TestExchangesFitTheBudgetAtAnySize(t *testing.T) {
	const (
		equalBytes     = 100
		differentBytes = 10 * 200
	)
	for _, targets := range []int{60, 660, 3700} {
		n := make(network)
		seed, asker := n.add("seed", true), n.add("asker", true, "seed")
		list := replica.Batch{AsOf: 9}
		for i := range targets {
			list.Objects = append(list.Objects, replica.Object{Name: "target-" + strconv.Itoa(i), Revision: 3})
		}
		for _, s := range []*Syncer{seed, asker} {
			applyRoutes(t, s)
			s.Replica.Targets.Replace(list, time.Time{})
		}
		if got := asker.interval(); got != steadyInterval {
			t.Errorf("with %d targets the interval is %v", targets, got)
		}
		if bytes := exchangeBytes(t, seed, asker); bytes > equalBytes {
			t.Errorf("with %d equal targets an exchange takes %d bytes", targets, bytes)
		}
		for i := range replica.Position(10) {
			change := replica.Object{Name: "target-" + i.String(), Revision: 10 + i, Deleted: i%2 == 0}
			seed.Replica.Targets.Update(replica.Batch{AsOf: 10 + i, Objects: []replica.Object{change}}, time.Time{})
		}
		if bytes := exchangeBytes(t, seed, asker); bytes > differentBytes {
			t.Errorf("with %d targets and 10 differences an exchange takes %d bytes", targets, bytes)
		}
		asker.exchange(t.Context(), "seed")
		if got, want := asker.Replica.Versions(), seed.Replica.Versions(); got != want {
			t.Errorf("with %d targets: %+v after an exchange, want %+v", targets, got, want)
		}
	}
}

func applyRoutes(t *testing.T, s *Syncer) {
	t.Helper()
	table, err := route.NewTable(route.Config{Revision: 1})
	if err != nil {
		t.Fatal(err)
	}
	s.Replica.Routes.Holder.Apply(table)
}

// exchangeBytes returns the size of a request of asker to seed and its response.
func exchangeBytes(t *testing.T, seed, asker *Syncer) int {
	t.Helper()
	request, err := peer.Encode(asker.names.ownVersions(asker.Replica))
	if err != nil {
		t.Fatal(err)
	}
	state, err := seed.HandleFetchState("asker", request)
	if err != nil {
		t.Fatal(err)
	}
	response, err := peer.Encode(state)
	if err != nil {
		t.Fatal(err)
	}
	return len(request) + len(response)
}

// TestDivergedListsAreComparedByName checks that an entry that a peer lacks without a
// known removal is found by comparing all names, within the budget for that.
func TestDivergedListsAreComparedByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		seed, asker := n.add("seed", true), n.add("asker", true, "seed")
		object := func(name string) replica.Object { return replica.Object{Name: name, Revision: 3} }
		seed.Replica.Targets.Replace(replica.Batch{AsOf: 9, Objects: []replica.Object{object("a"), object("b")}}, time.Time{})
		asker.Replica.Targets.Replace(replica.Batch{AsOf: 9, Objects: []replica.Object{object("a"), object("b"), object("c")}}, time.Time{})
		go func() {
			for revision := replica.Position(10); revision < 14; revision++ {
				time.Sleep(time.Second)
				seed.Replica.Targets.Update(replica.Batch{AsOf: revision}, time.Time{})
			}
		}()
		asker.runFor(t, 8*time.Second)
		if got, want := asker.Replica.Versions(), seed.Replica.Versions(); got != want {
			t.Errorf("%+v, want %+v", got, want)
		}
	})
}
