// Package callers bounds what a process holds for its callers: memory, connections, and the
// exchanges with targets on their behalf. Each connection has an Account. When a limit is
// near, the connection that has held most for longest without progress is closed. Progress is a
// response of a target, or a rate of bytes.
package callers

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minStall is how long a connection must have made no progress before it may be closed for
	// others: a lost packet is repeated within that time.
	minStall = time.Second
	// progressBytes is the number of bytes that must move within progressSpan to count as
	// progress: callers that send or read a few bytes now and then hold a connection for little.
	progressBytes = 1 << 10
	progressSpan  = time.Second
	// smallHolding is the number of bytes that an ordinary connection holds at the most. The
	// connections that hold more leave a part of the memory free, so that ordinary requests are
	// served beside a crowd of large ones.
	smallHolding = 160 << 10
	// largeReserve is the divisor of the memory for that part.
	largeReserve = 4
	// highWater is the divisor of the memory or the exchanges that, once no more than this part
	// is free, makes stalled connections close.
	highWater = 3
	// scanInterval is the shortest time between two searches for a stalled connection.
	scanInterval = 5 * time.Millisecond

	// ConnectionBytes is what a connection takes without a request: its goroutines and buffers.
	ConnectionBytes = 16 << 10
	// ExchangeBytes is what an exchange with a target takes until the response is there: its
	// goroutines and buffers, and the part of the response that is read ahead.
	ExchangeBytes = 96 << 10
)

// Limit names a limit of a Budget in logs and metrics. Its values don't change.
type Limit string

// Limits of a Budget.
const (
	LimitMemory      Limit = "memory"
	LimitConnections Limit = "connections"
	LimitExchanges   Limit = "exchanges"
)

// Limits are the limits of a Budget. Zero fields don't limit.
type Limits struct {
	// Memory is in bytes.
	Memory int64
	// Connections is the number of connections, Exchanges that of requests at targets.
	Connections, Exchanges int
}

// Refusal tells what a limit did.
type Refusal struct {
	Limit Limit
	// Closed is set if a stalled connection was closed, and not set if a request or connection
	// was turned away.
	Closed bool
	// Caller is the address of the connection, if known.
	Caller string
	// Held is the memory in bytes that the connection held, Stalled the time since its last
	// progress.
	Held    int64
	Stalled time.Duration
}

// Budget is what a process may hold for all its callers. A nil Budget doesn't limit. It is safe
// for concurrent use.
type Budget struct {
	limits Limits
	epoch  time.Time
	// OnRefusal, if set before the first use, is called for each refusal.
	OnRefusal func(Refusal)

	memory    atomic.Int64
	exchanges atomic.Int64
	// large is the part of memory that connections hold which hold more than smallHolding.
	large atomic.Int64
	// scannedAt is when a stalled connection was last searched, in nanoseconds since epoch.
	scannedAt atomic.Int64

	mu       sync.Mutex
	accounts map[*Account]struct{}
}

// NewBudget returns a budget with nothing held.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, epoch: time.Now(), accounts: make(map[*Account]struct{})}
}

// Holder is a connection as its budget sees it. Its methods must not call the budget and must
// be safe for concurrent use.
type Holder interface {
	// MayClose reports whether the connection waits for its caller: it is idle, reads a head or
	// a body, or writes a response. A connection whose request runs at a target doesn't.
	MayClose() bool
	// Abort closes the connection at once. It reports false if MayClose no longer holds.
	Abort() bool
	// Caller returns the caller's address.
	Caller() string
}

// Account is what one connection holds. A nil Account doesn't limit. It is safe for concurrent
// use.
type Account struct {
	budget    *Budget
	holder    Holder
	held      atomic.Int64
	exchanges atomic.Int64
	// progressAt is the time of the last progress in nanoseconds since the budget's epoch.
	progressAt atomic.Int64
	// moved is the number of bytes that have moved since movedSince, which is a time like
	// progressAt.
	moved, movedSince atomic.Int64
	aborted           atomic.Bool
}

// Open returns the account of a new connection. If there are too many, it closes the one that
// has held most for longest; it reports false if none may be closed.
func (b *Budget) Open(h Holder) (*Account, bool) {
	if b == nil {
		return nil, true
	}
	a := &Account{budget: b, holder: h}
	a.Progress()
	b.mu.Lock()
	full := b.limits.Connections > 0 && len(b.accounts) >= b.limits.Connections
	if full {
		full = !b.closeStalled(LimitConnections, (*Account).any)
	}
	if !full {
		b.accounts[a] = struct{}{}
	}
	b.mu.Unlock()
	if full {
		a.refuse(LimitConnections)
		return nil, false
	}
	if !a.Reserve(ConnectionBytes) {
		a.Close()
		return nil, false
	}
	return a, true
}

// Close releases all that the connection held. It must be called once the connection is closed.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.Release(a.held.Load())
	a.budget.exchanges.Add(-a.exchanges.Swap(0))
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.accounts, a)
}

// Held returns what the connection holds in bytes.
func (a *Account) Held() int64 {
	if a == nil {
		return 0
	}
	return a.held.Load()
}

// Progress records that a target has responded to a request of the connection.
func (a *Account) Progress() {
	if a != nil {
		a.progressAt.Store(int64(time.Since(a.budget.epoch)))
	}
}

