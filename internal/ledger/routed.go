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
	// ownerTimeout bounds the wait for the owner of a shard, so that an op can
	// still be committed locally before the claim times out.
	ownerTimeout = 400 * time.Millisecond
	// outcomeBackoffBase is the initial delay before a declined outcome is retried.
	outcomeBackoffBase = 100 * time.Millisecond
	// outcomeBackoffMax is the maximum delay between two retries of an outcome.
	outcomeBackoffMax = 2 * time.Second
	// ownerSkipTime is how long an owner that did not reply is not contacted.
	ownerSkipTime = time.Second
)

// Peers gives access to the owners of shards: the instances that commit for them.
// Implementations are safe for concurrent use.
type Peers interface {
	// Owner returns the instance that commits for a shard; false means this one.
	// If instances disagree, their writes conflict, but stay correct.
	Owner(shard string) (model.InstanceID, bool)
	// Commit commits an op at another instance. *RefusedError means that the
	// instance replied and could not confirm the op; after any other error it
	// is not known whether the op reached the instance.
	Commit(ctx context.Context, to model.InstanceID, ref ShardRef, op Op) (Result, error)
}

// RefusedError reports an op that the owner of its shard replied to, but could not
// confirm.
type RefusedError struct {
	Owner  model.InstanceID
	Reason string
}

func (e *RefusedError) Error() string {
	return "instance " + string(e.Owner) + " could not commit: " + e.Reason
}

// BusyError reports an owner that did not reply to an op in time, but replied to
// others shortly before.
type BusyError struct{ Owner model.InstanceID }

func (e *BusyError) Error() string { return "instance " + string(e.Owner) + " is busy" }

// RoutedCommitter is a Committer that sends the ops of a shard to one instance,
// its owner, so that they share its writes. If the owner does not reply, the same
// op is committed locally; the attempt ID makes the two commits idempotent. It is
// safe for concurrent use.
type RoutedCommitter struct {
	local Committer
	peers Peers
	now   func() time.Time

	mu sync.Mutex
	// skipUntil holds, per unresponsive owner, the time until which it is skipped.
	skipUntil map[model.InstanceID]time.Time
	// lastReply holds the time of the last reply of each owner.
	lastReply map[model.InstanceID]time.Time
}

var _ Committer = (*RoutedCommitter)(nil)

// NewRoutedCommitter returns a committer that falls back to local if an owner does
// not reply.
func NewRoutedCommitter(local Committer, peers Peers) *RoutedCommitter {
	return &RoutedCommitter{
		local:     local,
		peers:     peers,
		now:       time.Now,
		skipUntil: make(map[model.InstanceID]time.Time),
		lastReply: make(map[model.InstanceID]time.Time),
	}
}

// Commit implements Committer. A claim that the owner declines fails; an outcome
// that it declines is retried until ctx ends, since it must not get lost.
func (r *RoutedCommitter) Commit(ctx context.Context, ref ShardRef, op Op) (Result, error) {
	owner, remote := r.peers.Owner(ref.routingKey())
	if !remote || r.shouldSkip(owner) {
		return r.local.Commit(ctx, ref, op)
	}
	result, err := r.commitAtOwner(ctx, owner, ref, op)
	backoff := store.Backoff{Base: outcomeBackoffBase, Max: outcomeBackoffMax}
	for isDeclined(err) {
		if op.Kind == OpClaim || backoff.Wait(ctx) != nil {
			return Result{}, &UnconfirmedError{Cause: err}
		}
		result, err = r.commitAtOwner(ctx, owner, ref, op)
	}
	if err == nil {
		return result, nil
	}
	r.skip(owner)
	result, err = r.local.Commit(ctx, ref, op)
	if err != nil {
		return Result{}, &UnconfirmedError{Cause: err}
	}
	return result, nil
}

// isDeclined reports whether the owner is reachable but did not confirm an op.
func isDeclined(err error) bool {
	var refused *RefusedError
	var busy *BusyError
	return errors.As(err, &refused) || errors.As(err, &busy)
}

// Release implements Committer. It goes through the owner, like the claim: a local
// write would conflict with the owner's writes while the owner is overloaded.
func (r *RoutedCommitter) Release(ref ShardRef, claim Op) {
	claim.Kind = OpRelease
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), outcomeRetryTimeout)
		defer cancel()
		if _, err := r.Commit(ctx, ref, claim); err != nil {
			r.local.Release(ref, claim)
		}
	}()
}

// commitAtOwner sends an op to its owner. If the owner replied to other ops
// recently, a timeout means that it is busy, not unreachable: a local commit would
// only add conflicts to its load.
func (r *RoutedCommitter) commitAtOwner(ctx context.Context, owner model.InstanceID, ref ShardRef, op Op) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	result, err := r.peers.Commit(ctx, owner, ref, op)
	switch {
	case err == nil:
		r.recordReply(owner)
	case ctx.Err() != nil && r.repliedRecently(owner):
		err = &BusyError{Owner: owner}
	}
	return result, err
}

func (r *RoutedCommitter) recordReply(owner model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastReply[owner] = r.now()
}

func (r *RoutedCommitter) repliedRecently(owner model.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now().Sub(r.lastReply[owner]) < ownerTimeout
}

// shouldSkip reports whether an owner is within its skip time.
func (r *RoutedCommitter) shouldSkip(owner model.InstanceID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.skipUntil[owner]
	if ok && r.now().After(until) {
		delete(r.skipUntil, owner)
		return false
	}
	return ok
}

func (r *RoutedCommitter) skip(owner model.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipUntil[owner] = r.now().Add(ownerSkipTime)
}

// routingKey returns the name by which the owner of a shard is selected. It does not
// contain the bucket, so that the owner stays the same from bucket to bucket.
func (ref ShardRef) routingKey() string {
	return string(ref.Service) + ref.Object[strings.LastIndexByte(ref.Object, '/'):]
}
