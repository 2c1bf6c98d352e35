//go:build review3

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// leaveAfter is when the consumers that give up close their connections.
	leaveAfter = 300 * time.Millisecond
	// goneLimit is the time after the close from which a request counts by GONE, and aFew how
	// many may.
	goneLimit = 500 * time.Millisecond
	aFew      = 5
)

// playGone plays GONE: consumers leave while their unsafe requests wait for a server with room.
func playGone(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	const host = "hulo84.example"
	w.putConfig(7, []string{"odeslani"},
		rule{name: "payment", kind: "unsafe", host: host, prefix: "/payment/", service: "odeslani", slo: 5 * time.Second, timeout: 8 * time.Second, priority: 1},
		rule{name: "dispatch", kind: "unsafe", host: host, prefix: "/dispatch/", service: "odeslani", slo: 5 * time.Second, timeout: 8 * time.Second, priority: 2})
	var mu sync.Mutex
	// closed holds when the consumer of a request closed its connection.
	closed := make(map[string]time.Time)
	late, ran := 0, 0
	onRun := func(t *target, _ http.ResponseWriter, r *http.Request, _ []byte) bool {
		mu.Lock()
		defer mu.Unlock()
		ran++
		id := r.Header.Get("X-Request-Id")
		if at, found := closed[id]; found && time.Since(at) > goneLimit {
			late++
			w.note("BROKEN: server %s runs %s, id %s, %.3f s after its consumer has closed the connection", t.id, r.URL.Path, id, time.Since(at).Seconds())
		}
		return false
	}
	zones := []string{"praha-a", "praha-b", "brno-a"}
	for i := range 9 {
		t := &target{id: fmt.Sprintf("i-od%02d", i), service: "odeslani", zone: zones[i%3], slots: 2, work: time.Second, onRun: onRun}
		if err := w.start(t); err != nil {
			return false, err
		}
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	consumer := w.newConsumer()
	stop := make(chan struct{})
	var senders sync.WaitGroup
	counts := make(map[string]int)
	for i := range gatewayCount {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(120 * time.Millisecond):
				}
				leaves, path := w.trouble && n%4 == 3, "/dispatch/batch-"
				if n%4 == 1 {
					path = "/payment/"
				}
				senders.Go(func() {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					id := w.newID()
					if leaves {
						time.AfterFunc(leaveAfter, func() {
							cancel()
							mu.Lock()
							defer mu.Unlock()
							closed[id] = time.Now()
						})
					}
					a := consumer.sendContext(ctx, w.gateways[i], http.MethodPost, host, path+id, id, []byte("a batch"), 8*time.Second)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case a.err != nil && leaves:
						counts["left"]++
					case a.err != nil:
						counts["failed"]++
					default:
						counts[fmt.Sprint(a.status)]++
					}
				})
			}
		})
	}
	time.Sleep(25 * time.Second)
	close(stop)
	senders.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	w.note("ends: %v; %d ran; %d reached a server over %v after the close, %d are a few", counts, ran, late, goneLimit, aFew)
	return late > aFew, w.running()
}
