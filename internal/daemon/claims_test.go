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

func claimRequest(key string) ledger.Request {
	return ledger.Request{
		Service:   "odeslani",
		Caller:    "druzstvo",
		Key:       key,
		Deadline:  time.Now().Add(30 * time.Second),
		Retention: time.Hour,
	}
}

// contest sends each of n keys to all instances at once and returns how many
// claims were granted.
func contest(t *testing.T, n int, instances ...*testInstance) int {
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

// TestOneInstanceCommitsForAShard lets two instances claim the same keys over
// real connections; one of them then leaves.
func TestOneInstanceCommitsForAShard(t *testing.T) {
	const keys = 24
	f := newTestFleet(t)
	a := f.start(2, "praha-a-1", praha)
	b := f.start(3, "praha-b-1", model.Location{Region: "praha", FailureDomain: "praha-b"})
	for _, i := range []*testInstance{a, b} {
		waitReady(t, "http://"+i.s.Operator.Listen+"/ready")
		eventually(t, "members did not meet", func() bool { return len(i.members.Live()) == 2 })
	}
	if granted := contest(t, keys, a, b); granted != keys {
		t.Errorf("%d keys were claimed %d times", keys, granted)
	}
	if a.claims.transport.PacketsReceived("praha-b-1") == 0 || b.claims.transport.PacketsReceived("praha-a-1") == 0 {
		t.Error("no claim travelled between the instances")
	}
	for shard := range 8 {
		atA, elsewhereA := a.claims.Owner(fmt.Sprintf("odeslani/%d", shard))
		atB, elsewhereB := b.claims.Owner(fmt.Sprintf("odeslani/%d", shard))
		if elsewhereA == elsewhereB {
			t.Errorf("shard %d: owner %q at one, %q at the other", shard, atA, atB)
		}
	}
	if err := b.app.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if granted := contest(t, keys, a); granted != keys {
		t.Errorf("%d of %d keys were claimed after the other instance left", granted, keys)
	}
}

// BenchmarkClaimsOfAFleet asks instances for claims of different keys at a steady
// rate, over real connections, with the store 24 ms away.
func BenchmarkClaimsOfAFleet(b *testing.B) {
	const instances = 6
	f := newTestFleet(b)
	var fleet []*testInstance
	for n := range instances {
		fleet = append(fleet, f.start(10+n, model.InstanceID(fmt.Sprintf("praha-a-%d", n)), praha))
	}
	for _, i := range fleet {
		eventually(b, "members did not meet", func() bool { return len(i.members.Live()) == instances })
	}
	away := standin.Faults{Delay: config.Duration(24 * time.Millisecond)}
	f.platform.Inject(standin.Script{Steps: []standin.Step{{Faults: away}}})
	for _, perSecond := range []int{30, 100, 300, 1000} {
		b.Run(fmt.Sprintf("rate=%d", perSecond), func(b *testing.B) {
			for b.Loop() {
				writes, start := f.platform.Tally().Writes, time.Now()
				took, refused := claimSteadily(fleet, perSecond, 5*time.Second)
				seconds := time.Since(start).Seconds()
				b.ReportMetric(float64(len(took))/seconds, "granted/s")
				b.ReportMetric(float64(refused), "refused")
				b.ReportMetric(float64(f.platform.Tally().Writes-writes)/seconds, "writes/s")
				b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
			}
		})
	}
}

// claimSteadily returns the sorted latencies of the claims granted and the number refused.
func claimSteadily(fleet []*testInstance, perSecond int, length time.Duration) (took []time.Duration, refused int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for n := range perSecond * int(length/time.Second) {
		<-ticker.C
		wg.Go(func() {
			start := time.Now()
			key := uuid.Must(uuid.NewV7()).String()
			d, err := fleet[n%len(fleet)].ledger.Begin(context.Background(), claimRequest(key))
			latency := time.Since(start)
			granted := err == nil && d.State == ledger.Claimed
			mu.Lock()
			if granted {
				took = append(took, latency)
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
	slices.Sort(took)
	return took, refused
}
