package ledger

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/standin"
	"redwingpoint.org/redwingpoint/internal/store"
)

// TestClaimsOutlastASpentWriteBudget claims keys while the client's budget of writes is
// spent. The budget is refilled many times within the time that a claim may take, and all
// queued ops of a shard fit into one write, so each claim must be granted.
func TestClaimsOutlastASpentWriteBudget(t *testing.T) {
	const keys = 24
	for _, burst := range []int{1, 4, 20} {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 42 * time.Millisecond} {
			t.Run(fmt.Sprintf("burst %d, a claim each %s", burst, pause), func(t *testing.T) {
				inVirtualTime(t, func(t *testing.T, p *standin.Platform) {
					l := newLedgerWithOptions("a", p, store.ClientOptions{Burst: burst})
					var granted atomic.Int32
					var wg sync.WaitGroup
					for range keys {
						req := newRequest(newTimedKey(time.Now()), "letters")
						wg.Go(func() {
							d, err := l.Begin(t.Context(), req)
							if err != nil {
								t.Error(err)
							} else if d.State == Claimed {
								granted.Add(1)
							}
						})
						time.Sleep(pause)
					}
					wg.Wait()
					if n := granted.Load(); n != keys {
						t.Errorf("%d of %d claims were granted", n, keys)
					}
				})
			})
		}
	}
}
