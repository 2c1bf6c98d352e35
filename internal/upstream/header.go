// Package upstream exchanges requests and answers with targets: connections,
// deadlines, cancellation, and the signals that targets put on their answers.
package upstream

import (
	"net/http"
	"strings"
)

// Header names of the exchange with targets and callers.
const (
	// HeaderRequestID carries the request ID in both directions.
	HeaderRequestID = "Request-Id"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Deadline-Ms"
	// HeaderDepth carries how many calls lie above this one.
	HeaderDepth = "Call-Depth"
	// HeaderIdempotencyKey carries the key of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRetried marks an answer that was retried by a layer below.
	HeaderRetried = "Retry-Attempted"
	// HeaderInFlight is a target's report of the requests that it holds.
	HeaderInFlight = "Load-In-Flight"
	// HeaderDraining is set to "true" on the answers of a target that is leaving.
	HeaderDraining = "Load-Draining"
	// HeaderShed is set to "unstarted" on an answer to a request that the target
	// did not start.
	HeaderShed = "Load-Shed"
	// ShedUnstarted is the value of HeaderShed.
	ShedUnstarted = "unstarted"
	// HealthPath is the health endpoint of a target.
	HealthPath = "/healthz"
)

var hopByHop = [...]string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopByHop removes the fields that concern one connection only, those that
// the Connection field names included.
func DropHopByHop(h http.Header) {
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		delete(h, name)
	}
}
