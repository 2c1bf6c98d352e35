//go:build race

package fleet

import "time"

// Smaller sizes are used under the race detector, which makes the simulation ten times
// slower. Races are not missed, because the simulation runs in one goroutine.
const (
	// largeFleet is the fleet size up to which traffic and propagation times must not
	// grow.
	largeFleet = 60
	// longPartition is the length of a long partition between regions.
	longPartition = 10 * time.Minute
)
