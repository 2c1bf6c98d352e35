package events

import (
	"strconv"
	"sync/atomic"
	"time"
)

// Timestamp is a hybrid logical time: milliseconds since 1970 in the upper 48
// bits, a counter that orders events of one millisecond in the lower 16.
type Timestamp uint64

const logicalBits = 16

// Wall returns the physical part of t.
func (t Timestamp) Wall() time.Time { return time.UnixMilli(int64(t >> logicalBits)) }

// Logical returns the counter within t's millisecond.
func (t Timestamp) Logical() uint16 { return uint16(t) }

// String returns t in readable form, sortable as text.
func (t Timestamp) String() string {
	return t.Wall().UTC().Format("2006-01-02T15:04:05.000Z") + "/" + strconv.Itoa(int(t.Logical()))
}

// Clock issues timestamps that rise strictly and never fall behind one observed
// from a peer. It is safe for concurrent use.
type Clock struct {
	last atomic.Uint64
	now  func() time.Time
}

// NewClock returns a Clock over the given wall clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns the next timestamp.
func (c *Clock) Now() Timestamp {
	wall := uint64(c.now().UnixMilli()) << logicalBits
	for {
		last := c.last.Load()
		next := max(wall, last+1)
		if c.last.CompareAndSwap(last, next) {
			return Timestamp(next)
		}
	}
}

// Observe moves the clock past a timestamp received from a peer. Timestamps more
// than maxSkew ahead of the wall clock are ignored, so that one broken clock
// can't drag the fleet's time line with it.
func (c *Clock) Observe(t Timestamp) {
	limit := uint64(c.now().Add(maxSkew).UnixMilli()) << logicalBits
	if uint64(t) > limit {
		return
	}
	for {
		last := c.last.Load()
		if uint64(t) <= last || c.last.CompareAndSwap(last, uint64(t)) {
			return
		}
	}
}

const maxSkew = time.Minute
