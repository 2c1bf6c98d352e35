//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["7"] = failingServer }

const (
	// failShare is the share of its requests that the grey server fails: x of srv_grey.
	failShare = 0.4
	// greyServers of greyOf servers are grey: below its share of 0.14.
	greyServers, greyOf = 1, 8
)

// failingServer plays a server that fails a part of the orders that it has run, by a status 503
// of its own, without the header by which servers state that they didn't run a request.
func failingServer(p *play) (bool, error) {
	ledger := newLedger()
	var servers []*server
	for i := range greyOf {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "odeslani", zone: "praha-a", slots: 2, work: 60 * time.Millisecond, onRun: ledger.ran}
		if i < greyServers && p.troubled {
			s.answer = func(w http.ResponseWriter, r *http.Request) {
				if rand.Float64() < failShare {
					p.note("%s: %s has run it and fails: 503 with its signature, no X-Not-Executed", r.Header.Get("X-Request-Id"), s.id)
					w.WriteHeader(http.StatusServiceUnavailable)
				}
				_, _ = w.Write([]byte("answer of " + s.id))
			}
		}
		servers = append(servers, s)
	}
	g, err := smallDeployment(p, servers, "/orders/", "unsafe", 1200)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	promised, doubled, sent := 0, 0, 0
	var callers sync.WaitGroup
	for caller := range 12 {
		callers.Go(func() {
			for round := range 60 {
				id := fmt.Sprintf("c%d-%d", caller, round)
				status := sendOrder(p, g, id)
				ran, _ := ledger.state(id)
				p.note("%s: sent, answered %d, ran %d times", id, status, ran)
				broken, again := promises(status) && ran > 0, 0
				if broken {
					p.note("%s: answered %d, a promise that it hasn't run, and ran %d times", id, status, ran)
					// The caller believes that and sends its order again, as it may.
					sendOrder(p, g, id+"-again")
					if again, _ = ledger.state(id + "-again"); again > 0 {
						p.note("%s-again: the same order ran again", id)
					}
				}
				mu.Lock()
				sent++
				if broken {
					promised++
				}
				doubled += again
				mu.Unlock()
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	p.note("%d orders sent; %d answered as not run although they had run; %d of these ran again when sent again", sent, promised, doubled)
	return promised > 0, nil
}

// promises reports whether a status states that the request hasn't run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// sendOrder sends one order on a new connection and returns the status of its answer, or 0.
func sendOrder(p *play, g *gateway, id string) int {
	c, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		p.note("%s: %v", id, err)
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = order(c, bufio.NewReader(c), "/orders/"+id, id)
	var failed *statusError
	switch {
	case errors.As(err, &failed):
		p.note("%s: caller got %v", id, err)
		return failed.status
	case err != nil:
		p.note("%s: caller got %v", id, err)
		return 0
	}
	return http.StatusOK
}
