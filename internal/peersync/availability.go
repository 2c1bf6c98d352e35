package peersync

import (
	"errors"
	"time"

	"redwingpoint.org/redwingpoint/internal/peer"
)

const (
	// silentBackoff is how long a seed that didn't respond is not asked for permits.
	silentBackoff = time.Second
	// minRefusedBackoff is how long one that refused is not: a seed that starts will soon grant.
	// It doubles with each further refusal up to silentBackoff.
	minRefusedBackoff = 50 * time.Millisecond
)

// availability is when a seed may be asked for permits again. The zero value is at once.
type availability struct {
	silentUntil time.Time
	refusals    int
}

// recordFailure records a question that failed.
func (a *availability) recordFailure(now time.Time, err error) {
	var refused *peer.RefusedError
	var notHolder *NotHolderError
	backoff := silentBackoff
	if errors.As(err, &refused) || errors.As(err, &notHolder) {
		backoff = min(minRefusedBackoff<<min(a.refusals, 8), silentBackoff)
		a.refusals++
	}
	a.silentUntil = now.Add(backoff)
}

// recordAnswer records a question that was answered.
func (a *availability) recordAnswer() { a.refusals = 0 }

// isSilent reports whether the seed is not to be asked now.
func (a *availability) isSilent(now time.Time) bool { return now.Before(a.silentUntil) }
