// Package upstream exchanges requests and responses with targets. It manages connections,
// deadlines and cancellation, and reads the header fields in which targets report their
// load and state.
package upstream

import (
	"net/http"
	"strings"
)

// Header fields exchanged with targets and callers.
const (
	// HeaderRequestID carries the request ID in both directions.
	HeaderRequestID = "Request-Id"
	// HeaderDeadline carries the remaining time in milliseconds.
	HeaderDeadline = "Deadline-Ms"
	// HeaderDepth carries the number of calls above this one in the call chain.
	HeaderDepth = "Call-Depth"
	// HeaderIdempotencyKey carries the idempotency key of a non-idempotent request.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRetried marks a request that is a retry, and a response to a request that a
	// lower layer has retried, so that retries don't multiply.
	HeaderRetried = "Retry-Attempted"
	// HeaderInFlight carries the number of requests that a target is processing.
	HeaderInFlight = "Load-In-Flight"
	// HeaderDraining is "true" on the responses of a target that is draining.
	HeaderDraining = "Load-Draining"
	// HeaderShed is ShedUnstarted on the response to a request that the target did not
	// start.
	HeaderShed = "Load-Shed"
	// ShedUnstarted is the value of HeaderShed.
	ShedUnstarted = "unstarted"
	// HealthPath is the health endpoint of a target.
	HealthPath = "/healthz"
)

// hopByHop are the fields that concern one connection only.
var hopByHop = [...]string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// DropHopByHop removes the hop-by-hop fields from h, including those that the Connection
// field names.
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
