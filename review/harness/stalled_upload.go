package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// uploadHost is the host of the routes of startUploads.
const uploadHost = "jepu9.example"

// startUploads starts a small deployment for dispatches (/xapu/) and uploads (/fiti/).
func startUploads(p *play, timeoutMs int, each func(*target)) (*fleet, *runs, error) {
	s, err := startStore()
	if err != nil {
		return nil, nil, err
	}
	runs := newRuns()
	zones := []string{"praha-a", "brno-a", "ostrava-a"}
	for i := range 24 {
		t := &target{id: fmt.Sprintf("i-%04x", 0x7f00+i), service: "odeslani", work: 160 * time.Millisecond, zone: zones[i/2%3], slots: 2, responseBytes: 1500, record: p.record, runs: runs}
		if i%2 == 1 {
			t.service, t.work = "prijem", 140*time.Millisecond
		}
		if each != nil {
			each(t)
		}
		if err := t.start(s); err != nil {
			return nil, nil, err
		}
	}
	s.putConfig(7, []string{"odeslani", "prijem"},
		rule{name: "dispatch", kind: "unsafe", host: uploadHost, prefix: "/xapu/", service: "odeslani", timeoutMs: 1200, aimMs: 400, attempts: 2},
		rule{name: "list-upload", kind: "upload", host: uploadHost, prefix: "/fiti/", service: "prijem", timeoutMs: timeoutMs, aimMs: 500, attempts: 2})
	f, err := startFleet(p.record, p.dir, 3, small, s.addr)
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := f.awaitReady(ctx); err != nil {
		f.stop()
		return nil, nil, err
	}
	return f, runs, nil
}

// stalledUpload plays uploads of address lists, each second of which stalls on its way. Broken
// is CONFIG: of the requests that are unanswered at the timeout_ms of their route, eight or
// more, and more than half, have no answer half a second later.
func stalledUpload(p *play) (string, error) {
	const length, timeout, slack, budget = 15 * time.Second, 1200 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second
	f, _, err := startUploads(p, int(timeout.Milliseconds()), nil)
	if err != nil {
		return "", err
	}
	defer f.stop()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var mu sync.Mutex
	answered, stalled, atTimeout, later := 0, 0, 0, 0
	var loops sync.WaitGroup
	for _, g := range f.gateways {
		for i := range 3 {
			loops.Go(func() {
				encoded := chunked(rows(2_000_000))
				for n := i; ctx.Err() == nil; n++ {
					stallAt := -1
					if p.trouble && n%2 == 0 {
						stallAt = rand.IntN(len(encoded))
					}
					a := upload(p.record, g.front, uploadHost, "/fiti/2f", encoded, stallAt, budget)
					mu.Lock()
					if a.status != 0 {
						answered++
					}
					if stallAt >= 0 {
						stalled++
					}
					if a.err != errNotConnected && a.took > timeout {
						atTimeout++
					}
					if a.err != errNotConnected && a.took > timeout+slack {
						later++
						p.record.add("LATE: %s has no answer %v after it was sent", a.id, timeout+slack)
					}
					mu.Unlock()
					time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
				}
			})
		}
	}
	loops.Wait()
	summary := fmt.Sprintf("%d uploads answered, %d stalled; %d unanswered after %v, %d of them after %v", answered, stalled, atTimeout, timeout, later, timeout+slack)
	p.record.add("%s", summary)
	fmt.Println(summary)
	if later >= 8 && 2*later > atTimeout {
		return "CONFIG: " + summary, nil
	}
	return "", nil
}
