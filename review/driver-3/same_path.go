//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playSamePath plays BUDGET: a request of one tenant crashes each server that begins to run it.
// Other tenants send the same path, which harms no server.
func playSamePath(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	const host = "jepu9.example"
	const path = "/ledger/overview"
	w.putTenants(7, []string{"kontingent"}, []tenant{{name: "sese880", key: "cda9rgy35ieispuxsr7i"}, {name: "vivo112", key: "427eya6u6sz9frge9itf"}},
		rule{name: "ledger-view", kind: "safe", host: host, prefix: "/ledger/", service: "kontingent", slo: 600 * time.Millisecond, timeout: 2500 * time.Millisecond, priority: 1},
		rule{name: "dues-payment", kind: "unsafe", host: host, prefix: "/payment/", service: "kontingent", slo: 600 * time.Millisecond, timeout: 2500 * time.Millisecond, priority: 1},
	)
	var mu sync.Mutex
	var crashes, late int
	var third time.Time
	onRun := func(t *target, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
		if !strings.HasPrefix(r.URL.Path, path) || r.Header.Get("X-Tenant-Id") != "sese880" {
			return false
		}
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		if !third.IsZero() && time.Since(third) > 4*time.Second {
			late++
			w.note("server %s gets the request again, id %s, %.1f s after it has crashed the third", t.id, id, time.Since(third).Seconds())
		}
		mu.Unlock()
		if !w.trouble {
			return false
		}
		time.Sleep(50 * time.Millisecond)
		mu.Lock()
		crashes++
		w.note("server %s crashes under the request, id %s, crash %d", t.id, id, crashes)
		if crashes == 3 {
			third = time.Now()
		}
		mu.Unlock()
		t.stopBeating()
		t.kill()
		time.AfterFunc(poisonBack, func() {
			if err := t.listen(); err != nil {
				w.note("server %s isn't back: %v", t.id, err)
				return
			}
			t.register()
		})
		panic(http.ErrAbortHandler)
	}
	zones := []string{"praha-a", "praha-b", "brno-a"}
	for i := range 18 {
		t := &target{id: fmt.Sprintf("i-ko%02d", i), service: "kontingent", zone: zones[i%3], slots: 6, work: 150 * time.Millisecond, onRun: onRun}
		if err := w.start(t); err != nil {
			return false, err
		}
	}
	if err := w.startFleet(fleet{
		zones: []string{"praha-a", "praha-b", "brno-a"}, seeds: func(int) []int { return []int{0, 1, 2} },
		contact: 4 * time.Second, drain: 3 * time.Second,
		more: fmt.Sprintf("keys: { withdrawWithin: 5000ms }\nquotas: { window: %s, overage: %v, slack: %v }\n", quotaWindow, quotaOverage, quotaSlack),
	}); err != nil {
		return false, err
	}
	other, poisoned := w.newConsumer(), w.newConsumer()
	other.key, poisoned.key = "427eya6u6sz9frge9itf", "cda9rgy35ieispuxsr7i"
	stop := make(chan struct{})
	var senders sync.WaitGroup
	ends := make(map[string]int)
	for i := range gatewayCount {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				senders.Go(func() {
					id, kind := w.newID(), "view"
					method, to, body := http.MethodGet, path, []byte(nil)
					if n%2 == 1 {
						kind, method, to, body = "payment", http.MethodPost, "/payment/"+id, []byte("dues")
					}
					a := other.send(w.gateways[i], method, host, to, id, body, 2500*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					ends[fmt.Sprintf("%s %d", kind, a.status)]++
					if a.err != nil || a.status != http.StatusOK {
						w.note("%s %s of the other tenant ended with status %d, error %v", kind, id, a.status, a.err)
					}
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := range 20 {
		id := w.newID()
		a := poisoned.send(w.gateways[n%gatewayCount], http.MethodGet, host, path, id, nil, 2500*time.Millisecond)
		w.note("GET %s of the one tenant, id %s, at gateway %d: status %d, error %v", path, id, n%gatewayCount, a.status, a.err)
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	senders.Wait()
	w.note("%d servers crashed; %d retries later than 4 s after the third crash, %d allowed; others: %v", crashes, late, poisonRetries, ends)
	return late > poisonRetries, w.running()
}
