//go:build !race

package fleet

import "time"

const (
	// largeFleet is the fleet size up to which traffic and propagation times must not
	// grow.
	largeFleet = 500
	// longPartition is how long a partition between regions occasionally lasts.
	longPartition = time.Hour
)
