package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// collectorPercent lets the heap grow to five times what is live between two
	// collections. An instance holds little and allocates on every request.
	collectorPercent = 400
	// collectorLimit is the size in bytes of the process above which the garbage
	// collector works harder instead.
	collectorLimit = 1 << 30
)

// tuneCollector trades memory for processor time. The environment variables GOGC
// and GOMEMLIMIT take precedence.
func tuneCollector() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(collectorPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(collectorLimit)
	}
}
