package main

import (
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

// load is one run of calls.
type load struct {
	urls  []string
	conns int
	// rate is the number of calls per second; 0 means as many as possible.
	rate   float64
	length time.Duration
}

// result is what a run measured.
type result struct {
	calls, failed int
	perSecond     float64
	p50, p99      time.Duration
}

// run sends calls over a fixed number of connections. Latency counts from the
// sending of a call to the end of its answer.
func (l load) run() result {
	transport := &http.Transport{MaxIdleConnsPerHost: l.conns, MaxConnsPerHost: l.conns}
	defer transport.CloseIdleConnections()
	latencies := make([][]time.Duration, l.conns)
	failures := make([]int, l.conns)
	start := time.Now()
	var wg sync.WaitGroup
	for w := range l.conns {
		wg.Go(func() { latencies[w], failures[w] = l.work(w, transport, start) })
	}
	wg.Wait()
	return summarize(latencies, failures, time.Since(start))
}

func (l load) work(w int, transport *http.Transport, start time.Time) (latencies []time.Duration, failed int) {
	interval := time.Duration(0)
	if l.rate > 0 {
		interval = time.Duration(float64(l.conns) / l.rate * float64(time.Second))
	}
	next := start.Add(interval * time.Duration(w) / time.Duration(l.conns))
	for i := w; time.Since(start) < l.length; i++ {
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
