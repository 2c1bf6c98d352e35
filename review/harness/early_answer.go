package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// rejectsEarly makes a share of the targets of uploads reject the share x of the long requests
// before they are in.
func rejectsEarly(share, x float64) func(*target) {
	n := 0
	return func(t *target) {
		if t.service != "prijem" {
			return
		}
		n++
		if int(share*float64(n)) > int(share*float64(n-1)) {
			t.earlyShare = x
		}
	}
}

// earlyAnswer plays uploads that stall on their way, while some targets reject a few long
// requests before they are in. Broken is LOST: on one machine, more than three requests from
// kept connections have run at sound targets and the connection ended without an answer.
func earlyAnswer(p *play) (string, error) {
	const length, budget = 90 * time.Second, 1200 * time.Millisecond
	f, runs, err := startUploads(p, 1200, rejectsEarly(0.6, 0.03))
	if err != nil {
		return "", err
	}
	defer f.stop()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	var mu sync.Mutex
	lost := make(map[*gateway]int)
	answered, stalled, uploaded, refused := 0, 0, 0, 0
	var loops sync.WaitGroup
	for _, g := range f.gateways {
		for range 8 {
			loops.Go(func() {
				c := &consumer{record: p.record, addr: g.front}
				defer c.close()
				for ctx.Err() == nil {
					a := c.do("POST", uploadHost, "/xapu/2f", make([]byte, 1200), 1200*time.Millisecond)
					if a.err != nil {
						time.Sleep(200 * time.Millisecond)
					}
					mu.Lock()
					if a.status != 0 {
						answered++
					}
					if a.err != nil && !a.late && a.kept && len(runs.of(a.id)) > 0 {
						lost[g]++
						p.record.add("LOST: %s ran at %v and got no answer from %s", a.id, runs.of(a.id), g.name)
						if lost[g] > 3 {
							cancel()
						}
					}
					mu.Unlock()
					time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
				}
			})
		}
		for range 30 {
			loops.Go(func() {
				encoded := chunked(rows(1_100_000))
				for ctx.Err() == nil {
					stallAt := -1
					if p.trouble && rand.IntN(2) == 0 {
						stallAt = len(encoded)/2 + rand.IntN(len(encoded)/2)
					}
					a := upload(p.record, g.front, uploadHost, "/fiti/2f", encoded, stallAt, budget)
					mu.Lock()
					if stallAt >= 0 {
						stalled++
					}
					switch a.status {
					case 200:
						uploaded++
					case 503:
						refused++
					}
					mu.Unlock()
					time.Sleep(time.Duration(300+rand.IntN(600)) * time.Millisecond)
				}
			})
		}
	}
	loops.Wait()
	summary := fmt.Sprintf("%d dispatches answered; %d uploads stalled, %d uploads served, %d answered 503", answered, stalled, uploaded, refused)
	p.record.add("%s", summary)
	fmt.Println(summary)
	for _, g := range f.gateways {
		g.mu.Lock()
		ends := g.ends
		g.mu.Unlock()
		fmt.Printf("machine %s: %d ends of its process by itself, %d requests lost\n", g.name, ends, lost[g])
	}
	for _, g := range f.gateways {
		if lost[g] > 3 {
			return fmt.Sprintf("LOST: machine %s: its process ended by itself %d times; %d requests from kept connections had run and got no answer", g.name, g.ends, lost[g]), nil
		}
	}
	return "", nil
}
