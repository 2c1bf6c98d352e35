package config

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// largeDocument returns a document with 220 services and 50 exceptions.
func largeDocument(tb testing.TB) *Document {
	tb.Helper()
	deadline, budget := Duration(2*time.Second), 0.05
	d := &Document{
		Revision: 1,
		Defaults: PolicyFields{Deadline: &deadline, RetryBudget: &budget},
		Services: make(map[model.ServiceName]Service),
	}
	for i := range 220 {
		d.Services[model.ServiceName(fmt.Sprintf("service-%03d", i))] = Service{Class: model.Class(i % 3)}
	}
	for i := range 50 {
		limit := 100 + i
		d.Exceptions = append(d.Exceptions, Exception{
			Scope:  Scope{Service: model.ServiceName(fmt.Sprintf("service-%03d", 4*i)), Region: "brno"},
			Set:    PolicyFields{QueueLimit: &limit, Deadline: &deadline},
			Reason: "queues at the end of the month, until the targets are replaced",
			Author: "jana",
		})
	}
	return d
}

func mustFormat(tb testing.TB, d *Document) []byte {
	tb.Helper()
	raw, err := d.Format()
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

func BenchmarkParse(b *testing.B) {
	raw := mustFormat(b, largeDocument(b))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "B/document")
}

func BenchmarkDecodeStored(b *testing.B) {
	raw, err := largeDocument(b).Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode("x", raw); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(raw)), "B/document")
}

// BenchmarkResolveAndSwap resolves a decoded document and puts it in force.
func BenchmarkResolveAndSwap(b *testing.B) {
	d := largeDocument(b)
	b.ReportAllocs()
	for b.Loop() {
		NewSnapshotHolder(locationOf("brno")).Apply(d, time.Now())
	}
}

// BenchmarkHeldMemory reports the heap bytes retained by a document in force.
func BenchmarkHeldMemory(b *testing.B) {
	raw, err := largeDocument(b).Encode()
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		d, err := Decode("x", raw)
		if err != nil {
			b.Fatal(err)
		}
		h := NewSnapshotHolder(locationOf("brno"))
		h.Apply(d, time.Now())
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(h)
	}
	b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B/held")
}

func BenchmarkMerge(b *testing.B) {
	base := largeDocument(b)
	stored, edited := base.withQueueLimit(1), base.withTailWeight(0.5)
	for b.Loop() {
		if _, conflicts := merge(base, stored, edited); len(conflicts) > 0 {
			b.Fatal(conflicts)
		}
	}
}

func BenchmarkPolicy(b *testing.B) {
	h := NewSnapshotHolder(locationOf("brno"))
	h.Apply(largeDocument(b), time.Now())
	for b.Loop() {
		if h.Current().Policy("service-100") == nil {
			b.Fatal("no policy")
		}
	}
}
