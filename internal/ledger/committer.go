package ledger

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// conflictBackoffBase is the initial delay before a read or a write is retried after a
	// conflict, a stale read or an exhausted call budget.
	conflictBackoffBase = 5 * time.Millisecond
	// conflictBackoffMax is the maximum delay between two such retries.
	conflictBackoffMax = 200 * time.Millisecond
	// commitTimeout bounds the commit of one batch, retries included.
	commitTimeout = 2 * time.Second
	// writeInterval is the minimum time between two writes of a shard.
	writeInterval = 42 * time.Millisecond
	// createLead is how long before the start of its bucket an object is created,
	// provided that claims arrive for the shard.
	createLead = time.Second
	// maxQueuedOps is the maximum length of the queue of one shard.
	maxQueuedOps = 4096
	// maxIdleShards is the maximum number of shards cached in memory without queued ops.
	maxIdleShards = 32
	// outcomeRetryTimeout is how long the write of an outcome is retried during an outage.
	outcomeRetryTimeout = 30 * time.Second
)

// Committer applies ops to the stored shards. The same op may be committed by
// several instances. Implementations are safe for concurrent use.
type Committer interface {
	// Commit applies an op and returns its result. An error for a claim means
	// that the claim is not confirmed; it is an *UnconfirmedError if the claim may
	// have been written or may still be written.
	Commit(ctx context.Context, ref ShardRef, op Op) (Result, error)
	// Release releases a claim in the background. Only the instance that made the
	// attempt may call it, after the permission to send is revoked: another
	// instance may have confirmed the same claim in the meantime.
	Release(ref ShardRef, claim Op)
}

// GroupCommitter is a Committer that writes all queued ops of a shard in one
// conditional update (group commit). Any number of instances may write the same
// shard: after a conflict the shard is read and the ops are applied again. It is
// safe for concurrent use.
type GroupCommitter struct {
	store      store.Store
	watermarks *watermarks
	now        func() time.Time

	mu      sync.Mutex
	writers map[string]*writer
	// idle lists the object keys of the writers without queued ops, longest idle first.
	idle []string
}

// NewGroupCommitter returns a committer that writes to the Object API.
func NewGroupCommitter(objects store.Store) *GroupCommitter {
	return &GroupCommitter{
		store:      objects,
		watermarks: newWatermarks(objects, time.Now),
		now:        time.Now,
		writers:    make(map[string]*writer),
	}
}

// pendingOp is an op that is queued or being written. Its result may be read once
// done is closed.
type pendingOp struct {
	op Op
	// retryUntil is the time after which an outcome is no longer retried.
	retryUntil time.Time
	done       chan struct{}
	result     Result
	err        error
}

func (p *pendingOp) finish(res Result, err error) {
	p.result = res
	p.err = err
	close(p.done)
}

// Commit implements Committer.
func (c *GroupCommitter) Commit(ctx context.Context, ref ShardRef, op Op) (Result, error) {
	p, err := c.enqueue(ref, op)
	if err != nil {
		return Result{}, err
	}
	c.createNext(ref)
	select {
	case <-p.done:
	case <-ctx.Done():
		if c.dequeue(ref, p) {
			return Result{}, eris.Wrap(ctx.Err(), "wait for ledger shard")
		}
		return Result{}, &UnconfirmedError{Cause: ctx.Err()}
	}
	return p.result, p.err
}

// createNext creates the object of the shard in the next bucket shortly before
// the bucket begins, so that the first claims need not wait for it.
func (c *GroupCommitter) createNext(ref ShardRef) {
	now := c.now()
	next := bucketOf(now.Add(createLead))
	if next != ref.Bucket+1 || bucketOf(now) != ref.Bucket {
		return
	}
	shard := ref.Object[strings.LastIndexByte(ref.Object, '/')+1:]
	ref.Bucket = next
	ref.Object = bucketObject(ref.Service, next, shard)
	c.mu.Lock()
	exists := c.writers[ref.Object] != nil
	c.mu.Unlock()
	if !exists {
		_, _ = c.enqueue(ref, Op{Kind: OpCreate})
	}
}

// dequeue removes an op from the queue. It returns false if a batch has taken the
// op already.
func (c *GroupCommitter) dequeue(ref ShardRef, p *pendingOp) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.writers[ref.Object]
	if w == nil {
		return false
	}
	i := slices.Index(w.queue, p)
	if i < 0 {
		return false
	}
	w.queue = slices.Delete(w.queue, i, i+1)
	return true
}

// Release implements Committer. The op is queued behind the claim, in the same
// queue.
func (c *GroupCommitter) Release(ref ShardRef, claim Op) {
	claim.Kind = OpRelease
	_, _ = c.enqueue(ref, claim)
}

// enqueue queues an op for its shard and starts the writer of the shard if it does
// not run. Its error is an *OverloadError.
func (c *GroupCommitter) enqueue(ref ShardRef, op Op) (*pendingOp, error) {
	p := &pendingOp{op: op, done: make(chan struct{}), retryUntil: c.now().Add(outcomeRetryTimeout)}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.writers[ref.Object]
	if w == nil {
		w = newWriter(c, ref)
		c.writers[ref.Object] = w
	}
	if len(w.queue) >= maxQueuedOps {
		return nil, &OverloadError{Object: ref.Object}
	}
	w.ref.Retention = max(w.ref.Retention, ref.Retention)
	w.queue = append(w.queue, p)
	if !w.running {
		w.running = true
		c.removeIdle(ref.Object)
		go w.run()
		return p, nil
	}
	select {
	case w.newOp <- struct{}{}:
	default:
	}
	return p, nil
}

// removeIdle removes a shard from the idle list. c.mu must be held.
func (c *GroupCommitter) removeIdle(object string) {
	c.idle = slices.DeleteFunc(c.idle, func(name string) bool { return name == object })
}

// takeBatch removes and returns the queued ops of w. If there are none it marks w
// as idle and evicts the longest idle writer above maxIdleShards.
func (c *GroupCommitter) takeBatch(w *writer) []*pendingOp {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := w.queue
	w.queue = nil
	w.retention = w.ref.Retention
	if len(batch) > 0 {
		return batch
	}
	w.running = false
	c.idle = append(c.idle, w.ref.Object)
	if len(c.idle) > maxIdleShards {
		delete(c.writers, c.idle[0])
		c.idle = c.idle[1:]
	}
	return nil
}

// requeue inserts ops at the head of the queue.
func (c *GroupCommitter) requeue(w *writer, batch []*pendingOp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.queue = append(batch, w.queue...)
}
