// Package clock measures times that must not seem shorter than they are.
package clock

import "time"

// Since returns the time since t, which must have been read on this machine. It is the longer
// of the times by the monotonic and the wall clock: the former stands still while the machine
// is suspended, the latter may be set back.
func Since(t time.Time) time.Duration {
	now := time.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}
