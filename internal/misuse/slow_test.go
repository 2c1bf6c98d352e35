package misuse

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// slowCrowd is the number of callers that go on slowly: more than the gateway takes.
	slowCrowd = 400
	// slowPause is the time between two pieces of what they send.
	slowPause = 700 * time.Millisecond
	// newConnectionLimit is the longest time without an answer on new connections.
	newConnectionLimit = 3 * time.Second
	// readinessCrowd is the number of callers that connect anew to the readiness address.
	readinessCrowd = 500
	// readinessChecks is the number of checks beside them.
	readinessChecks = 20
)

// sendSlowly sends a text in four pieces, one every slowPause, awaits a response and begins
// anew, on one connection until that ends.
func sendSlowly(addr, text string, stop <-chan struct{}) {
	c, err := net.DialTimeout("tcp", addr, 5*time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		for n := range 4 {
			if _, err := io.WriteString(c, text[n*len(text)/4:(n+1)*len(text)/4]); err != nil {
				return
			}
			select {
			case <-time.After(slowPause):
			case <-stop:
				return
			}
		}
		_ = c.SetReadDeadline(time.Now().Add(2 * slowPause))
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// TestSlowCrowd guards against callers that send a little now and then: each made progress by
// its last byte, and together they kept all new connections out.
func TestSlowCrowd(t *testing.T) {
	g := startGateway(t, 0)
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	for n := range slowCrowd {
		crowd.Go(func() {
			time.Sleep(time.Duration(n) * slowPause / slowCrowd)
			for {
				select {
				case <-stop:
					return
				default:
					sendSlowly(g.callers, g.head("GET", "none.example", "/none")+"\r\n", stop)
				}
			}
		})
	}
	time.Sleep(4 * slowPause)
	answeredAt := time.Now()
	for until := time.Now().Add(2 * newConnectionLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if g.ordinary() == nil {
			answeredAt = time.Now()
		} else if gap := time.Since(answeredAt); gap > newConnectionLimit {
			t.Fatalf("no new connection is answered for %v", gap)
		}
	}
	close(stop)
	crowd.Wait()
	g.check()
}

// TestReadinessCheckAmongNewConnections guards against callers that connect anew to the
// readiness address as soon as they are cut off, beside which checks failed.
func TestReadinessCheckAmongNewConnections(t *testing.T) {
	g := startGateway(t, 0)
	var stopped atomic.Bool
	var crowd sync.WaitGroup
	for range readinessCrowd {
		crowd.Go(func() {
			for !stopped.Load() {
				c, err := net.DialTimeout("tcp", g.ready, time.Second)
				if err != nil {
					continue
				}
				_ = c.SetReadDeadline(time.Now().Add(time.Second))
				_, _ = c.Read(make([]byte, 1))
				_ = c.Close()
			}
		})
	}
	time.Sleep(time.Second)
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	failed := 0
	for range readinessChecks {
		response, err := client.Get("http://" + g.ready + "/readiness")
		if err != nil || response.StatusCode != http.StatusOK {
			failed++
			continue
		}
		_ = response.Body.Close()
	}
	stopped.Store(true)
	crowd.Wait()
	if failed > 0 {
		t.Errorf("%d of %d checks failed", failed, readinessChecks)
	}
	g.check()
}
