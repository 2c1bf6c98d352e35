package events

import (
	"strconv"
	"sync/atomic"
	"time"
)

// Timestamp is a hybrid logical clock timestamp: milliseconds since 1970 in the upper 48
// bits, and in the lower 16 a counter that orders the events of one millisecond.
type Timestamp uint64

// logicalBits is the number of bits of the counter.
const logicalBits = 16

// Wall returns the physical part of t, with a resolution of one millisecond.
func (t Timestamp) Wall() time.Time { return time.UnixMilli(int64(t >> logicalBits)) }

// Logical returns the logical part of t: the counter within its millisecond.
func (t Timestamp) Logical() uint16 { return uint16(t) }

// String returns the physical part of t in UTC, followed by the counter.
func (t Timestamp) String() string {
	return t.Wall().UTC().Format("2006-01-02T15:04:05.000Z") + "/" + strconv.Itoa(int(t.Logical()))
}

// Clock is a hybrid logical clock. Its timestamps are strictly increasing, also after a
// step of the wall clock, and greater than those that Observe has accepted. It is safe
// for concurrent use.
type Clock struct {
	last atomic.Uint64
	now  func() time.Time
}

// NewClock returns a Clock that reads the wall clock from now.
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

// Observe advances the clock to a timestamp received from a peer. Timestamps more than
// maxSkew ahead of the wall clock are ignored, so that one wrong clock can't advance the
// clocks of the whole fleet.
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

// maxSkew is the largest accepted clock skew of a peer.
const maxSkew = time.Minute
