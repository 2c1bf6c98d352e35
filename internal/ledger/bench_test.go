package ledger

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

const benchDuration = 20 * time.Second

// loadResult holds the results of a load run in virtual time.
type loadResult struct {
	claims, refused, writes, reads int64
	latencies                      []time.Duration
}

func (l *loadResult) percentile(p float64) time.Duration {
	if len(l.latencies) == 0 {
		return 0
	}
	return l.latencies[int(p*float64(len(l.latencies)-1))]
}

// runLoad claims and finishes new keys at a total rate, spread over instances, with
// a store round trip of 24 ms. If routed, one instance with a one-way delay of
// 0.5 ms commits for all. Otherwise each instance writes the shards itself, within
// the default call budget if there are several.
func runLoad(instances, perSecond int, routed bool) loadResult {
	p := standin.NewPlatform()
	var ledgers []*StoreLedger
	for n := range instances {
		l := newLedger(model.InstanceID(fmt.Sprintf("i%d", n)), p)
		switch {
		case routed && n > 0:
			l.committer = delayedCommitter{ledgers[0].committer}
		case instances > 1 && !routed:
			l = newLedgerWithOptions(l.self, p, store.ClientOptions{})
		}
		ledgers = append(ledgers, l)
	}
	var mu sync.Mutex
	var result loadResult
	var wg sync.WaitGroup
	start := time.Now()
	for n := range perSecond * int(benchDuration/time.Second) {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
		l := ledgers[n%instances]
		wg.Go(func() {
			began := time.Now()
			d, err := l.Begin(context.Background(), newRequest(newTimedKey(began), "x"))
			took := time.Since(began)
			mu.Lock()
			if err != nil {
				result.refused++
			} else {
				result.claims++
				result.latencies = append(result.latencies, took)
			}
			mu.Unlock()
			if err == nil && d.State == Claimed {
				_ = d.Claim.RecordDone(context.Background(), &Response{Status: 200, Body: []byte("printed 1 batch")})
			}
		})
	}
	counts := p.Stats()
	result.writes, result.reads = counts.Writes, counts.Reads
	wg.Wait()
	time.Sleep(time.Minute)
	slices.Sort(result.latencies)
	return result
}

// delayedCommitter commits at another instance of the region.
type delayedCommitter struct{ to Committer }

func (r delayedCommitter) Commit(ctx context.Context, ref ShardRef, op Op) (Result, error) {
	time.Sleep(500 * time.Microsecond)
	res, err := r.to.Commit(ctx, ref, op)
	time.Sleep(500 * time.Microsecond)
	return res, err
}

func (r delayedCommitter) Release(ref ShardRef, claim Op) { r.to.Release(ref, claim) }

// BenchmarkClaims reports the store calls and the latency of claims at various
// rates, in virtual time. Every claim is followed by its outcome.
func BenchmarkClaims(b *testing.B) {
	cases := []struct {
		instances, perSecond int
		routed               bool
	}{
		{1, 10, false}, {1, 100, false}, {1, 500, false}, {1, 1000, false}, {1, 2000, false},
		{17, 1000, true},
		{17, 10, false}, {17, 30, false}, {17, 100, false}, {17, 300, false}, {17, 1000, false},
	}
	for _, c := range cases {
		name := fmt.Sprintf("instances=%d/rate=%d/routed=%v", c.instances, c.perSecond, c.routed)
		b.Run(name, func(b *testing.B) {
			var l loadResult
			for b.Loop() {
				inVirtualTimeBench(b, func() { l = runLoad(c.instances, c.perSecond, c.routed) })
			}
			seconds := benchDuration.Seconds()
			b.ReportMetric(float64(l.claims)/seconds, "claims/s")
			b.ReportMetric(float64(l.refused)/seconds, "refused/s")
			b.ReportMetric(float64(l.writes)/seconds, "writes/s")
			b.ReportMetric(float64(l.reads)/seconds, "reads/s")
			b.ReportMetric(float64(l.percentile(0.5).Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(l.percentile(0.99).Microseconds())/1000, "p99-ms")
		})
	}
}

// inVirtualTimeBench runs f in virtual time, in a synctest bubble.
func inVirtualTimeBench(b *testing.B, f func()) {
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "bubble", F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { f() }) },
	}})
	if !ok {
		b.Fatal("virtual time failed")
	}
}

// BenchmarkStoredClaimSize reports the bytes per finished claim with a small
// response, in the store and in the memory of an instance that caches its shard.
func BenchmarkStoredClaimSize(b *testing.B) {
	const records = 1250
	var stored, inMemory float64
	var all []*shard
	for b.Loop() {
		before := heapBytes()
		s := new(shard)
		for range records {
			op := Op{Kind: OpClaim, Key: KeyHash(uuid.New()), Attempt: Attempt(uuid.New()), Holder: "praha-a-1", ClaimedAtMillis: time.Now().UnixMilli(), TimeoutMillis: 2000}
			s.apply(op)
			op.Kind = OpDone
			op.Response = &Response{Status: 200, Body: []byte("printed 1 batch")}
			s.apply(op)
		}
		inMemory = float64(heapBytes()-before) / records
		value, err := s.encode("x")
		if err != nil {
			b.Fatal(err)
		}
		stored = float64(len(value)) / records
		all = append(all, s)
	}
	runtime.KeepAlive(all)
	b.ReportMetric(stored, "stored-B/claim")
	b.ReportMetric(inMemory, "held-B/claim")
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkCommit measures the CPU time of one group commit to a shard of 1250
// records, without the store.
func BenchmarkCommit(b *testing.B) {
	s := new(shard)
	for range 1250 {
		s.apply(Op{Kind: OpClaim, Key: KeyHash(uuid.New()), Attempt: Attempt(uuid.New()), Holder: "praha-a-1"})
	}
	if _, err := s.encode("x"); err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		next := s.clone()
		for range 6 {
			next.apply(Op{Kind: OpClaim, Key: KeyHash(uuid.New()), Attempt: Attempt(uuid.New()), Holder: "praha-a-1"})
		}
		if _, err := next.encode("x"); err != nil {
			b.Fatal(err)
		}
	}
}
