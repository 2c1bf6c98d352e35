//go:build race

package fleet

import "time"

// Smaller sizes under the race detector, which slows the simulation down
// tenfold; it runs in one goroutine, so that they hide no race.
const (
	largeFleet = 60
	longCut    = 10 * time.Minute
)
