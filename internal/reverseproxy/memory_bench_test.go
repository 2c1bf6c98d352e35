package reverseproxy

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkWaitingRequestMemory reports the memory of one queued request, without
// its connection.
func BenchmarkWaitingRequestMemory(b *testing.B) {
	const waiting = 5000
	document := `{"revision":1,"defaults":{"deadline":"1h","queueLimit":10000},"services":{"nahled":{"class":"idempotent"}}}`
	for b.Loop() {
		var free sync.Mutex
		open := false
		s := newTestServer(document, func(o *Options) { o.Recorder = events.Discard })
		s.listTargets("nahled", 1, waiting)
		s.picker = pickerFunc(func(req routing.Request) (*routing.Endpoint, error) {
			free.Lock()
			defer free.Unlock()
			if !open {
				return nil, &routing.SaturatedError{Service: req.Service}
			}
			return nil, &routing.NoTargetError{Service: req.Service}
		})
		before := memoryInUse()
		var wg sync.WaitGroup
		for i := range waiting {
			req := get("/nahled/1")
			req.Header.Set(DefaultCallerHeader, strconv.Itoa(i%100))
			wg.Go(func() { s.do(req) })
		}
		svc := s.services.get(s.config.Current().Policy("nahled"))
		for svc.queue.Depth() < waiting {
			runtime.Gosched()
		}
		b.ReportMetric((memoryInUse()-before)/waiting, "B/waiting")
		svc.queue.Release(func() {
			free.Lock()
			defer free.Unlock()
			open = true
		})
		wg.Wait()
	}
}

type pickerFunc func(routing.Request) (*routing.Endpoint, error)

func (f pickerFunc) Pick(req routing.Request) (*routing.Endpoint, error) { return f(req) }

// BenchmarkConnectionMemory reports the memory of one caller connection with a
// request in flight, including the connection to the target. This process holds
// both ends of both connections.
func BenchmarkConnectionMemory(b *testing.B) {
	const connections = 500
	for b.Loop() {
		s := newTestServer(testDocument, func(o *Options) { o.Recorder = events.Discard })
		target := s.serveTargets(b, "nahled", 1)[0]
		release := make(chan struct{})
		target.SetBehavior(func(http.ResponseWriter, *http.Request) { <-release })
		addr := startServer(b, s.Handler())
		before := memoryInUse()
		var conns []net.Conn
		for range connections {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.WriteString(conn, "GET /nahled/1 HTTP/1.1\r\nHost: x\r\n\r\n")
			conns = append(conns, conn)
		}
		eventually(b, "all requests are in flight", func() bool { return target.Received() >= connections })
		b.ReportMetric((memoryInUse()-before)/connections, "B/connection")
		close(release)
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}
