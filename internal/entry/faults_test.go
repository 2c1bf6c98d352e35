package entry

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

// printer counts how often each batch was run. A batch's number, which is its
// body and its path, decides how the targets fail.
type printer struct {
	mu   sync.Mutex
	runs map[string]int
	shed map[string]bool
}

func (p *printer) handle(w http.ResponseWriter, r *http.Request) {
	batch := strings.TrimPrefix(r.URL.Path, "/")
	number, _ := strconv.Atoi(batch)
	fate := number % 8
	if fate == 0 || fate == 1 && p.firstTime(batch) {
		standin.Shed(w, r)
		return
	}
	if fate == 2 {
		standin.CloseConnection(w, r)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	p.run(batch)
	switch fate {
	case 3:
		standin.CloseConnection(w, r)
	case 4:
		standin.Truncate(w, r)
	case 5:
		time.Sleep(5 * time.Millisecond)
	case 6:
		_, _ = w.Write(make([]byte, 4*maxKeptAnswer))
	}
}

func (p *printer) firstTime(batch string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := p.shed[batch]
	p.shed[batch] = true
	return !seen
}

func (p *printer) run(batch string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs[batch]++
}

func (p *printer) ran(batch string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[batch]
}

// Batches are received three times at once, by two instances with one ledger,
// while targets fail in every way and callers leave. No batch runs twice, an
// answered one ran, and one that was not-run for all its receipts did not run.
func TestBatchesRunAtMostOnceUnderFaults(t *testing.T) {
	const batches, receipts = 150, 3
	p := &printer{runs: make(map[string]int), shed: make(map[string]bool)}
	first := newBench(testDocument, nil)
	second := newBench(testDocument, func(o *Options) { o.Ledger = first.ledger })
	for _, b := range []*bench{first, second} {
		for _, target := range b.serveTargets(t, "odeslani", 4) {
			target.SetBehavior(p.handle)
		}
	}
	rans := make([][receipts]Ran, batches)
	var wg sync.WaitGroup
	for i := range rans {
		for j := range rans[i] {
			leaves := (i+j)%7 == 0
			wg.Go(func() {
				key := strconv.Itoa(i)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if leaves {
					time.AfterFunc(2*time.Millisecond, cancel)
				}
				instance := []*bench{first, second}[j%2]
				rans[i][j] = instance.ran(post("/odeslani/"+key, key, key).WithContext(ctx))
			})
		}
	}
	wg.Wait()
	for _, b := range []*bench{first, second} {
		if err := b.Settle(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	seen := make(map[Ran]int)
	for i, answers := range rans {
		runs := p.ran(strconv.Itoa(i))
		notRun := 0
		for _, ran := range answers {
			seen[ran]++
			if ran == HasRun && runs == 0 {
				t.Errorf("batch %d is said to have run", i)
			}
			if ran == NotRun {
				notRun++
			}
		}
		if runs > 1 || (notRun == receipts && runs > 0) {
			t.Errorf("batch %d ran %d times, answers %v", i, runs, answers)
		}
	}
	for _, ran := range []Ran{NotRun, MayHaveRun, HasRun} {
		if seen[ran] == 0 {
			t.Errorf("no receipt was answered %s: the faults don't cover it", ran)
		}
	}
}

// ran returns what a request's answer says of the caller's work. An aborted
// transfer says nothing, so that it counts as unknown.
func (b *bench) ran(req *http.Request) (ran Ran) {
	defer func() {
		if recover() != nil {
			ran = MayHaveRun
		}
	}()
	w := b.do(req)
	var problem Problem
	if json.Unmarshal(w.Body.Bytes(), &problem) == nil && problem.Ran != "" {
		return problem.Ran
	}
	return HasRun
}
