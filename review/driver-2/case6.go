//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["6"] = wholeAnswers }

const (
	// answerBytes is the size of the long answers, usualBytes that without the trouble.
	answerBytes = 64 << 10
	usualBytes  = answerBytes - 1
	// lostAllowed is how many requests the rule lets a machine lose.
	lostAllowed = 3
)

// smallDeployment starts a store, servers of one service and a gateway, and waits until that has
// been ready for contact_ms. The one route, with the given prefix, goes to the service.
func smallDeployment(p *play, servers []*server, prefix, kind string, timeoutMs int) (*gateway, error) {
	st, err := p.startStore()
	if err != nil {
		return nil, err
	}
	for _, s := range servers {
		if err := p.startServer(s); err != nil {
			return nil, err
		}
		st.put("servers", s.id, s.entry("ready"))
	}
	st.put("config", "main", configuration(7, rule{host: "jepu9.example", prefix: prefix, kind: kind, service: servers[0].service, objectiveMs: 400, timeoutMs: timeoutMs}))
	port, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	g, err := p.startGateway(gatewayOptions{name: "front-praha-a-1", region: "praha", zone: "praha-a", ip: "127.0.0.1", store: st.addr, peerPort: port, seeds: []string{fmt.Sprintf("127.0.0.1:%d", port)}})
	if err != nil {
		return nil, err
	}
	if err := g.await(10 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	return g, nil
}

// contact is contact_ms of the small deployments.
const contact = 3 * time.Second

// wholeAnswers plays callers that send orders on kept connections. The servers answer each order
// in chunks, whole.
func wholeAnswers(p *play) (bool, error) {
	size := usualBytes
	if p.troubled {
		size = answerBytes
	}
	ledger := newLedger()
	var servers []*server
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "odeslani", zone: "praha-a", slots: 4, work: 20 * time.Millisecond, onRun: ledger.ran}
		s.answer = func(w http.ResponseWriter, r *http.Request) {
			n := 100
			if r.URL.Path == "/orders/long" {
				n = size
			}
			// The flush makes net/http answer in chunks; it sends the last one together with
			// the end.
			body := make([]byte, n)
			_, err := w.Write(body[:n-50])
			w.(http.Flusher).Flush()
			if err == nil {
				_, err = w.Write(body[n-50:])
			}
			if err == nil {
				ledger.answered(r.Header.Get("X-Request-Id"))
			}
		}
		servers = append(servers, s)
	}
	g, err := smallDeployment(p, servers, "/orders/", "unsafe", 1200)
	if err != nil {
		return false, err
	}
	p.note("answers to /orders/long have %d bytes, in chunks", size)
	var mu sync.Mutex
	lost, whole, other := 0, 0, 0
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			for round := range 10 {
				first, long := fmt.Sprintf("c%d-%d-first", caller, round), fmt.Sprintf("c%d-%d-long", caller, round)
				outcome := keptOrder(g.callers, first, long, size)
				ran, answered := ledger.state(long)
				mu.Lock()
				switch {
				case outcome == nil:
					whole++
				case ran == 1 && answered:
					lost++
				default:
					other++
				}
				mu.Unlock()
				p.note("%s: sent on a kept connection; ran %d times; server's answer whole %t; caller: %v", long, ran, answered, orWhole(outcome))
			}
		})
	}
	callers.Wait()
	p.note("%d orders answered whole, %d ran and were answered by the server, but their connection ended without a whole answer, %d otherwise", whole, lost, other)
	return lost > lostAllowed, nil
}

func orWhole(err error) any {
	if err == nil {
		return "whole answer"
	}
	return err
}

// keptOrder sends a first order on a new connection and then, on the same one, a second, whose
// answer has the given size. The error tells what was wrong with that.
func keptOrder(addr, first, second string, size int) error {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	r := bufio.NewReader(c)
	if _, err := order(c, r, "/orders/short", first); err != nil {
		return fmt.Errorf("first order: %w", err)
	}
	n, err := order(c, r, "/orders/long", second)
	if err == nil && n != size {
		err = fmt.Errorf("%d bytes", n)
	}
	return err
}

// order sends an order and returns the size of its answer, which must be a whole success.
func order(c net.Conn, r *bufio.Reader, path, id string) (int, error) {
	body := "order " + id
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\nContent-Length: %d\r\n\r\n%s", path, id, len(body), body); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return len(got), fmt.Errorf("status %d, %d bytes, then %w", resp.StatusCode, len(got), err)
	}
	if resp.StatusCode != http.StatusOK {
		return len(got), &statusError{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After"), signature: resp.Header.Get("X-Server-Signature")}
	}
	return len(got), nil
}

// statusError is an answer other than a success.
type statusError struct {
	status                int
	retryAfter, signature string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("status %d, signature %q, Retry-After %q", e.status, e.signature, e.retryAfter)
}

// ledger holds what the servers did, by the ids of the requests.
type ledger struct {
	mu    sync.Mutex
	runs  map[string]int
	whole map[string]bool
}

func newLedger() *ledger {
	return &ledger{runs: make(map[string]int), whole: make(map[string]bool)}
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) answered(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole[id] = true
}

func (l *ledger) state(id string) (runs int, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id], l.whole[id]
}
