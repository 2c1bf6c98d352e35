package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// staleReads plays changes of the configuration while the store's calls with allow_stale
// return data that is seconds old. Broken is CONFIG: a request that was sent later than
// config_apply_ms after the acknowledgement of a version is run by the service that only an
// older version allows.
func staleReads(p *play) (string, error) {
	const applyTime, staleness, host = 2 * time.Second, 3 * time.Second, "jepu9.example"
	s, err := startStore()
	if err != nil {
		return "", err
	}
	if p.trouble {
		s.setStaleness(staleness)
	}
	runs := newRuns()
	services := make(map[string]string)
	zones := []string{"praha-a", "brno-a", "ostrava-a"}
	for i := range 12 {
		t := &target{id: fmt.Sprintf("i-%04x", 0x7f00+i), service: "odeslani", work: 20 * time.Millisecond, zone: zones[i/2%3], slots: 4, responseBytes: 1500, record: p.record, runs: runs}
		if i%2 == 1 {
			t.service = "prijem"
		}
		services[t.id] = t.service
		if err := t.start(s); err != nil {
			return "", err
		}
	}
	put := func(version int, service string) time.Time {
		at := s.putConfig(version, []string{"odeslani", "prijem"},
			rule{name: "dispatch", kind: "unsafe", host: host, prefix: "/xapu/", service: service, timeoutMs: 1200, aimMs: 400, attempts: 2})
		p.record.add("operator: version %d, /xapu/ goes to %s, acknowledged", version, service)
		return at
	}
	current := "odeslani"
	put(7, current)
	f, err := startFleet(p.record, p.dir, 3, small, s.addr)
	if err != nil {
		return "", err
	}
	defer f.stop()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := f.awaitReady(ctx); err != nil {
		return "", err
	}
	// contact_ms, and as long as the stale reads lag, so that all machines are in touch.
	time.Sleep(6 * time.Second)
	ctx, cancel = context.WithCancel(context.Background())
	defer cancel()
	var mu sync.Mutex
	var ackedAt time.Time
	sent, wrong := 0, 0
	var loops sync.WaitGroup
	for _, g := range f.gateways {
		for range 2 {
			loops.Go(func() {
				c := &consumer{record: p.record, addr: g.front}
				defer c.close()
				for ctx.Err() == nil {
					mu.Lock()
					bound := !ackedAt.IsZero() && time.Since(ackedAt) > applyTime
					allowed := current
					mu.Unlock()
					a := c.do("POST", host, "/xapu/2f", make([]byte, 300), 1200*time.Millisecond)
					mu.Lock()
					sent++
					// What was sent before the next change may be run by the service before it.
					if bound && allowed == current {
						for _, target := range runs.of(a.id) {
							if services[target] != allowed {
								wrong++
								p.record.add("CONFIG: %s was sent %v after the acknowledgement or later and ran at %s of %s, not of %s", a.id, applyTime, target, services[target], allowed)
							}
						}
					}
					mu.Unlock()
					time.Sleep(20 * time.Millisecond)
				}
			})
		}
	}
	for version, next := range []string{"prijem", "odeslani", "prijem"} {
		mu.Lock()
		current, ackedAt = next, put(11+3*version, next)
		mu.Unlock()
		time.Sleep(6 * time.Second)
	}
	cancel()
	loops.Wait()
	summary := fmt.Sprintf("%d dispatches sent, %d of those sent %v after an acknowledgement or later ran at the service of the version before", sent, wrong, applyTime)
	p.record.add("%s", summary)
	fmt.Println(summary)
	if wrong > 0 {
		return "CONFIG: " + summary, nil
	}
	return "", nil
}
