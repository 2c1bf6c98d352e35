//go:build review3

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// poisonAnswer is the length of the answer to the request that crashes servers, and
	// poisonSent how much of it a server sends before it crashes.
	poisonAnswer = 200_000
	poisonSent   = 120_000
	// poisonBack is after what time a server is back.
	poisonBack = 3 * time.Second
	// poisonRetries is how many retries the rule allows later than contact after the third crash.
	poisonRetries = 3
)

// playPoison plays BUDGET: a request crashes each server that begins to run it, while that
// sends the answer.
func playPoison(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	const host = "jepu9.example"
	w.putConfig(7, []string{"nahled"},
		rule{name: "preview", kind: "safe", host: host, prefix: "/preview/", service: "nahled", slo: 600 * time.Millisecond, timeout: 2500 * time.Millisecond},
		rule{name: "dispatch", kind: "unsafe", host: host, prefix: "/dispatch/", service: "nahled", slo: 600 * time.Millisecond, timeout: 2500 * time.Millisecond},
	)
	var mu sync.Mutex
	var crashes, late, lost, served, whole int
	var third time.Time
	onRun := func(t *target, rw http.ResponseWriter, r *http.Request, _ []byte) bool {
		if !strings.HasPrefix(r.URL.Path, "/preview/long") {
			return false
		}
		id := r.Header.Get("X-Request-Id")
		mu.Lock()
		if !third.IsZero() && time.Since(third) > contact {
			late++
			w.note("server %s gets the request again, id %s, %.1f s after it has crashed the third", t.id, id, time.Since(third).Seconds())
		}
		mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		rw.Header().Set("Content-Length", strconv.Itoa(poisonAnswer))
		_, _ = rw.Write(make([]byte, poisonSent))
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(100 * time.Millisecond)
		if !w.trouble {
			_, _ = rw.Write(make([]byte, poisonAnswer-poisonSent))
			return true
		}
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
	for i := range 12 {
		t := &target{id: fmt.Sprintf("i-na%02d", i), service: "nahled", zone: zones[i%3], slots: 4, work: 150 * time.Millisecond, onRun: onRun}
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
	for i := range gatewayCount {
		senders.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				senders.Go(func() {
					id := w.newID()
					a := consumer.send(w.gateways[i], http.MethodPost, host, "/dispatch/batch-"+id, id, []byte("a batch"), 2500*time.Millisecond)
					mu.Lock()
					defer mu.Unlock()
					if a.err == nil && a.status == http.StatusOK {
						served++
						return
					}
					lost++
					w.note("unsafe request %s of another consumer ended with status %d, error %v", id, a.status, a.err)
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	for n := range 20 {
		id := w.newID()
		a := consumer.send(w.gateways[n%gatewayCount], http.MethodGet, host, "/preview/long", id, nil, 2500*time.Millisecond)
		w.note("GET /preview/long, id %s, at gateway %d: status %d, %d bytes, error %v", id, n%gatewayCount, a.status, len(a.body), a.err)
		if a.err == nil && a.status == http.StatusOK && len(a.body) == poisonAnswer {
			whole++
		}
		time.Sleep(1500 * time.Millisecond)
	}
	close(stop)
	senders.Wait()
	w.note("%d servers crashed; %d retries later than %v after the third crash, %d allowed", crashes, late, contact, poisonRetries)
	w.note("unsafe requests of others: %d served, %d not; long answers whole: %d", served, lost, whole)
	if !w.trouble && whole != 20 {
		return false, fmt.Errorf("only %d long answers were whole without trouble", whole)
	}
	return late > poisonRetries, w.running()
}
