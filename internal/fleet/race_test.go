//go:build race

package fleet

import "time"

// Smaller sizes are used under the race detector, which makes the simulation ten times
// slower. Races are not missed, because the simulation runs in one goroutine.
const (
	largeFleet    = 60
	longPartition = 10 * time.Minute
)
