package routing

import "context"

// UsualPace is the pace of a target whose work takes as long as usual.
const UsualPace = 100

// LoadReport is what a target tells of its load at one moment.
type LoadReport struct {
	// Running and Waiting are numbers of requests, Slots is how many run at once.
	Running, Waiting, Slots int
	// Pace is how long work takes at this moment, in percent of the usual.
	Pace int
	// Healthy is set when the target calls itself healthy.
	Healthy bool
}

// LoadProber asks a target for its load. It is safe for concurrent use.
type LoadProber interface {
	Probe(ctx context.Context, e *Endpoint, healthPath string) (LoadReport, error)
}
