//go:build review3

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// configApply is config_apply_ms.
	configApply = 2 * time.Second
	// changePause is the time between two configurations.
	changePause = 2900 * time.Millisecond
	changes     = 30
)

// playCutWatch plays CONFIG: the watches of the configuration that wait while it changes are cut
// off.
func playCutWatch(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	const host = "hulo84.example"
	services := []string{"odeslani", "prijem"}
	put := func(version int) {
		w.putConfig(version, services, rule{name: "dispatch", kind: "unsafe", host: host, prefix: "/dispatch/",
			service: services[version%2], slo: 400 * time.Millisecond, timeout: 1200 * time.Millisecond, priority: 1})
	}
	put(2)
	var mu sync.Mutex
	// version is the latest one and acked the time of its ack. bound holds the version by which
	// a request must be handled, or by a later one, if it was sent late enough.
	version, acked := 2, time.Now()
	bound := make(map[string]int)
	stale := 0
	onRun := func(t *target, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		// A later version allows the other service again.
		if v, found := bound[id]; found && v == version && services[v%2] != t.service {
			stale++
			w.note("BROKEN: server %s of %s runs request %s, id %s, which only an older configuration allows", t.id, t.service, r.URL.Path, id)
		}
		return false
	}
	zones := []string{"praha-a", "praha-b", "brno-a"}
	for i := range 12 {
		for _, service := range services {
			t := &target{id: fmt.Sprintf("i-%s%02d", service[:2], i), service: service, zone: zones[i%3], slots: 4, work: 60 * time.Millisecond, onRun: onRun}
			if err := w.start(t); err != nil {
				return false, err
			}
		}
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	consumer := w.newConsumer()
	stop := make(chan struct{})
	var senders sync.WaitGroup
	ends := make(map[string]int)
	for i := range gatewayCount {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				senders.Go(func() {
					id := w.newID()
					mu.Lock()
					if late := time.Since(acked) - configApply; late > 0 {
						bound[id] = version
					}
					mu.Unlock()
					a := consumer.send(w.gateways[i], http.MethodPost, host, "/dispatch/batch-"+id, id, []byte("a batch"), 1200*time.Millisecond)
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
	time.Sleep(4 * time.Second)
	for n := range changes {
		if w.trouble {
			w.note("store: %d waiting watches of the configuration are cut off", w.store.cut("config"))
		}
		mu.Lock()
		version += 1
		put(version)
		acked = time.Now()
		mu.Unlock()
		time.Sleep(changePause + time.Duration(n%7)*40*time.Millisecond)
	}
	close(stop)
	senders.Wait()
	w.note("ends: %v; %d requests that were sent later than %v after the ack of a configuration ran by an older one", ends, stale, configApply)
	return stale > 0, w.running()
}
