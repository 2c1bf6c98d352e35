package events

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

func TestRingKeepsNewestEvents(t *testing.T) {
	clock := NewClock(time.Now)
	r := NewRing("a", clock, 4)
	for n := range 10 {
		r.Record(Event{Kind: TargetPicked, Detail: fmt.Sprint(n)})
		got := r.Snapshot()
		if len(got) != min(n+1, 4) || got[len(got)-1].Detail != fmt.Sprint(n) || got[0].Detail != fmt.Sprint(max(0, n-3)) {
			t.Fatalf("after %d: %v", n, got)
		}
	}
}

func TestRequestEventsDoNotDisplaceStateChanges(t *testing.T) {
	r := NewRing("a", NewClock(time.Now), 8)
	r.Record(Event{Kind: TargetDraining, Target: "t1"})
	for range 1000 {
		r.Record(Event{Kind: TargetPicked})
	}
	if got := r.Snapshot(); len(got) != 9 || got[0].Kind != TargetDraining {
		t.Errorf("ring has %d events, the first of kind %s", len(got), got[0].Kind)
	}
}

// TestRingConcurrentWriters checks that snapshots taken during concurrent writes are
// sorted, and that the ring is full at the end.
func TestRingConcurrentWriters(t *testing.T) {
	const writers, eventsPerWriter, size = 8, 2000, 64
	clock := NewClock(time.Now)
	r := NewRing("a", clock, size)
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range eventsPerWriter {
				r.Record(Event{Kind: TargetPicked})
			}
		})
	}
	for range 100 {
		checkSorted(t, r.Snapshot())
	}
	wg.Wait()
	got := r.Snapshot()
	checkSorted(t, got)
	if len(got) != size {
		t.Errorf("ring has %d events, want %d", len(got), size)
	}
}

// checkSorted fails the test if events are not sorted by time.
func checkSorted(t *testing.T, list []Event) {
	t.Helper()
	if !slices.IsSortedFunc(list, func(a, b Event) int { return int(int64(a.Time) - int64(b.Time)) }) {
		t.Error("events are not sorted by time")
	}
}

func TestMergeSortsByTimeThenInstance(t *testing.T) {
	a := []Event{{Time: 1, Instance: "a"}, {Time: 5, Instance: "a"}}
	b := []Event{{Time: 1, Instance: "b"}, {Time: 3, Instance: "b"}}
	var got string
	for _, e := range Merge(b, a) {
		got += fmt.Sprint(uint64(e.Time), e.Instance, " ")
	}
	if got != "1a 1b 3b 5a " {
		t.Errorf("got %s", got)
	}
}

func TestEventText(t *testing.T) {
	at := time.Date(2026, 12, 24, 18, 0, 0, 5e6, time.UTC)
	e := Event{
		Time: Timestamp(at.UnixMilli()<<logicalBits | 3), Instance: "praha-a-1", Kind: RequestRetried,
		Request: "r1", Service: "nahled", Target: "t1", Revision: 7, Detail: "connection reset",
	}
	const want = "2026-12-24T18:00:00.005Z/3  praha-a-1    request-retried    request=r1 service=nahled target=t1 revision=7  connection reset"
	if got := e.Text(); got != want {
		t.Errorf("got  %s\nwant %s", got, want)
	}
}

// sample is the event that the benchmarks record.
var sample = Event{Kind: TargetPicked, Request: "4f0c2d1e-0000-4000-8000-000000000000", Service: "nahled", Target: "nahled-praha-a-1"}

func BenchmarkRecord(b *testing.B) {
	r := NewRing("praha-a-1", NewClock(time.Now), 8192)
	b.ReportAllocs()
	for b.Loop() {
		r.Record(sample)
	}
}

func BenchmarkRecordParallel(b *testing.B) {
	r := NewRing("praha-a-1", NewClock(time.Now), 8192)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record(sample)
		}
	})
}

// BenchmarkRecordCountedAndLogged records with the chain of recorders that an instance
// uses.
func BenchmarkRecordCountedAndLogged(b *testing.B) {
	r := NewRing("praha-a-1", NewClock(time.Now), 8192)
	all := NewCountingRecorder(NewLoggingRecorder(r, zap.NewNop()), metrics.NewSet())
	b.ReportAllocs()
	for b.Loop() {
		all.Record(sample)
	}
}

// BenchmarkRecordWhileRead records while another goroutine takes snapshots continuously.
func BenchmarkRecordWhileRead(b *testing.B) {
	r := NewRing("praha-a-1", NewClock(time.Now), 8192)
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			default:
				r.Snapshot()
			}
		}
	}()
	for b.Loop() {
		r.Record(sample)
	}
	close(stop)
	<-done
}

// BenchmarkRingMemory reports the memory of a full ring per event, in bytes.
func BenchmarkRingMemory(b *testing.B) {
	const size = 8192
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := NewRing("praha-a-1", NewClock(time.Now), size)
		for range size {
			r.Record(sample)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(r)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/size, "B/event")
}
