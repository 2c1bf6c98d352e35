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

func init() { cases["10"] = unchangedPaths }

// oddPaths are paths of two slashes at their beginning, as a caller sends that joins a base
// address which ends with a slash and a path; all their characters may stand in a path as they are.
var oddPaths = []string{"//orders/batch(7)", "//orders/o'brien", "//orders/all*", "//orders/now!"}

// usualPaths are the same without the trouble.
var usualPaths = []string{"/orders/batch(7)", "/orders/o'brien", "/orders/all*", "/orders/now!"}

// unchangedPaths plays callers whose paths begin with two slashes.
func unchangedPaths(p *play) (bool, error) {
	paths := usualPaths
	if p.troubled {
		paths = oddPaths
	}
	var mu sync.Mutex
	targets := make(map[string][]string)
	var servers []*server
	for i := range 4 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "odeslani", zone: "praha-a", slots: 4, work: 10 * time.Millisecond}
		s.answer = func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("X-Request-Id")
			targets[id] = append(targets[id], r.Method+" "+r.RequestURI)
			_, _ = w.Write([]byte("answer of " + s.id))
		}
		servers = append(servers, s)
	}
	g, err := smallDeployment(p, servers, "/", "unsafe", 1200)
	if err != nil {
		return false, err
	}
	changed, same := 0, 0
	for round := range 10 {
		for i, path := range paths {
			id := fmt.Sprintf("r%d-%d", round, i)
			status, err := postTo(g.callers, path, id)
			mu.Lock()
			ran := targets[id]
			mu.Unlock()
			p.note("%s: sent POST %s; answered %d (%v); a server ran %q", id, path, status, err, ran)
			for _, target := range ran {
				if target == "POST "+path {
					same++
				} else {
					changed++
				}
			}
		}
	}
	p.note("%d requests ran with the path that was sent, %d with another", same, changed)
	if same+changed == 0 {
		return false, fmt.Errorf("no request ran")
	}
	return changed > 0, nil
}

// postTo sends one request on a new connection and returns the status of its answer.
func postTo(addr, path, id string) (int, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1200\r\nContent-Length: 5\r\n\r\norder", path, id); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
