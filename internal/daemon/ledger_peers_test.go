package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
)

// claimRequest returns a request with a key for Ledger.Begin.
func claimRequest(key string) ledger.Request {
	return ledger.Request{
		Service:   "odeslani",
		Caller:    "druzstvo",
		Key:       key,
		Deadline:  time.Now().Add(30 * time.Second),
		Retention: time.Hour,
	}
}

// claimConcurrently claims each of n keys at all instances at the same time and returns
// the number of claims granted.
func claimConcurrently(t *testing.T, n int, instances ...*testInstance) int {
	t.Helper()
	var granted atomic.Int32
	var wg sync.WaitGroup
	for range n {
		key := uuid.Must(uuid.NewV7()).String()
		for _, i := range instances {
			wg.Go(func() {
				d, err := i.ledger.Begin(context.Background(), claimRequest(key))
				if err == nil && d.State == ledger.Claimed {
					granted.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return int(granted.Load())
}

// TestOneInstanceCommitsForAShard claims the same keys at two instances over real
// connections. Each key must be granted once, also after one instance has stopped.
func TestOneInstanceCommitsForAShard(t *testing.T) {
	const keys = 24
	f := newTestFleet(t)
	a := f.start(2, "praha-a-1", praha)
	b := f.start(3, "praha-b-1", model.Location{Region: "praha", FailureDomain: "praha-b"})
	for _, i := range []*testInstance{a, b} {
		waitReady(t, "http://"+i.s.Operator.Listen+"/ready")
		eventually(t, "the instances did not find each other", func() bool { return len(i.members.Live()) == 2 })
	}
	if granted := claimConcurrently(t, keys, a, b); granted != keys {
		t.Errorf("%d keys had %d claims granted", keys, granted)
	}
	if a.ledgerPeers.transport.PacketsReceived("praha-b-1") == 0 || b.ledgerPeers.transport.PacketsReceived("praha-a-1") == 0 {
		t.Error("no claim was sent between the instances")
	}
	for shard := range 8 {
		ownerAtA, remoteFromA := a.ledgerPeers.Owner(fmt.Sprintf("odeslani/%d", shard))
		ownerAtB, remoteFromB := b.ledgerPeers.Owner(fmt.Sprintf("odeslani/%d", shard))
		if remoteFromA == remoteFromB {
			t.Errorf("shard %d: owner %q at one instance, %q at the other", shard, ownerAtA, ownerAtB)
		}
	}
	if err := b.app.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if granted := claimConcurrently(t, keys, a); granted != keys {
		t.Errorf("%d claims were granted for %d keys after the other instance stopped", granted, keys)
	}
}

// BenchmarkClaimsOfAFleet claims different keys at the instances of a fleet at a steady
// rate, over real connections. The latency to the store is 24 ms.
func BenchmarkClaimsOfAFleet(b *testing.B) {
	const instances = 6
	f := newTestFleet(b)
	var fleet []*testInstance
	for n := range instances {
		fleet = append(fleet, f.start(10+n, model.InstanceID(fmt.Sprintf("praha-a-%d", n)), praha))
	}
	for _, i := range fleet {
		eventually(b, "the instances did not find each other", func() bool { return len(i.members.Live()) == instances })
	}
	remoteStore := standin.Faults{Delay: config.Duration(24 * time.Millisecond)}
	f.platform.Inject(standin.FaultSchedule{Steps: []standin.FaultStep{{Faults: remoteStore}}})
	for _, perSecond := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("rate=%d", perSecond), func(b *testing.B) {
			for b.Loop() {
				writes, start := f.platform.Stats().Writes, time.Now()
				latencies, refused := claimAtRate(fleet, perSecond, 5*time.Second)
				seconds := time.Since(start).Seconds()
				b.ReportMetric(float64(len(latencies))/seconds, "granted/s")
				b.ReportMetric(float64(refused), "refused")
				b.ReportMetric(float64(f.platform.Stats().Writes-writes)/seconds, "writes/s")
				b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
			}
		})
	}
}

// claimAtRate claims keys at a steady rate for the given duration. It returns the sorted
// latencies of the claims granted and the number refused.
func claimAtRate(fleet []*testInstance, perSecond int, duration time.Duration) (latencies []time.Duration, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range perSecond * int(duration/time.Second) {
		<-ticker.C
		wg.Go(func() {
			start := time.Now()
			key := uuid.Must(uuid.NewV7()).String()
			d, err := fleet[n%len(fleet)].ledger.Begin(context.Background(), claimRequest(key))
			latency := time.Since(start)
			granted := err == nil && d.State == ledger.Claimed
			mu.Lock()
			if granted {
				latencies = append(latencies, latency)
			} else {
				refused++
			}
			mu.Unlock()
			if granted {
				_ = d.Claim.RecordDone(context.Background(), &ledger.Response{Status: 200})
			}
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies, refused
}
