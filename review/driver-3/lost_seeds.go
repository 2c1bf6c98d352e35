//go:build review3

package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// recovery is recovery_s, and back after what time the machines are back that return.
	recovery = 15 * time.Second
	back     = time.Second
	// newList is after what time the settings of the machines list others as seeds.
	newList = 3 * time.Second
)

// playLostSeeds plays RECOVER: all processes are killed, and three machines, which the settings
// list as seeds, are removed for good.
func playLostSeeds(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	const host = "hulo84.example"
	w.putTenants(7, []string{"samling"}, []tenant{
		{name: "sese880", key: "cda9rgy35ieispuxsr7i", rate: 289, burst: 289},
		{name: "vivo112", key: "427eya6u6sz9frge9itf", rate: 289, burst: 289},
	}, rule{name: "signup", kind: "unsafe", host: host, prefix: "/signup/", service: "samling", slo: 800 * time.Millisecond, timeout: 2 * time.Second, priority: 1})
	zones := []string{"praha-a", "praha-b", "brno-a"}
	for i := range 18 {
		t := &target{id: fmt.Sprintf("i-sa%02d", i), service: "samling", zone: zones[i%3], slots: 6, work: 50 * time.Millisecond}
		if err := w.start(t); err != nil {
			return false, err
		}
	}
	f := fleet{
		zones:   []string{"praha-a", "brno-a", "praha-b", "praha-b", "brno-a", "praha-a"},
		seeds:   func(int) []int { return []int{0, 1, 2} },
		contact: 4 * time.Second, drain: 3 * time.Second,
		more: fmt.Sprintf("keys: { withdrawWithin: 5000ms }\nquotas: { window: %s, overage: %v, slack: %v }\n", quotaWindow, quotaOverage, quotaSlack),
	}
	w.note("the settings of all gateways list the machines %v as seeds", f.seeds(0))
	if err := w.startFleet(f); err != nil {
		return false, err
	}
	time.Sleep(f.contact)
	before := w.share(w.gateways, host, 8*time.Second)
	removed, returned := w.gateways[:3], w.gateways[3:]
	if w.trouble {
		for _, g := range w.gateways {
			_ = g.command.Process.Kill()
		}
		for _, g := range w.gateways {
			<-g.ended
		}
		w.note("all processes are killed; the machines 0, 1, 2 are removed for good")
		time.Sleep(back)
		for _, g := range returned {
			if err := w.startProcess(g, f.seeds(g.index)); err != nil {
				return false, err
			}
		}
		w.gateways = returned
		if err := w.awaitReady(); err != nil {
			return false, err
		}
	}
	backAt := time.Now()
	time.Sleep(newList)
	if w.trouble {
		for _, g := range returned {
			if err := os.WriteFile(g.settings, []byte(g.render([]int{3, 4, 5})), 0o600); err != nil {
				return false, err
			}
			_ = g.command.Process.Signal(syscall.SIGHUP)
		}
		w.note("the settings of the machines 3, 4, 5 list themselves as seeds now, and they get SIGHUP")
	}
	time.Sleep(time.Until(backAt.Add(recovery)))
	after := w.share(returned, host, 20*time.Second)
	w.note("served: %.3f before, %.3f later than %v after the machines are back; a quarter is the least", before, after, recovery)
	if w.trouble {
		for _, g := range removed {
			w.note("gateway %d hasn't come back", g.index)
		}
	}
	return before >= 0.25 && after < 0.25, w.running()
}

// share sends requests of a tenant to some gateways for a time, 20 a second to each and well below
// its quota, and returns the share that is served.
func (w *world) share(gateways []*gateway, host string, d time.Duration) float64 {
	c := w.newConsumer()
	c.key = "cda9rgy35ieispuxsr7i"
	var mu sync.Mutex
	var senders sync.WaitGroup
	ends := make(map[string]int)
	end := time.Now().Add(d)
	for _, g := range gateways {
		senders.Go(func() {
			for time.Now().Before(end) {
				time.Sleep(50 * time.Millisecond)
				senders.Go(func() {
					id := w.newID()
					a := c.send(g, http.MethodPost, host, "/signup/"+id, id, []byte("a name"), 2*time.Second)
					mu.Lock()
					defer mu.Unlock()
					ends[fmt.Sprint(a.status)]++
					if a.err != nil {
						ends["cut"]++
					}
				})
			}
		})
	}
	senders.Wait()
	total := 0
	for _, n := range ends {
		total += n
	}
	w.note("requests of a tenant within its quota, by status: %v", ends)
	return float64(ends["200"]) / float64(max(1, total))
}
