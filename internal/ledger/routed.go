package ledger

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// remoteTimeout bounds the wait for the instance that commits for a shard, so
	// that an op can still be committed here before the claim times out.
	remoteTimeout = 400 * time.Millisecond
	// againBase and againMax bound the pauses before an outcome is offered again.
	againBase = 100 * time.Millisecond
	againMax  = 2 * time.Second
	// remotePause is how long an instance that didn't answer is passed over.
	remotePause = time.Second
)

// Peers reach the instances that commit for shards. Implementations are safe for
// concurrent use.
type Peers interface {
	// Owner returns the instance that commits for a shard; false means this one.
	// Instances may disagree: that costs conflicts, never correctness.
	Owner(shard string) (model.InstanceID, bool)
	// Commit carries an op out at another instance. *RefusedError says that the
	// instance answered and could not confirm the op; after any other error it
	// is not known whether the op reached the instance.
	Commit(ctx context.Context, to model.InstanceID, place Place, op Op) (Verdict, error)
}

// RefusedError reports an op that the instance which commits for its shard could
// not confirm.
type RefusedError struct {
	Owner  model.InstanceID
	Reason string
}

func (e *RefusedError) Error() string {
	return "instance " + string(e.Owner) + " could not commit: " + e.Reason
}

// BusyError reports an instance that commits for others and had no time for an op.
type BusyError struct{ Owner model.InstanceID }

func (e *BusyError) Error() string { return "instance " + string(e.Owner) + " is busy" }

// RoutedCommitter sends the ops of a shard to one instance, so that they share
// its writes. When that instance doesn't answer, the same op is committed here:
// the attempt ID makes the two one. It is safe for concurrent use.
type RoutedCommitter struct {
	local Committer
	peers Peers
	now   func() time.Time

	mu     sync.Mutex
	silent map[model.InstanceID]time.Time
	heard  map[model.InstanceID]time.Time
}

var _ Committer = (*RoutedCommitter)(nil)

// NewRoutedCommitter returns a committer that falls back to local.
func NewRoutedCommitter(local Committer, peers Peers) *RoutedCommitter {
	return &RoutedCommitter{
		local:  local,
		peers:  peers,
		now:    time.Now,
		silent: make(map[model.InstanceID]time.Time),
		heard:  make(map[model.InstanceID]time.Time),
	}
}

// Commit implements Committer. A claim that its owner has no time for is refused;
// an outcome is offered again until ctx ends, since it must not get lost.
func (r *RoutedCommitter) Commit(ctx context.Context, place Place, op Op) (Verdict, error) {
	owner, elsewhere := r.peers.Owner(place.shard())
	if !elsewhere || r.passedOver(owner) {
		return r.local.Commit(ctx, place, op)
	}
	verdict, err := r.ask(ctx, owner, place, op)
	pause := store.Backoff{Base: againBase, Max: againMax}
	for overloaded(err) {
		if op.Kind == OpClaim || pause.Wait(ctx) != nil {
			return Verdict{}, &UndecidedError{Cause: err}
		}
		verdict, err = r.ask(ctx, owner, place, op)
	}
	if err == nil {
		return verdict, nil
	}
	r.passOver(owner)
	verdict, err = r.local.Commit(ctx, place, op)
	if err != nil {
		return Verdict{}, &UndecidedError{Cause: err}
	}
	return verdict, nil
}

// overloaded reports an owner that answers and did not confirm an op.
func overloaded(err error) bool {
	var refused *RefusedError
	var busy *BusyError
	return errors.As(err, &refused) || errors.As(err, &busy)
}

// Release implements Committer. It goes the way of the claim: written here, it
// would conflict with the owner's writes just when the owner is late.
func (r *RoutedCommitter) Release(place Place, claim Op) {
	claim.Kind = OpRelease
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if _, err := r.Commit(ctx, place, claim); err != nil {
			r.local.Release(place, claim)
		}
	}()
}

// ask sends an op to its owner. An owner that answers others meanwhile is busy,
// not silent: committing here too would only add conflicts to its load.
func (r *RoutedCommitter) ask(ctx context.Context, owner model.InstanceID, place Place, op Op) (Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, remoteTimeout)
	defer cancel()
	verdict, err := r.peers.Commit(ctx, owner, place, op)
	switch {
	case err == nil:
		r.answered(owner)
	case ctx.Err() != nil && r.heardLately(owner):
		err = &BusyError{Owner: owner}
	}
	return verdict, err
}

func (r *RoutedCommitter) answered(owner model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard[owner] = r.now()
}

func (r *RoutedCommitter) heardLately(owner model.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.heard[owner]) < remoteTimeout
}

func (r *RoutedCommitter) passedOver(owner model.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.silent[owner]
	if ok && r.now().After(until) {
		delete(r.silent, owner)
		return false
	}
	return ok
}

func (r *RoutedCommitter) passOver(owner model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.silent[owner] = r.now().Add(remotePause)
}

// shard names the shard of a place. It is the same in every slice, so that an
// instance goes on committing for a shard from slice to slice.
func (p Place) shard() string {
	return string(p.Service) + p.Object[strings.LastIndexByte(p.Object, '/'):]
}
