package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/route"
)

// BenchmarkConnection reports the bytes of heap and stacks that a connection takes in each
// state, those of the caller's end in this process included.
func BenchmarkConnection(b *testing.B) {
	many := strings.Repeat("a:\r\n", 1000)
	for _, state := range []struct{ name, text string }{
		{"new", ""},
		{"half a head of 10 kB", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 10_000)},
		{"request at a target", get("/wait")},
		{"request with 1000 short fields", "GET /wait HTTP/1.1\r\nHost: h\r\n" + many + "\r\n"},
		{"16 requests ahead", strings.Repeat(get("/wait"), 17)},
	} {
		b.Run(state.name, func(b *testing.B) {
			const count = 500
			for b.Loop() {
				b.ReportMetric(float64(measureConnections(b, count, state.text))/count, "B/connection")
			}
		})
	}
}

// measureConnections returns the bytes that so many connections take after they received text.
func measureConnections(b *testing.B, count int, text string) uint64 {
	release := make(chan struct{})
	var waiting atomic.Int64
	s := NewServer(handlerFunc{func(context.Context, *Request) *Response {
		waiting.Add(1)
		<-release
		return plainResponse(http.StatusOK, "")
	}}, func() route.Limits { return route.Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute} })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = s.Serve(l) }()
	before := memoryInUse()
	var open []net.Conn
	for range count {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.WriteString(c, text)
		open = append(open, c)
	}
	want := int64(count * strings.Count(text, "/wait"))
	for s.ConnectionCount() < count || waiting.Load() < want {
		runtime.Gosched()
	}
	time.Sleep(50 * time.Millisecond)
	used := memoryInUse() - before
	close(release)
	for _, c := range open {
		_ = c.Close()
	}
	_ = l.Close()
	s.wg.Wait()
	return used
}

// memoryInUse returns the bytes of live heap objects and of stacks.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
