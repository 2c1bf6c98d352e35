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
	conflictBase = 5 * time.Millisecond
	conflictMax  = 200 * time.Millisecond
	// commitTimeout bounds the writing of one batch.
	commitTimeout = 2 * time.Second
	// writeInterval is the shortest time between two writes of a shard.
	writeInterval = 42 * time.Millisecond
	// openAhead is how long before its slice an object is created, while claims arrive.
	openAhead = time.Second
	// maxWaiting is the largest number of ops that wait for one shard.
	maxWaiting = 4096
	// maxIdleShards is the number of shards kept in memory while nothing waits for them.
	maxIdleShards = 32
	// settleTimeout is how long an outcome is offered to a store that is down.
	settleTimeout = 30 * time.Second
)

// Committer carries ops out on the stored shards. The same op may be committed
// at several instances.
type Committer interface {
	// Commit returns the verdict on an op. An error of a claim means that it is
	// not known to be held; it is an *UndecidedError if it may be held later.
	Commit(ctx context.Context, place Place, op Op) (Verdict, error)
	// Release gives a claim back in the background. Only the instance whose
	// attempt it is may call it, after it gave up the right to send: elsewhere
	// the same claim may have been confirmed meanwhile.
	Release(place Place, claim Op)
}

// GroupCommitter writes the ops that wait for a shard in one conditional
// update. Any number of instances may write the same shard: a conflict is
// settled by reading the shard and applying the ops again. It is safe for
// concurrent use.
type GroupCommitter struct {
	store  store.Store
	floors *floors
	now    func() time.Time

	mu     sync.Mutex
	shards map[string]*writer
	// idle holds the objects of writers without work, the longest idle first.
	idle []string
}

// NewGroupCommitter returns a committer over the Object API.
func NewGroupCommitter(store store.Store) *GroupCommitter {
	return &GroupCommitter{
		store:  store,
		floors: newFloors(store, time.Now),
		now:    time.Now,
		shards: make(map[string]*writer),
	}
}

// pending is one op that waits for its verdict.
type pending struct {
	op      Op
	until   time.Time
	done    chan struct{}
	verdict Verdict
	err     error
}

func (p *pending) finish(v Verdict, err error) {
	p.verdict = v
	p.err = err
	close(p.done)
}

// Commit implements Committer.
func (c *GroupCommitter) Commit(ctx context.Context, place Place, op Op) (Verdict, error) {
	p, err := c.enqueue(place, op)
	if err != nil {
		return Verdict{}, err
	}
	c.openNext(place)
	select {
	case <-p.done:
	case <-ctx.Done():
		if c.withdraw(place, p) {
			return Verdict{}, eris.Wrap(ctx.Err(), "wait for ledger shard")
		}
		return Verdict{}, &UndecidedError{Cause: ctx.Err()}
	}
	return p.verdict, p.err
}

// openNext creates the objects of the next slice shortly before it begins, so
// that its first claims need not wait for them.
func (c *GroupCommitter) openNext(place Place) {
	now := c.now()
	next := sliceOf(now.Add(openAhead))
	if next != place.Slice+1 || sliceOf(now) != place.Slice {
		return
	}
	shard := place.Object[strings.LastIndexByte(place.Object, '/')+1:]
	place.Slice = next
	place.Object = sliceObject(place.Service, next, shard)
	c.mu.Lock()
	known := c.shards[place.Object] != nil
	c.mu.Unlock()
	if !known {
		_, _ = c.enqueue(place, Op{Kind: OpOpen})
	}
}

// withdraw removes an op that no batch has taken yet.
func (c *GroupCommitter) withdraw(place Place, p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.shards[place.Object]
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

// Release implements Committer. The op follows the claim through the same queue.
func (c *GroupCommitter) Release(place Place, claim Op) {
	claim.Kind = OpRelease
	_, _ = c.enqueue(place, claim)
}

func (c *GroupCommitter) enqueue(place Place, op Op) (*pending, error) {
	p := &pending{op: op, done: make(chan struct{}), until: c.now().Add(settleTimeout)}
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.shards[place.Object]
	if w == nil {
		w = newWriter(c, place)
		c.shards[place.Object] = w
	}
	if len(w.queue) >= maxWaiting {
		return nil, &OverloadError{Object: place.Object}
	}
	w.place.Retention = max(w.place.Retention, place.Retention)
	w.queue = append(w.queue, p)
	if !w.running {
		w.running = true
		c.wake(place.Object)
		go w.run()
		return p, nil
	}
	select {
	case w.arrived <- struct{}{}:
	default:
	}
	return p, nil
}

// wake removes a shard from the idle ones; the caller holds the lock.
func (c *GroupCommitter) wake(object string) {
	c.idle = slices.DeleteFunc(c.idle, func(name string) bool { return name == object })
}

// take returns the ops that wait for w, or marks w as idle if there are none.
func (c *GroupCommitter) take(w *writer) []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := w.queue
	w.queue = nil
	w.retention = w.place.Retention
	if len(batch) > 0 {
		return batch
	}
	w.running = false
	c.idle = append(c.idle, w.place.Object)
	if len(c.idle) > maxIdleShards {
		delete(c.shards, c.idle[0])
		c.idle = c.idle[1:]
	}
	return nil
}

// putBack returns ops to the head of the queue.
func (c *GroupCommitter) putBack(w *writer, batch []*pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.queue = append(batch, w.queue...)
}
