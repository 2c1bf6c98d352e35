package dispatch

import "time"

// Cause names why a request got no answer of a target. The text is stable.
type Cause string

// Causes of refusals and failures.
const (
	CauseNoRoutes    Cause = "no-routes-yet"
	CauseNoRoute     Cause = "no-route"
	CauseMalformed   Cause = "malformed"
	CauseNoTarget    Cause = "no-target"
	CauseFull        Cause = "targets-full"
	CauseNotRun      Cause = "targets-declined"
	CauseUnreachable Cause = "targets-unreachable"
	CauseUnknown     Cause = "outcome-unknown"
	CauseFailed      Cause = "targets-failed"
	CauseTimeout     Cause = "timed-out"
	CauseBodyLate    Cause = "body-late"
	CauseBodyLarge   Cause = "body-too-large"
	CauseBodyBroken  Cause = "body-broken"
	CauseCallerGone  Cause = "caller-gone"
)

const (
	// startPatience is how long a request waits for the first configuration: a list
	// from the store takes some 60 ms from another region.
	startPatience = 120 * time.Millisecond
	// startRetryAfter is advised until the first configuration is known; a start
	// takes about a second.
	startRetryAfter = 200 * time.Millisecond
	// busyRetryAfter is advised when targets are full; their load shifts within
	// milliseconds, and another instance may know better.
	busyRetryAfter = 40 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound what is advised when targets are full.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 250 * time.Millisecond
	// absentRetryAfter is advised when no target is known.
	absentRetryAfter = 150 * time.Millisecond
)
