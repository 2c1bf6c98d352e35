package share

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/catalog"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/route"
)

var errDead = errors.New("nobody listens")

// network is a stand-in of the inner protocol between sharers.
type network map[string]*Sharer

// CallAddr implements Caller.
func (n network) CallAddr(_ context.Context, addr string, op peer.Op, body, answer any) (model.InstanceID, error) {
	to := n[addr]
	if to == nil {
		return "", errDead
	}
	raw, err := peer.Encode(body)
	if err != nil {
		return "", err
	}
	serve := map[peer.Op]peer.RequestHandler{peer.OpFetchState: to.Serve, peer.OpPushState: to.Take}[op]
	out, err := serve("asker", raw)
	if err != nil {
		return "", err
	}
	if raw, err = peer.Encode(out); err != nil {
		return "", err
	}
	return model.InstanceID(addr), peer.Decode(raw, answer)
}

type sink struct{}

func (sink) SetTargets(model.ServiceName, []model.Target) {}
func (sink) TargetLearnt(model.Target, uint64)            {}
func (sink) TargetGone(model.TargetID, bool)              {}
func (sink) TargetRejected(string, error)                 {}
func (sink) RoutesInForce(*route.Table)                   {}
func (sink) RoutesRejected(error)                         {}

// add puts a sharer into the network; it has to exchange while it lacks the store.
func (n network) add(addr string, lacking bool, seeds ...string) *Sharer {
	s := &Sharer{
		Known: &catalog.Known{
			Routes: &catalog.Routes{Holder: route.NewHolder(), Observer: sink{}},
			Targets: &catalog.Targets{Table: sink{}, Observer: sink{}, Decode: func(o catalog.Object) (model.Target, error) {
				return model.Target{ID: model.TargetID(o.Name), Service: "a"}, nil
			}},
		},
		Lacking: func() bool { return lacking },
		Adopted: func() {},
		Caller:  n,
		Seeds:   seeds,
		Log:     zap.NewNop(),
	}
	n[addr] = s
	return s
}

func listed(s *Sharer) {
	s.Known.Targets.Replace(catalog.Batch{AsOf: 9, Objects: []catalog.Object{{Name: "t", Revision: 3}}}, time.Time{})
}

func (s *Sharer) runFor(t *testing.T, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	s.Run(ctx)
}

func TestAStarterLearnsFromASeedThatKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		listed(n.add("seed", false))
		starter := n.add("starter", true, "dead", "seed")
		starter.runFor(t, 8*time.Second)
		if starter.Known.Versions().AsOf != 9 {
			t.Errorf("learnt %+v", starter.Known.Versions())
		}
	})
}

// TestOneThatKnowsIsEnough restarts the seed as well: a gateway that kept running
// hands it what it knows, and a starter learns it there.
func TestOneThatKnowsIsEnough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		n.add("seed", true)
		survivor := n.add("survivor", true, "seed")
		listed(survivor)
		survivor.runFor(t, 4*time.Second)
		starter := n.add("starter", true, "seed")
		starter.runFor(t, 2*time.Second)
		if starter.Known.Versions().AsOf != 9 {
			t.Errorf("learnt %+v", starter.Known.Versions())
		}
	})
}

func TestNothingIsAskedOrTakenWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		settled := n.add("settled", false, "seed")
		survivor := n.add("seed", true, "settled")
		listed(survivor)
		settled.runFor(t, 8*time.Second)
		survivor.runFor(t, 8*time.Second)
		if got := settled.Known.Versions().AsOf; got != 0 {
			t.Errorf("took over a list as of %d", got)
		}
	})
}

// TestOnlyAnAssuredPeerRelays checks that the word of a peer counts for a while if it
// accepts only the newest answers, and not otherwise.
func TestOnlyAnAssuredPeerRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := make(network)
		seed := n.add("seed", false)
		asker := n.add("asker", true, "seed")
		asker.runFor(t, 4*time.Second)
		if asker.Relayed() {
			t.Error("a peer that accepts cheap answers counts")
		}
		seed.Known.Assured = func() bool { return true }
		asker.runFor(t, 4*time.Second)
		if !asker.Relayed() {
			t.Error("an assured peer doesn't count")
		}
		time.Sleep(relayLife)
		if asker.Relayed() {
			t.Error("old word still counts")
		}
	})
}

// TestLongListsAreExchangedRarely holds the cost of exchanges within 1 kB a second.
func TestLongListsAreExchangedRarely(t *testing.T) {
	s := make(network).add("a", true)
	if got := s.pause(); got != hungryPause {
		t.Errorf("a gateway that knows nothing pauses %v", got)
	}
	table, err := route.NewTable(route.Config{Revision: 1})
	if err != nil {
		t.Fatal(err)
	}
	s.Known.Routes.Holder.Offer(table)
	for targets, want := range map[int]time.Duration{269: calmPause, 3000: 12 * time.Second} {
		list := catalog.Batch{AsOf: 9}
		for n := range targets {
			list.Objects = append(list.Objects, catalog.Object{Name: strconv.Itoa(n), Revision: 3})
		}
		s.Known.Targets.Replace(list, time.Time{})
		if got := s.pause(); got != want {
			t.Errorf("with %d targets the pause is %v, want %v", targets, got, want)
		}
		if s.CanRelay() != (want == calmPause) {
			t.Errorf("with %d targets a relay is taken for possible: %v", targets, s.CanRelay())
		}
	}
}
