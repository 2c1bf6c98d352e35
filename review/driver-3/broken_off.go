//go:build review3

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// longAnswer is the length of the long answer, and longSent how much of it the server sends
	// before it breaks off.
	longAnswer = 3 << 20
	longSent   = 2 << 20
	// behind is how many requests follow on the connection before the first is answered.
	behind = 5
)

// playBrokenOff plays LOST: a server breaks off a long answer, with requests behind it on the
// connection that sound servers have run.
func playBrokenOff(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	const host = "jepu9.example"
	w.putConfig(7, []string{"nahled", "prijem"},
		rule{name: "long", kind: "safe", host: host, prefix: "/long/", service: "prijem", slo: 1000 * time.Millisecond, timeout: 5000 * time.Millisecond},
		rule{name: "preview", kind: "safe", host: host, prefix: "/preview/", service: "nahled", slo: 1000 * time.Millisecond, timeout: 5000 * time.Millisecond},
	)
	var mu sync.Mutex
	// ran holds the requests that sound servers have run.
	ran := make(map[string]string)
	onRun := func(t *target, rw http.ResponseWriter, r *http.Request, _ []byte) bool {
		if t.service == "nahled" {
			mu.Lock()
			ran[r.Header.Get("X-Request-Id")] = t.id
			mu.Unlock()
			return false
		}
		time.Sleep(300 * time.Millisecond)
		rw.Header().Set("Content-Length", strconv.Itoa(longAnswer))
		_, _ = rw.Write(make([]byte, longSent))
		_ = http.NewResponseController(rw).Flush()
		time.Sleep(100 * time.Millisecond)
		if w.trouble {
			w.note("server %s breaks off its answer to %s after %d bytes", t.id, r.Header.Get("X-Request-Id"), longSent)
			panic(http.ErrAbortHandler)
		}
		_, _ = rw.Write(make([]byte, longAnswer-longSent))
		return true
	}
	zones := []string{"praha-a", "praha-b", "brno-a"}
	for i := range 6 {
		for _, service := range []string{"nahled", "prijem"} {
			t := &target{id: fmt.Sprintf("i-%s%02d", service[:2], i), service: service, zone: zones[i%3], slots: 4, work: 100 * time.Millisecond, onRun: onRun}
			if err := w.start(t); err != nil {
				return false, err
			}
		}
	}
	if err := w.startGateways(); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	unanswered := 0
	for round := range 9 {
		n, err := w.pipeline(w.gateways[round%gatewayCount], host, func(id string) (string, bool) {
			mu.Lock()
			defer mu.Unlock()
			server, found := ran[id]
			return server, found
		})
		if err != nil {
			return false, err
		}
		unanswered += n
		time.Sleep(300 * time.Millisecond)
	}
	w.note("%d requests were passed on to sound servers, ran there, and got no answer when their connection closed; 3 are allowed", unanswered)
	return unanswered > 3, w.running()
}

// pipeline sends one request and then, on the same kept connection, one for the long answer
// with others behind it. It returns how many of these ran at a sound server and got no answer.
func (w *world) pipeline(g *gateway, host string, ranAt func(id string) (string, bool)) (unanswered int, err error) {
	c, err := net.Dial("tcp", g.callers)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(c)
	request := func(path, id string) string {
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 5000\r\n\r\n", path, host, id)
	}
	read := func() (*http.Response, int64, error) {
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err != nil {
			return nil, 0, err
		}
		n, err := io.Copy(io.Discard, resp.Body)
		return resp, n, err
	}
	if _, err := io.WriteString(c, request("/preview/first", w.newID())); err != nil {
		return 0, err
	}
	if _, _, err := read(); err != nil {
		return 0, fmt.Errorf("no answer to the first request of the connection: %w", err)
	}
	ids := []string{w.newID()}
	var sent strings.Builder
	sent.WriteString(request("/long/answer", ids[0]))
	for i := range behind {
		ids = append(ids, w.newID())
		sent.WriteString(request(fmt.Sprintf("/preview/%d", i), ids[i+1]))
	}
	if _, err := io.WriteString(c, sent.String()); err != nil {
		return 0, err
	}
	for i, id := range ids {
		resp, n, err := read()
		if err == nil {
			w.note("gateway %d: answer to %s: status %d, %d bytes", g.index, id, resp.StatusCode, n)
			continue
		}
		w.note("gateway %d: answer to %s: %d bytes, then %v", g.index, id, n, err)
		for _, other := range ids[i+1:] {
			if server, found := ranAt(other); found {
				unanswered++
				w.note("gateway %d: request %s ran at the sound server %s, and the connection is closed without an answer", g.index, other, server)
			}
		}
		break
	}
	return unanswered, nil
}
