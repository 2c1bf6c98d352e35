package main

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// load describes one run of calls.
type load struct {
	// urls are called in rotation.
	urls  []string
	conns int
	// rate is the total number of calls per second; 0 means as many as possible.
	rate   float64
	length time.Duration
}

// result is the result of one run.
type result struct {
	// calls is the number of successful calls, failed that of the others.
	calls, failed int
	// perSecond is the number of successful calls per second.
	perSecond float64
	// p50 and p99 are percentiles of the latency of successful calls.
	p50, p99 time.Duration
}

// run sends calls over a fixed number of connections for l.length. Latency is the time
// from the start of a call to the end of its response body.
func (l load) run() result {
	transport := &http.Transport{MaxIdleConnsPerHost: l.conns, MaxConnsPerHost: l.conns}
	defer transport.CloseIdleConnections()
	latencies := make([][]time.Duration, l.conns)
	failures := make([]int, l.conns)
	start := time.Now()
	var wg sync.WaitGroup
	for conn := range l.conns {
		wg.Go(func() { latencies[conn], failures[conn] = l.runConn(conn, transport, start) })
	}
	wg.Wait()
	return summarize(latencies, failures, time.Since(start))
}

// runConn sends calls one at a time. conn is the number of the connection, from 0; it
// staggers the calls of the connections. It returns the latencies of the successful calls
// and the number of failed ones.
func (l load) runConn(conn int, transport *http.Transport, start time.Time) (latencies []time.Duration, failed int) {
	interval := time.Duration(0)
	if l.rate > 0 {
		interval = time.Duration(float64(l.conns) / l.rate * float64(time.Second))
	}
	next := start.Add(interval * time.Duration(conn) / time.Duration(l.conns))
	for i := conn; time.Since(start) < l.length; i++ {
		if interval > 0 {
			time.Sleep(time.Until(next))
			next = next.Add(interval)
		}
		sent := time.Now()
		if !get(transport, l.urls[i%len(l.urls)]) {
			failed++
			continue
		}
		latencies = append(latencies, time.Since(sent))
	}
	return latencies, failed
}

// get makes one call and reports whether it got a complete response with status 200.
func get(transport *http.Transport, url string) bool {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err == nil && resp.StatusCode == http.StatusOK
}

// summarize returns the result of a run from the latencies and the numbers of failures
// of its connections.
func summarize(latencies [][]time.Duration, failures []int, took time.Duration) result {
	all := slices.Concat(latencies...)
	slices.Sort(all)
	r := result{calls: len(all), perSecond: float64(len(all)) / took.Seconds()}
	for _, n := range failures {
		r.failed += n
	}
	if len(all) > 0 {
		r.p50, r.p99 = all[len(all)/2], all[len(all)*99/100]
	}
	return r
}
