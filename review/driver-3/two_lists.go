//go:build review3

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Bounds of a deployment with tenants.
const (
	quotaWindow  = 5 * time.Second
	quotaOverage = 0.1
	quotaSlack   = 20
	quotaRate    = 40
	quotaBurst   = 40
)

// playTwoLists plays QUOTA: some machines are restarted, and the seeds in their settings aren't
// those that the others were started with.
func playTwoLists(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	const host = "hulo84.example"
	w.putTenants(7, []string{"samling"}, []tenant{
		{name: "sese880", key: "cda9rgy35ieispuxsr7i", rate: quotaRate, burst: quotaBurst},
		{name: "vivo112", key: "427eya6u6sz9frge9itf", rate: quotaRate, burst: quotaBurst},
	}, rule{name: "signup", kind: "unsafe", host: host, prefix: "/signup/", service: "samling", slo: 800 * time.Millisecond, timeout: 2 * time.Second, priority: 1})
	var mu sync.Mutex
	var arrivals []time.Time
	onRun := func(_ *target, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
		if r.Header.Get("X-Tenant-Id") == "sese880" {
			mu.Lock()
			arrivals = append(arrivals, time.Now())
			mu.Unlock()
		}
		return false
	}
	zones := []string{"praha-a", "praha-b", "brno-a"}
	for i := range 18 {
		t := &target{id: fmt.Sprintf("i-sa%02d", i), service: "samling", zone: zones[i%3], slots: 6, work: 50 * time.Millisecond, onRun: onRun}
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
	seeds := f.seeds(0)
	if w.trouble {
		seeds = []int{0, 1, 3}
	}
	for _, g := range w.gateways[3:] {
		if err := w.restart(g, seeds); err != nil {
			return false, err
		}
	}
	time.Sleep(f.contact)
	consumer := w.newConsumer()
	consumer.key = "cda9rgy35ieispuxsr7i"
	stop := make(chan struct{})
	var senders sync.WaitGroup
	ends := make(map[string]int)
	for i := range f.zones {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(30 * time.Millisecond):
				}
				senders.Go(func() {
					id := w.newID()
					a := consumer.send(w.gateways[i], http.MethodPost, host, "/signup/"+id, id, []byte("a name"), 2*time.Second)
					mu.Lock()
					defer mu.Unlock()
					if a.err != nil {
						ends["failed"]++
						return
					}
					ends[fmt.Sprint(a.status)]++
				})
			}
		})
	}
	time.Sleep(30 * time.Second)
	close(stop)
	senders.Wait()
	allowed := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].Sub(arrivals[first]) >= quotaWindow {
			first++
		}
		if n := last - first + 1; n > most {
			most = n
			w.note("%d requests of the tenant ran from %.3f s to %.3f s", n, arrivals[first].Sub(w.startedAt).Seconds(), arrivals[last].Sub(w.startedAt).Seconds())
		}
	}
	w.note("ends: %v; at most %d requests of the tenant ran in %v, %.0f are allowed", ends, most, quotaWindow, allowed)
	return float64(most) > allowed, w.running()
}
