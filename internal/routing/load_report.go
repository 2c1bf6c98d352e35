package routing

import "context"

// NormalPace is the LoadReport.Pace of a target at its normal speed.
const NormalPace = 100

// LoadReport is the load that a target reports for one moment.
type LoadReport struct {
	// Running and Waiting count the requests that are being processed and queued.
	// Slots is how many requests the target processes at once.
	Running, Waiting, Slots int
	// Pace is how long work takes at the moment, in percent of its normal duration: at
	// 200, work takes twice as long.
	Pace int
	// Healthy is set if the target reports itself as healthy.
	Healthy bool
}

// LoadProber fetches the load of a target. Implementations are safe for concurrent
// use.
type LoadProber interface {
	Probe(ctx context.Context, e *Endpoint, healthPath string) (LoadReport, error)
}
