package entry

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

const benchAnswer = "a preview of a letter, as short as a letter's preview may be"

// benchTarget answers at once, without the bookkeeping of a stand-in.
func benchTarget(b *testing.B) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, benchAnswer)
	}))
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// benchEntry serves callers for the target of each service.
func benchEntry(b *testing.B, target string) string {
	s := newBench(testDocument, func(o *Options) { o.Recorder = events.Discard })
	for _, service := range []model.ServiceName{"nahled", "odeslani", "prijem"} {
		s.table.SetTargets(service, []model.Target{{
			ID:       model.TargetID(service + "-a"),
			Service:  service,
			Addr:     netip.MustParseAddrPort(target),
			Location: praha,
			Slots:    64,
		}})
	}
	return serveOn(b, s.Handler())
}

// serveOn serves a handler on loopback and returns the address.
func serveOn(b *testing.B, handler http.Handler) string {
	server := httptest.NewServer(handler)
	b.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// cpuTime returns the processor time of this process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchCalls(b *testing.B, url string) {
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
			if resp.StatusCode != http.StatusOK || n != int64(len(benchAnswer)) {
				b.Errorf("%d with %d bytes", resp.StatusCode, n)
			}
		}
	})
}

// BenchmarkDirectCall calls a target without an instance in between. What
// BenchmarkIdempotentCall takes more is the cost of the instance, together with
// that of one more HTTP server and client.
func BenchmarkDirectCall(b *testing.B) { benchCalls(b, "http://"+benchTarget(b)+"/letters/7") }

// BenchmarkIdempotentCall calls the same target through an instance.
func BenchmarkIdempotentCall(b *testing.B) {
	benchCalls(b, "http://"+benchEntry(b, benchTarget(b))+"/nahled/letters/7")
}

// BenchmarkHandler is the path of an idempotent request without the caller's
// connection, with a target on loopback.
func BenchmarkHandler(b *testing.B) {
	s := newBench(testDocument, func(o *Options) { o.Recorder = events.Discard })
	s.table.SetTargets("nahled", []model.Target{{ID: "a", Service: "nahled", Addr: netip.MustParseAddrPort(benchTarget(b)), Location: praha, Slots: 64}})
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
	url := "http://" + benchEntry(b, benchTarget(b)) + "/prijem/lists/1"
	b.SetBytes(size)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequest(http.MethodPut, url, io.LimitReader(endless{}, size))
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

type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// BenchmarkPrintBatch sends a non-idempotent request over a fresh connection,
// with a ledger in memory.
func BenchmarkPrintBatch(b *testing.B) {
	s := newBench(strings.Replace(testDocument, `"defaults":{`, `"defaults":{"requireKey":false,`, 1), func(o *Options) { o.Recorder = events.Discard })
	s.table.SetTargets("odeslani", []model.Target{{ID: "a", Service: "odeslani", Addr: netip.MustParseAddrPort(benchTarget(b)), Location: praha, Slots: 64}})
	b.ReportAllocs()
	for b.Loop() {
		if w := s.do(post("/odeslani/batches", "", "letters")); w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
	}
}
