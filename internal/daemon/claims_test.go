package daemon

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/model"
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
				if err == nil && d.State == ledger.Fresh {
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
	if a.claims.transport.Heard("praha-b-1") == 0 || b.claims.transport.Heard("praha-a-1") == 0 {
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
