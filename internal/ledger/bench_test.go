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

const benchTime = 20 * time.Second

// load is what a fleet did in virtual time.
type load struct {
	claims, refused, writes, reads int64
	latencies                      []time.Duration
}

func (l *load) percentile(p float64) time.Duration {
	if len(l.latencies) == 0 {
		return 0
	}
	return l.latencies[int(p*float64(len(l.latencies)-1))]
}

// drive lets instances claim and finish new keys at a total rate, with the
// store's round trip of 24 ms. Instances write the shards themselves unless
// routed: then one instance, 0.5 ms away, commits for all. Instances that write
// themselves keep to the call budget of the product.
func drive(instances, perSecond int, routed bool) load {
	p := standin.NewPlatform()
	var ledgers []*StoreLedger
	for n := range instances {
		l := newLedger(model.InstanceID(fmt.Sprintf("i%d", n)), p)
		switch {
		case routed && n > 0:
			l.commits = remote{ledgers[0].commits}
		case instances > 1 && !routed:
			l = ledgerOver(l.self, p, store.ClientOptions{})
		}
		ledgers = append(ledgers, l)
	}
	var mu sync.Mutex
	var result load
	var wg sync.WaitGroup
	start := time.Now()
	for n := range perSecond * int(benchTime/time.Second) {
		time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / time.Duration(perSecond))))
		l := ledgers[n%instances]
		wg.Go(func() {
			began := time.Now()
			d, err := l.Begin(context.Background(), receipt(timedKey(began), "x"))
			took := time.Since(began)
			mu.Lock()
			if err != nil {
				result.refused++
			} else {
				result.claims++
				result.latencies = append(result.latencies, took)
			}
			mu.Unlock()
			if err == nil && d.State == Fresh {
				_ = d.Claim.Done(context.Background(), &Answer{Status: 200, Body: []byte("printed 1 batch")})
			}
		})
	}
	tally := p.Stats()
	result.writes, result.reads = tally.Writes, tally.Reads
	wg.Wait()
	time.Sleep(time.Minute)
	slices.Sort(result.latencies)
	return result
}

// remote commits at another instance of the region.
type remote struct{ to Committer }

func (r remote) Commit(ctx context.Context, place Place, op Op) (Verdict, error) {
	time.Sleep(500 * time.Microsecond)
	v, err := r.to.Commit(ctx, place, op)
	time.Sleep(500 * time.Microsecond)
	return v, err
}

func (r remote) Release(place Place, claim Op) { r.to.Release(place, claim) }

// BenchmarkClaims prints the store's calls and the latency of claims against
// their rate, in virtual time; every claim is followed by its outcome.
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
			var l load
			for b.Loop() {
				inBubble(b, func() { l = drive(c.instances, c.perSecond, c.routed) })
			}
			seconds := benchTime.Seconds()
			b.ReportMetric(float64(l.claims)/seconds, "claims/s")
			b.ReportMetric(float64(l.refused)/seconds, "refused/s")
			b.ReportMetric(float64(l.writes)/seconds, "writes/s")
			b.ReportMetric(float64(l.reads)/seconds, "reads/s")
			b.ReportMetric(float64(l.percentile(0.5).Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(l.percentile(0.99).Microseconds())/1000, "p99-ms")
		})
	}
}

// inBubble runs f in virtual time.
func inBubble(b *testing.B, f func()) {
	ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
		Name: "bubble", F: func(t *testing.T) { synctest.Test(t, func(*testing.T) { f() }) },
	}})
	if !ok {
		b.Fatal("virtual time failed")
	}
}

// BenchmarkKeptClaim prints the bytes of a kept claim with a small answer, in
// the store and in the memory of an instance that holds its shard.
func BenchmarkKeptClaim(b *testing.B) {
	const kept = 1250
	var stored, held float64
	var all []*shard
	for b.Loop() {
		before := heapBytes()
		s := new(shard)
		for range kept {
			op := Op{Kind: OpClaim, Key: KeyHash(uuid.New()), Attempt: Attempt(uuid.New()), Holder: "praha-a-1", At: time.Now().UnixMilli(), Window: 2000}
			s.apply(op)
			op.Kind = OpDone
			op.Answer = &Answer{Status: 200, Body: []byte("printed 1 batch")}
			s.apply(op)
		}
		held = float64(heapBytes()-before) / kept
		value, err := s.encode("x")
		if err != nil {
			b.Fatal(err)
		}
		stored = float64(len(value)) / kept
		all = append(all, s)
	}
	runtime.KeepAlive(all)
	b.ReportMetric(stored, "stored-B/claim")
	b.ReportMetric(held, "held-B/claim")
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkCommit measures one group commit's work on a full shard, without the store.
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
