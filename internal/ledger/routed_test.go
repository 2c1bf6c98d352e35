package ledger

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
)

var errNoReply = errors.New("no reply")

// singleOwnerPeers is a Peers with one owner for all shards.
type singleOwnerPeers struct {
	owner atomic.Pointer[Committer]
	// loseReplies drops the replies after the op took effect.
	loseReplies atomic.Bool
	// claimRequests counts the claims sent to the owner.
	claimRequests atomic.Int32
}

func (p *singleOwnerPeers) set(c Committer) { p.owner.Store(&c) }

func (p *singleOwnerPeers) Owner(string) (model.InstanceID, bool) { return "owner", true }

func (p *singleOwnerPeers) Commit(ctx context.Context, _ model.InstanceID, ref ShardRef, op Op) (Result, error) {
	if op.Kind == OpClaim {
		p.claimRequests.Add(1)
	}
	res, err := (*p.owner.Load()).Commit(ctx, ref, op)
	if p.loseReplies.Load() {
		<-ctx.Done()
		return Result{}, errNoReply
	}
	if err != nil {
		return Result{}, &RefusedError{Owner: "owner", Reason: err.Error()}
	}
	return res, nil
}

// newRoutedLedger returns a ledger that routes its ops through peers, and its local
// committer.
func newRoutedLedger(self model.InstanceID, p *standin.Platform, peers Peers) (*StoreLedger, *GroupCommitter) {
	l := newLedger(self, p)
	local := l.committer.(*GroupCommitter)
	l.committer = NewRoutedCommitter(local, peers)
	return l, local
}

func newRoutedPair(p *standin.Platform) (*StoreLedger, *singleOwnerPeers) {
	peers := new(singleOwnerPeers)
	peers.set(newLedger("owner", p).committer)
	origin, _ := newRoutedLedger("origin", p, peers)
	return origin, peers
}

// TestClaimFallsBackWhenOwnerDoesNotReply loses the owner's reply to a claim that it
// wrote. The origin must commit the same op locally and hold the claim, once.
func TestClaimFallsBackWhenOwnerDoesNotReply(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		origin, peers := newRoutedPair(p)
		peers.loseReplies.Store(true)
		first, err := origin.Begin(t.Context(), newRequest("key", "letters"))
		if err != nil || first.State != Claimed {
			t.Fatalf("claim after a lost reply: %v, %v", first.State, err)
		}
		again, err := origin.Begin(t.Context(), newRequest("key", "letters"))
		if err != nil || again.State != InProgress {
			t.Errorf("second request: %v, %v", again.State, err)
		}
		if n := peers.claimRequests.Load(); n != 1 {
			t.Errorf("unresponsive owner received %d claims while it should be skipped", n)
		}
		time.Sleep(2 * ownerSkipTime)
		peers.loseReplies.Store(false)
		if err := first.Claim.RecordDone(t.Context(), &Response{Status: 200}); err != nil {
			t.Fatal(err)
		}
		begin(t, origin, newRequest("next", "letters"))
		if n := peers.claimRequests.Load(); n != 2 {
			t.Errorf("owner received %d claims after its skip time", n)
		}
	})
}

// TestBusyOwnerIsNotSkipped covers an owner that replies to one op and times out on
// the next. That claim must fail, and nothing is committed at the origin.
func TestBusyOwnerIsNotSkipped(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		origin, peers := newRoutedPair(p)
		begin(t, origin, newRequest("first", "letters"))
		peers.loseReplies.Store(true)
		time.Sleep(ownerTimeout / 2)
		go func() {
			time.Sleep(ownerTimeout / 4)
			origin.committer.(*RoutedCommitter).recordReply("owner")
		}()
		_, err := origin.Begin(t.Context(), newRequest("second", "letters"))
		var busy *BusyError
		if !errors.As(err, &busy) {
			t.Fatalf("claim at a busy owner: %v", err)
		}
		peers.loseReplies.Store(false)
		begin(t, origin, newRequest("third", "letters"))
		if n := peers.claimRequests.Load(); n != 3 {
			t.Errorf("busy owner received %d claims, want 3", n)
		}
	})
}

// TestRefusalByOwnerGrantsNoClaim covers a claim that the owner refuses. The request
// must fail as not run, and the key must stay free.
func TestRefusalByOwnerGrantsNoClaim(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		origin, peers := newRoutedPair(p)
		peers.set(overloadedCommitter{})
		_, err := origin.Begin(t.Context(), newRequest("key", "letters"))
		var unavailable *UnavailableError
		if !errors.As(err, &unavailable) {
			t.Fatalf("claim refused by the owner: %v", err)
		}
		time.Sleep(time.Second)
		peers.set(newLedger("owner", p).committer)
		d, err := origin.Begin(t.Context(), newRequest("key", "letters"))
		if err != nil || d.State != Claimed {
			t.Errorf("next request: %v, %v", d.State, err)
		}
	})
}

// TestOutcomeIsRetriedWhenOwnerRefuses covers an owner that refuses an outcome for two
// seconds. The outcome must not get lost.
func TestOutcomeIsRetriedWhenOwnerRefuses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
		origin, peers := newRoutedPair(p)
		owner := *peers.owner.Load()
		first := begin(t, origin, newRequest("key", "letters"))
		peers.set(overloadedCommitter{})
		go func() {
			time.Sleep(2 * time.Second)
			peers.set(owner)
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if err := first.Claim.RecordDone(ctx, &Response{Status: 200}); err != nil {
			t.Fatal(err)
		}
		if again := begin(t, origin, newRequest("key", "letters")); again.State != Done {
			t.Errorf("second request: %v", again.State)
		}
	})
}

type overloadedCommitter struct{}

func (overloadedCommitter) Commit(context.Context, ShardRef, Op) (Result, error) {
	return Result{}, &OverloadError{Object: "shard"}
}

func (overloadedCommitter) Release(ShardRef, Op) {}

// simulatedPeers routes ops between the instances of a simulation. It loses some
// requests before, and some replies after, the op took effect.
type simulatedPeers struct {
	sim  *simulation
	self model.InstanceID
}

// routed returns a ledger that routes its ops to other instances. sim.mu must be held.
func (sim *simulation) routed(id model.InstanceID) *StoreLedger {
	l, local := newRoutedLedger(id, sim.platform, &simulatedPeers{sim: sim, self: id})
	sim.committers[id] = local
	return l
}

func (p *simulatedPeers) Owner(shard string) (model.InstanceID, bool) {
	owner := model.InstanceID("i" + string('0'+shard[len(shard)-1]%4))
	return owner, owner != p.self
}

func (p *simulatedPeers) Commit(ctx context.Context, to model.InstanceID, ref ShardRef, op Op) (Result, error) {
	p.sim.mu.Lock()
	owner := p.sim.committers[to]
	p.sim.mu.Unlock()
	failure := p.sim.randomInt(6)
	if owner == nil || failure == 0 {
		<-ctx.Done()
		return Result{}, errNoReply
	}
	time.Sleep(time.Millisecond)
	res, err := owner.Commit(ctx, ref, op)
	switch {
	case failure == 1:
		<-ctx.Done()
		return Result{}, errNoReply
	case err != nil:
		return Result{}, &RefusedError{Owner: to, Reason: err.Error()}
	default:
		return res, nil
	}
}
