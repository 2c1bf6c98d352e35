//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playForeignEntry plays ROUTE: an entry of another writer with fields missing stands for a
// moment under the id of a server of another service.
func playForeignEntry(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	const host = "hulo84.example"
	w.putConfig(7, []string{"odeslani", "nahled"},
		rule{name: "dispatch", kind: "unsafe", host: host, prefix: "/odeslani/", service: "odeslani", slo: 400 * time.Millisecond, timeout: 1200 * time.Millisecond},
		rule{name: "preview", kind: "safe", host: host, prefix: "/nahled/", service: "nahled", slo: 300 * time.Millisecond, timeout: time.Second},
	)
	var mu sync.Mutex
	foreign := 0
	onRun := func(t *target, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
		if want := "/" + t.service + "/"; len(r.URL.Path) < len(want) || r.URL.Path[:len(want)] != want {
			mu.Lock()
			foreign++
			mu.Unlock()
			w.note("BROKEN: server %s of %s runs %s %s, id %s", t.id, t.service, r.Method, r.URL.Path, r.Header.Get("X-Request-Id"))
		}
		return false
	}
	zones := []string{"praha-a", "praha-b", "brno-a"}
	var previews []*target
	for i := range 9 {
		for _, service := range []string{"odeslani", "nahled"} {
			t := &target{id: fmt.Sprintf("i-%s%02d", service[:2], i), service: service, zone: zones[i%3], slots: 2, work: 100 * time.Millisecond, onRun: onRun}
			if err := w.start(t); err != nil {
				return false, err
			}
			if service == "nahled" {
				previews = append(previews, t)
			}
		}
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	consumer := w.newConsumer()
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var served, failed int
	for i := range gatewayCount {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				senders.Go(func() {
					method, path, body := http.MethodPost, fmt.Sprintf("/odeslani/%d", n), []byte("a batch")
					if n%2 == 1 {
						method, path, body = http.MethodGet, fmt.Sprintf("/nahled/%d", n), nil
					}
					id := w.newID()
					a := consumer.send(w.gateways[i], method, host, path, id, body, 1200*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					if a.err == nil && a.status == http.StatusOK {
						served++
						return
					}
					failed++
					w.note("request %s %s ended with status %d, error %v", id, path, a.status, a.err)
				})
			}
		})
	}
	time.Sleep(3 * time.Second)
	for round := range 8 {
		t := previews[round]
		if w.trouble {
			w.store.put("servers", t.id, fmt.Sprintf(`{"service":"odeslani","address":%q,"zone":%q,"slots":2,"state":"ready"}`, t.addr, t.zone))
			w.note("another writer: entry %s without version, cold_remaining_ms, sequence and born names service odeslani", t.id)
		}
		time.Sleep(3 * time.Second)
	}
	close(stop)
	senders.Wait()
	w.note("%d served, %d not; %d ran at a server of another service", served, failed, foreign)
	return foreign > 0, w.running()
}
