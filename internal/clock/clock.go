// Package clock measures times that must not seem shorter than they are.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Since returns the time since t, which must have been read on this machine. It is the longer
// of the times by the monotonic and the wall clock: the former stands still while the machine
// is suspended, the latter may be set back.
func Since(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Instant is a time on this machine. The zero value is no time.
type Instant struct {
	at   time.Time
	boot time.Duration
}

// Now returns the current time.
func Now() Instant { return Instant{at: time.Now(), boot: sinceBoot()} }

// IsZero reports whether the instant is the zero value.
func (i Instant) IsZero() bool { return i.at.IsZero() }

// Elapsed returns the time since the instant. Like that of Since it contains the time for which
// the machine was suspended, but a wall clock that is set doesn't change it. It takes a system
// call.
func (i Instant) Elapsed() time.Duration {
	return max(time.Since(i.at), sinceBoot()-i.boot)
}

// ElapsedAtMost returns the time since the instant or, after a wall clock was set ahead, a longer
// one. It takes no system call.
func (i Instant) ElapsedAtMost() time.Duration { return Since(i.at) }

// sinceBoot returns the time since the machine started, or 0 if the system doesn't tell.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