// Moved records that the connection has received or sent n bytes. They are progress once they
// are progressBytes within progressSpan. Concurrent calls may lose some of them.
func (a *Account) Moved(n int) {
	if a == nil {
		return
	}
	now := int64(time.Since(a.budget.epoch))
	moved := int64(n)
	if now-a.movedSince.Load() <= int64(progressSpan) {
		moved = a.moved.Add(moved)
	} else {
		a.movedSince.Store(now)
		a.moved.Store(moved)
	}
	if moved >= progressBytes {
		a.progressAt.Store(now)
		a.movedSince.Store(now)
		a.moved.Store(0)
	}
}

// Reserve adds n bytes to what the connection holds. It reports false, and adds nothing, if
// there is no memory for them.
func (a *Account) Reserve(n int64) bool {
	if a == nil || a.budget.limits.Memory == 0 {
		return true
	}
	b := a.budget
	used := b.memory.Add(n)
	large := a.add(n)
	if used > b.limits.Memory-b.limits.Memory/highWater {
		b.makeRoom(LimitMemory, (*Account).any)
	}
	if used > b.limits.Memory || (large && b.large.Load() > b.limits.Memory-b.limits.Memory/largeReserve) {
		b.memory.Add(-n)
		a.add(-n)
		a.refuse(LimitMemory)
		return false
	}
	return true
}

// Hold adds n bytes to what the connection holds, also beyond the memory: they are there already,
// such as a response that waits to be sent.
func (a *Account) Hold(n int64) {
	if a != nil && a.budget.limits.Memory > 0 {
		a.budget.memory.Add(n)
		a.add(n)
	}
}

// add adds n bytes, which may be negative, to held and updates the budget's large. It reports
// whether the account is a large one.
func (a *Account) add(n int64) bool {
	held := a.held.Add(n)
	a.budget.large.Add(largePart(held) - largePart(held-n))
	return held > smallHolding
}

// largePart returns what an account that holds so many bytes adds to Budget.large.
func largePart(held int64) int64 {
	if held > smallHolding {
		return held
	}
	return 0
}

// Release takes n bytes from what the connection holds.
func (a *Account) Release(n int64) {
	if a != nil && a.budget.limits.Memory > 0 {
		a.add(-n)
		a.budget.memory.Add(-n)
	}
}

// BeginExchange counts a request that is passed on to a target, and reserves ExchangeBytes. It
// reports false, and counts nothing, if there is no room for it. EndExchange must follow a
// success.
func (a *Account) BeginExchange() bool {
	if a == nil {
		return true
	}
	b := a.budget
	if limit := int64(b.limits.Exchanges); limit > 0 {
		now := b.exchanges.Load() + 1
		if now > limit-limit/highWater {
			b.makeRoom(LimitExchanges, (*Account).hasExchange)
		}
		if now > limit {
			a.refuse(LimitExchanges)
			return false
		}
	}
	if !a.Reserve(ExchangeBytes) {
		return false
	}
	b.exchanges.Add(1)
	a.exchanges.Add(1)
	return true
}

// EndExchange ends what BeginExchange began.
func (a *Account) EndExchange() {
	if a == nil {
		return
	}
	a.budget.exchanges.Add(-1)
	a.exchanges.Add(-1)
	a.Release(ExchangeBytes)
}

func (a *Account) any() bool         { return true }
func (a *Account) hasExchange() bool { return a.exchanges.Load() > 0 }

// makeRoom closes one stalled connection that is eligible, at most once in scanInterval.
func (b *Budget) makeRoom(l Limit, eligible func(*Account) bool) {
	now, last := int64(time.Since(b.epoch)), b.scannedAt.Load()
	if now-last < int64(scanInterval) || !b.scannedAt.CompareAndSwap(last, now) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeStalled(l, eligible)
}

// CloseStalled closes the connection that has held most for longest without progress, to free
// its descriptor.
func (b *Budget) CloseStalled() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeStalled(LimitConnections, (*Account).any)
}

// closeStalled closes the eligible connection with the largest product of what it holds and the
// time since its last progress. It reports false if there is none that made no progress for
// minStall. The caller must hold b.mu.
func (b *Budget) closeStalled(l Limit, eligible func(*Account) bool) bool {
	now := time.Since(b.epoch)
	var victim *Account
	var most float64
	for a := range b.accounts {
		stalled := now - time.Duration(a.progressAt.Load())
		weight := float64(a.held.Load()+1) * stalled.Seconds()
		if stalled >= minStall && weight > most && !a.aborted.Load() && eligible(a) && a.holder.MayClose() {
			victim, most = a, weight
		}
	}
	if victim == nil {
		return false
	}
	refusal := Refusal{Limit: l, Closed: true, Caller: victim.holder.Caller(), Held: victim.held.Load(), Stalled: now - time.Duration(victim.progressAt.Load())}
	if !victim.holder.Abort() {
		return false
	}
	victim.aborted.Store(true)
	b.notify(refusal)
	delete(b.accounts, victim)
	return true
}

// refuse reports that a limit turned a request or connection of the account away.
func (a *Account) refuse(l Limit) {
	a.budget.notify(Refusal{Limit: l, Caller: a.holder.Caller(), Held: a.held.Load()})
}

func (b *Budget) notify(r Refusal) {
	if b.OnRefusal != nil {
		b.OnRefusal(r)
	}
}

// Usage returns the memory in bytes, the connections and the exchanges that are held.
func (b *Budget) Usage() (memory int64, connections int, exchanges int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.memory.Load(), len(b.accounts), b.exchanges.Load()
}
