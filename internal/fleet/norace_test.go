//go:build !race

package fleet

import "time"

const (
	// largeFleet is the fleet size up to which traffic and propagation times must not
	// grow.
	largeFleet = 500
	// longPartition is the length of partitions between regions that do occur.
	longPartition = time.Hour
)
