//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["8"] = endlessAnswers }

const (
	// endlessShare is the share of its requests to which the server in trouble answers with
	// bytes without end.
	endlessShare = 0.3
	// shortMs and longMs are the times that callers give the first request of a batch and those
	// behind it.
	shortMs, longMs = 600, 2500
	// batchSize is the number of requests that a caller sends before the first is answered.
	batchSize = 4
)

// endlessAnswers plays callers that send safe requests ahead, and one server of eight that
// answers a part of its requests with bytes without end.
func endlessAnswers(p *play) (bool, error) {
	ledger := newLedger()
	var servers []*server
	for i := range 8 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "nahled", zone: "praha-a", slots: 4, work: 20 * time.Millisecond, onRun: ledger.ran}
		s.answer = func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			if i == 0 && p.troubled && strings.HasSuffix(id, "-0") && rand.Float64() < endlessShare {
				p.note("%s: %s answers without end", id, s.id)
				sendEndlessly(w)
				return
			}
			if _, err := fmt.Fprintf(w, "%s ran %s", s.id, id); err == nil {
				ledger.answered(id)
			}
		}
		servers = append(servers, s)
	}
	g, err := smallDeployment(p, servers, "/orders/", "safe", longMs)
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	lost, answered, sent := 0, 0, 0
	end := time.Now().Add(20 * time.Second)
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				got, ended := sendBatch(p, g.callers, fmt.Sprintf("c%d-b%d", caller, n))
				p.note("c%d-b%d: %d requests sent, %d answered whole, over after %d ms", caller, n, batchSize, got, ended.Milliseconds())
				mu.Lock()
				sent += batchSize
				answered += got
				for i := got; i < batchSize; i++ {
					id := fmt.Sprintf("c%d-b%d-%d", caller, n, i)
					ran, whole := ledger.state(id)
					if i > 0 && ran > 0 && whole && ended < longMs*time.Millisecond {
						lost++
						p.note("%s: passed on to a sound server, which answered it whole; its connection ended after %d ms of %d without an answer", id, ended.Milliseconds(), longMs)
					}
				}
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	p.note("%d requests sent, %d answered; %d that sound servers had answered ended without an answer, well before their time", sent, answered, lost)
	return lost > lostAllowed, nil
}

// sendEndlessly sends bytes until the connection is closed.
func sendEndlessly(w http.ResponseWriter) {
	piece := []byte(strings.Repeat("endless ", 1024))
	for {
		if _, err := w.Write(piece); err != nil {
			return
		}
	}
}

// sendBatch sends requests ahead on a new connection, the first with less time than the others,
// and returns how many were answered whole and when the connection ended or the last was
// answered.
func sendBatch(p *play, addr, id string) (answered int, ended time.Duration) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		p.note("%s: %v", id, err)
		return 0, 0
	}
	defer func() { _ = c.Close() }()
	began := time.Now()
	_ = c.SetDeadline(began.Add(longMs*time.Millisecond + time.Second))
	var text strings.Builder
	for i := range batchSize {
		ms := longMs
		if i == 0 {
			ms = shortMs
		}
		_, _ = fmt.Fprintf(&text, "GET /orders/a HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s-%s\r\nX-Deadline-Ms: %d\r\n\r\n", id, strconv.Itoa(i), ms)
	}
	if _, err := io.WriteString(c, text.String()); err != nil {
		return 0, time.Since(began)
	}
	r := bufio.NewReader(c)
	for range batchSize {
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			p.note("%s: answer %d: %v after %d ms", id, answered, err, time.Since(began).Milliseconds())
			return answered, time.Since(began)
		}
		answered++
	}
	return answered, time.Since(began)
}
