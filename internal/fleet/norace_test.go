//go:build !race

package fleet

import "time"

const (
	// largeFleet is the size up to which costs and times must stay flat.
	largeFleet = 500
	// longCut is how long regions lose each other now and then.
	longCut = time.Hour
)
