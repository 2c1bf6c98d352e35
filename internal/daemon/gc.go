package daemon

import (
	"os"
	"runtime/debug"
)

const (
	// gcPercent lets the heap grow to five times the live heap between two garbage
	// collections. An instance has a small live heap and allocates on every request.
	gcPercent = 400
	// memoryLimit is the soft memory limit of the process in bytes, above which garbage
	// is collected more often.
	memoryLimit = 1 << 30
)

// configureGC makes the garbage collector use more memory and less CPU time. The
// environment variables GOGC and GOMEMLIMIT take precedence.
func configureGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
}
