package soak

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/upstream"
)

// counter is a target that counts what it runs, by key and by receipt.
type counter struct {
	// calm makes every request run and be answered.
	calm     bool
	mu       sync.Mutex
	random   *rand.Rand
	keys     map[string][]string
	receipts map[string]int
	shed     int
	cut      int
}

func newCounter(seed uint64) *counter {
	return &counter{
		random:   rand.New(rand.NewPCG(seed, 2)),
		keys:     make(map[string][]string),
		receipts: make(map[string]int),
	}
}

// Fates of a request at the target.
const (
	fateAnswer = iota
	fateShed
	fateCut
	fateSlow
)

// ServeHTTP runs, sheds, cuts or delays a request.
func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	key, receipt := r.Header.Get(upstream.HeaderIdempotencyKey), r.Header.Get(upstream.HeaderRequestID)
	switch c.admit(key, receipt) {
	case fateShed:
		w.Header().Set(upstream.HeaderShed, upstream.ShedUnstarted)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fateCut:
		panic(http.ErrAbortHandler)
	case fateSlow:
		time.Sleep(slowAnswer)
	}
	_, _ = io.WriteString(w, "ran "+key)
}

const slowAnswer = 700 * time.Millisecond

// admit draws the fate of a request and counts it unless it is shed.
func (c *counter) admit(key, receipt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	fate := fateAnswer
	draw := c.random.IntN(10)
	if c.calm {
		draw = 9
	}
	switch draw {
	case 0:
		c.shed++
		return fateShed
	case 1:
		c.cut++
		fate = fateCut
	case 2:
		fate = fateSlow
	}
	c.keys[key] = append(c.keys[key], receipt)
	c.receipts[receipt]++
	return fate
}
