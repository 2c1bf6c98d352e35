package reverseproxy

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/model"
)

const benchResponse = "a preview of a letter, as short as a letter's preview may be"

// startBenchTarget starts a target that responds immediately, without the
// accounting of a stand-in, and returns its address.
func startBenchTarget(b *testing.B) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, benchResponse)
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startBenchProxy starts a server with one target for each service and returns
// its address.
func startBenchProxy(b *testing.B, target string) string {
	s := newTestServer(testDocument, func(o *Options) { o.Recorder = events.Discard })
	for _, service := range []model.ServiceName{"nahled", "odeslani", "prijem"} {
		s.table.SetTargets(service, []model.Target{{
			ID:       model.TargetID(service + "-a"),
			Service:  service,
			Addr:     netip.MustParseAddrPort(target),
			Location: testLocation,
			Slots:    64,
		}})
	}
	return startServer(b, s.Handler())
}

// startServer serves a handler on loopback until the benchmark ends and returns
// its address.
func startServer(b *testing.B, handler http.Handler) string {
	server := httptest.NewServer(handler)
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkCalls(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.ReportAllocs()
	before := cpuTime(b)
	defer func() {
		b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
	}()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Get(url)
			if err != nil {
				b.Error(err)
				return
			}
			n, _ := io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK || n != int64(len(benchResponse)) {
				b.Errorf("%d with %d bytes", resp.StatusCode, n)
			}
		}
	})
}

// BenchmarkDirectCall calls a target without an instance in between. The
// difference to BenchmarkIdempotentCall is the cost of the instance, including
// one more HTTP server and client.
func BenchmarkDirectCall(b *testing.B) { benchmarkCalls(b, "http://"+startBenchTarget(b)+"/letters/7") }

// BenchmarkIdempotentCall calls the same target through an instance.
func BenchmarkIdempotentCall(b *testing.B) {
	benchmarkCalls(b, "http://"+startBenchProxy(b, startBenchTarget(b))+"/nahled/letters/7")
}

// BenchmarkHandler runs idempotent requests through the handler without a caller
// connection, against a target on loopback.
func BenchmarkHandler(b *testing.B) {
	s := newTestServer(testDocument, func(o *Options) { o.Recorder = events.Discard })
	s.table.SetTargets("nahled", []model.Target{{ID: "a", Service: "nahled", Addr: netip.MustParseAddrPort(startBenchTarget(b)), Location: testLocation, Slots: 64}})
	b.ReportAllocs()
	for b.Loop() {
		if w := s.do(get("/nahled/letters/7")); w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
	}
}

// BenchmarkUpload streams 64 MiB through an instance.
func BenchmarkUpload(b *testing.B) {
	const size = 64 << 20
	url := "http://" + startBenchProxy(b, startBenchTarget(b)) + "/prijem/lists/1"
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPut, url, io.LimitReader(endlessReader{}, size))
		if err != nil {
			b.Fatal(err)
		}
		req.ContentLength = size
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// BenchmarkPrintBatch sends non-idempotent requests without a key, each over a
// new connection.
func BenchmarkPrintBatch(b *testing.B) {
	s := newTestServer(strings.Replace(testDocument, `"defaults":{`, `"defaults":{"requireKey":false,`, 1), func(o *Options) { o.Recorder = events.Discard })
	s.table.SetTargets("odeslani", []model.Target{{ID: "a", Service: "odeslani", Addr: netip.MustParseAddrPort(startBenchTarget(b)), Location: testLocation, Slots: 64}})
	b.ReportAllocs()
	for b.Loop() {
		if w := s.do(post("/odeslani/batches", "", "letters")); w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
	}
}
