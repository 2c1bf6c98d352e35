package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/upstream"
)

// countingTarget is a target that counts the requests it runs, by idempotency key and
// by request ID. It is safe for concurrent use.
type countingTarget struct {
	// faultless makes the target run and answer every request.
	faultless       bool
	mu              sync.Mutex
	random          *rand.Rand
	requestIDsByKey map[string][]string
	runsByRequestID map[string]int
	shedCount       int
	abortedCount    int
}

func newCountingTarget(seed uint64) *countingTarget {
	return &countingTarget{
		random:          rand.New(rand.NewPCG(seed, 2)),
		requestIDsByKey: make(map[string][]string),
		runsByRequestID: make(map[string]int),
	}
}

// Actions of the target on a request.
const (
	// actRespond runs the request and responds immediately.
	actRespond = iota
	// actShed refuses the request without running it.
	actShed
	// actAbort runs the request and aborts the connection without a response.
	actAbort
	// actRespondSlowly runs the request and responds after slowResponseDelay.
	actRespondSlowly
)

// ServeHTTP implements http.Handler. It answers, sheds, aborts or delays a request at
// random.
func (c *countingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key, requestID := r.Header.Get(upstream.HeaderIdempotencyKey), r.Header.Get(upstream.HeaderRequestID)
	switch c.chooseAction(key, requestID) {
	case actShed:
		w.Header().Set(upstream.HeaderShed, upstream.ShedUnstarted)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case actAbort:
		panic(http.ErrAbortHandler)
	case actRespondSlowly:
		time.Sleep(slowResponseDelay)
	}
	_, _ = io.WriteString(w, "ran "+key)
}

// slowResponseDelay is the delay of a slow response. It is within the deadline of
// soakConfig, so that a slow response may still arrive in time.
const slowResponseDelay = 700 * time.Millisecond

// chooseAction returns a random action for a request, and counts the request as run
// unless it is shed.
func (c *countingTarget) chooseAction(key, requestID string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	action := actRespond
	sample := c.random.IntN(10)
	if c.faultless {
		sample = 9
	}
	switch sample {
	case 0:
		c.shedCount++
		return actShed
	case 1:
		c.abortedCount++
		action = actAbort
	case 2:
		action = actRespondSlowly
	}
	c.requestIDsByKey[key] = append(c.requestIDsByKey[key], requestID)
	c.runsByRequestID[requestID]++
	return action
}
