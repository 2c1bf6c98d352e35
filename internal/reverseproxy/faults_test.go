package reverseproxy

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/standin"
)

// batchTarget counts how often each batch was run. The number of a batch, which
// is both its body and its path, selects the fault of the target.
type batchTarget struct {
	mu   sync.Mutex
	runs map[string]int
	shed map[string]bool
}

func (b *batchTarget) handle(w http.ResponseWriter, r *http.Request) {
	batch := strings.TrimPrefix(r.URL.Path, "/")
	number, _ := strconv.Atoi(batch)
	fault := number % 8
	if fault == 0 || fault == 1 && b.firstDelivery(batch) {
		standin.Shed(w, r)
		return
	}
	if fault == 2 {
		standin.CloseConnection(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	b.recordRun(batch)
	switch fault {
	case 3:
		standin.CloseConnection(w, r)
	case 4:
		standin.Truncate(w, r)
	case 5:
		time.Sleep(5 * time.Millisecond)
	case 6:
		_, _ = w.Write(make([]byte, 4*maxBufferedResponse))
	}
}

func (b *batchTarget) firstDelivery(batch string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	seen := b.shed[batch]
	b.shed[batch] = true
	return !seen
}

func (b *batchTarget) recordRun(batch string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[batch]++
}

func (b *batchTarget) runCount(batch string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[batch]
}

// Each batch is sent three times concurrently, to two instances with a shared
// ledger, while targets fail in all ways and callers disconnect. No batch may run
// twice, a batch with a successful response must have run, and a batch reported
// as not-run to all callers must not have run.
func TestBatchesRunAtMostOnceUnderFaults(t *testing.T) {
	const batches, copies = 150, 3
	b := &batchTarget{runs: make(map[string]int), shed: make(map[string]bool)}
	first := newTestServer(testDocument, nil)
	second := newTestServer(testDocument, func(o *Options) { o.Ledger = first.ledger })
	for _, s := range []*testServer{first, second} {
		for _, target := range s.serveTargets(t, "odeslani", 4) {
			target.SetBehavior(b.handle)
		}
	}
	runStates := make([][copies]RunState, batches)
	var wg sync.WaitGroup
	for i := range runStates {
		for j := range runStates[i] {
			cancels := (i+j)%7 == 0
			wg.Go(func() {
				key := strconv.Itoa(i)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if cancels {
					time.AfterFunc(2*time.Millisecond, cancel)
				}
				instance := []*testServer{first, second}[j%2]
				runStates[i][j] = instance.runState(post("/odeslani/"+key, key, key).WithContext(ctx))
			})
		}
	}
	wg.Wait()
	for _, s := range []*testServer{first, second} {
		if err := s.WaitForOutcomes(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	seen := make(map[RunState]int)
	for i, states := range runStates {
		runs := b.runCount(strconv.Itoa(i))
		notRun := 0
		for _, state := range states {
			seen[state]++
			if state == HasRun && runs == 0 {
				t.Errorf("batch %d was reported as run but did not run", i)
			}
			if state == NotRun {
				notRun++
			}
		}
		if runs > 1 || (notRun == copies && runs > 0) {
			t.Errorf("batch %d ran %d times, reported as %v", i, runs, states)
		}
	}
	for _, state := range []RunState{NotRun, OutcomeUnknown, HasRun} {
		if seen[state] == 0 {
			t.Errorf("no response reported %s: the faults don't cover it", state)
		}
	}
}

// runState sends a request and returns the run state that the response reports.
// An aborted transfer reports none and counts as unknown.
func (s *testServer) runState(req *http.Request) (state RunState) {
	defer func() {
		if recover() != nil {
			state = OutcomeUnknown
		}
	}()
	w := s.do(req)
	var problem Problem
	if json.Unmarshal(w.Body.Bytes(), &problem) == nil && problem.RunState != "" {
		return problem.RunState
	}
	return HasRun
}
