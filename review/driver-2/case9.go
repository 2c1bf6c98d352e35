//go:build review2

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["9"] = slowCrowd }

const (
	// crowdSize is the number of slow callers. The machine has 4,100 descriptors, of which 3,900
	// may be sockets.
	crowdSize = 2100
	crowdFor  = 15 * time.Second
	// crowdPause is the pause between two pieces of a slow caller's request. All its pieces
	// together take less than header_timeout_ms, 3 s.
	crowdPause = 700 * time.Millisecond
	// ordinaryCallers try to send a request on a new connection every ordinaryPause.
	ordinaryCallers = 10
	ordinaryPause   = 100 * time.Millisecond
)

// slowCrowd plays a crowd of callers that send very slowly, beside ordinary ones.
func slowCrowd(p *play) (bool, error) {
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err != nil || files.Max < 2*crowdSize {
		return false, fmt.Errorf("at most %d open files are allowed, too few for the crowd (%v)", files.Max, err)
	}
	var servers []*server
	for i := range 4 {
		servers = append(servers, &server{id: fmt.Sprintf("i-%d", i), service: "nahled", zone: "praha-a", slots: 4, work: 20 * time.Millisecond})
	}
	g, err := smallDeployment(p, servers, "/orders/", "safe", 1000)
	if err != nil {
		return false, err
	}
	watch := newDoorWatch(p, g)
	time.Sleep(3 * time.Second)
	if p.troubled {
		playCrowd(p, g, watch)
	} else {
		time.Sleep(crowdFor)
	}
	time.Sleep(3 * time.Second)
	longest := watch.end()
	p.note("longest time for which no new connection of %d callers got an answer while the gateway said that it was ready: %.1f s; ended by itself: %t", ordinaryCallers, longest.Seconds(), g.hasExited())
	return longest > contact, nil
}

// playCrowd opens the crowd's connections and keeps them until the crowd leaves.
func playCrowd(p *play, g *gateway, w *doorWatch) {
	var crowd sync.WaitGroup
	var opened, answered atomic.Int64
	end := time.Now().Add(crowdFor)
	p.note("the crowd comes: %d callers, a piece of a request every %v", crowdSize, crowdPause)
	for range crowdSize {
		crowd.Go(func() {
			for time.Now().Before(end) {
				if c, err := net.DialTimeout("tcp", g.callers, time.Second); err == nil {
					opened.Add(1)
					sendSlowly(c, end, &answered)
					_ = c.Close()
				}
				time.Sleep(crowdPause)
			}
		})
		time.Sleep(500 * time.Microsecond)
	}
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		p.note("crowd: %d connections opened so far, %d requests answered", opened.Load(), answered.Load())
	}
	crowd.Wait()
	p.note("the crowd has left")
}

// sendSlowly sends requests in pieces until the connection ends or the crowd leaves. Their path
// has no route.
func sendSlowly(c net.Conn, end time.Time, answered *atomic.Int64) {
	r := bufio.NewReader(c)
	for time.Now().Before(end) {
		for _, piece := range []string{"GET /slow HTTP/1.1\r\n", "Host: x.example\r\n", "X-Request-Id: slow\r\n", "\r\n"} {
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
			time.Sleep(crowdPause)
		}
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answered.Add(1)
	}
}

// doorWatch holds what ordinary callers meet at a gateway.
type doorWatch struct {
	p       *play
	g       *gateway
	stop    chan struct{}
	callers sync.WaitGroup

	mu sync.Mutex
	// since is when a new connection last got an answer, or the gateway last wasn't ready.
	since   time.Time
	longest time.Duration
	// answered and failed count the attempts of the current second.
	answered, failed int
	lastFailure      error
}

func newDoorWatch(p *play, g *gateway) *doorWatch {
	w := &doorWatch{p: p, g: g, stop: make(chan struct{}), since: time.Now()}
	for i := range ordinaryCallers {
		w.callers.Go(func() {
			for n := 0; !w.pause(ordinaryPause); n++ {
				w.record(w.try(fmt.Sprintf("o%d-%d", i, n)))
			}
		})
	}
	w.callers.Go(func() {
		for !w.pause(time.Second) {
			w.check()
		}
	})
	return w
}

// pause waits and reports whether the watch has ended.
func (w *doorWatch) pause(d time.Duration) bool {
	select {
	case <-w.stop:
		return true
	case <-time.After(d):
		return false
	}
}

// try sends one request on a new connection. Any answer counts: its connection was taken.
func (w *doorWatch) try(id string) error {
	c, err := net.DialTimeout("tcp", w.g.callers, time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := fmt.Fprintf(c, "GET /orders/a HTTP/1.1\r\nHost: jepu9.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 1000\r\n\r\n", id); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func (w *doorWatch) record(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.answered++
		w.since = time.Now()
		return
	}
	w.failed++
	w.lastFailure = err
	w.longest = max(w.longest, time.Since(w.since))
}

// check asks whether the gateway says that it is ready and writes a line to the record.
func (w *doorWatch) check() {
	ready := w.g.saysReady()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ready {
		w.since = time.Now()
	}
	w.p.note("ready %t; ordinary callers' new connections: %d answered, %d not (%v)", ready, w.answered, w.failed, w.lastFailure)
	w.answered, w.failed, w.lastFailure = 0, 0, nil
}

// end ends the watch and returns the longest time without a new connection.
func (w *doorWatch) end() time.Duration {
	close(w.stop)
	w.callers.Wait()
	return w.longest
}
