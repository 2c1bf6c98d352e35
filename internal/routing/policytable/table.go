package policytable

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Sizes are the parts of the users' services that lie in one region.
var (
	// Nahled is a service of idempotent requests with two slots per target.
	Nahled = Size{Name: "Vltava nahled (6 targets, 2 slots)", Targets: 6, Slots: 2}
	// Odeslani is a service of non-idempotent requests with two slots per target.
	Odeslani = Size{Name: "Vltava odeslani, prijem (4 targets, 2 slots)", Targets: 4, Slots: 2}
	// Statusdesk is a service of idempotent requests with four slots per target.
	Statusdesk = Size{Name: "Nordhavn statusdesk (7 targets, 4 slots)", Targets: 7, Slots: 4}
	// Changerunner is a service of non-idempotent requests with four slots per target.
	Changerunner = Size{Name: "Nordhavn changerunner, snapvault (4 targets, 4 slots)", Targets: 4, Slots: 4}
)

// Scenarios of the table.
var (
	// Steady has no faults.
	Steady = Scenario{Name: "steady"}
	// Stragglers has targets with slow periods.
	Stragglers = Scenario{Name: "stragglers", Straggling: true}
	// RejectingTarget adds a target that rejects everything to Stragglers.
	RejectingTarget = Scenario{Name: "stragglers, one target rejects everything", Straggling: true, Rejecting: true}
	// HalfDraining adds a drain of half the targets to Stragglers.
	HalfDraining = Scenario{Name: "stragglers, half the targets drain in the middle", Straggling: true, Draining: true}
)

// Loads are the simulated loads, as fractions of the slots that are busy.
var Loads = []float64{0.3, 0.5, 0.7, 0.85}

var hedgeNames = [...]string{Unhedged: "none", HedgeNewServiceTime: "fresh", HedgeSameServiceTime: "carried"}

// Seeds returns n fixed seeds.
func Seeds(n int) []uint64 {
	seeds := make([]uint64, n)
	for i := range seeds {
		seeds[i] = uint64(i + 1)
	}
	return seeds
}

// Simulate simulates every run with every seed, several concurrently. It returns the 99th
// percentiles of the latency, indexed by run and seed.
func Simulate(runs []Run, seeds []uint64) [][]time.Duration {
	out := make([][]time.Duration, len(runs))
	slots := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wg sync.WaitGroup
	for i := range runs {
		out[i] = make([]time.Duration, len(seeds))
		for k, seed := range seeds {
			slots <- struct{}{}
			wg.Go(func() {
				run := runs[i]
				run.Seed = seed
				out[i][k] = P99(run)
				<-slots
			})
		}
	}
	wg.Wait()
	return out
}

// Mean returns the mean of a non-empty list of durations.
func Mean(list []time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

// Print writes one table per size and scenario as Markdown, each cell from runs with
// the given number of requests and seeds.
func Print(w io.Writer, requests int, seeds []uint64) {
	for _, size := range []Size{Nahled, Odeslani, Statusdesk, Changerunner} {
		for _, scenario := range []Scenario{Steady, Stragglers, RejectingTarget, HalfDraining} {
			printTable(w, size, scenario, requests, seeds)
		}
	}
}

func printTable(w io.Writer, size Size, scenario Scenario, requests int, seeds []uint64) {
	hedges, class := []Hedge{Unhedged, HedgeNewServiceTime, HedgeSameServiceTime}, model.Idempotent
	if size == Odeslani || size == Changerunner {
		hedges, class = hedges[:1], model.NonIdempotent
	}
	fmt.Fprintf(w, "\n### %s, %s: p99 in ms, mean of %d seeds (lowest, highest)\n\n", size.Name, scenario.Name, len(seeds))
	head, rule := "| policy |", "|---|"
	for _, load := range Loads {
		for _, hedge := range hedges {
			head += fmt.Sprintf(" %.2f %s |", load, hedgeNames[hedge])
			rule += "---|"
		}
	}
	fmt.Fprintln(w, head+"\n"+rule)
	for _, policy := range Policies() {
		var runs []Run
		for _, load := range Loads {
			for _, hedge := range hedges {
				runs = append(runs, Run{Size: size, Scenario: scenario, Policy: policy, Hedge: hedge, Class: class, Load: load, Requests: requests})
			}
		}
		fmt.Fprintf(w, "| %s | %s |\n", policy.Name, strings.Join(formatCells(Simulate(runs, seeds)), " | "))
	}
}

// formatCells formats each cell as its mean, lowest and highest value in milliseconds.
func formatCells(cells [][]time.Duration) []string {
	var out []string
	for _, cell := range cells {
		lowest, highest := cell[0], cell[0]
		for _, d := range cell {
			lowest, highest = min(lowest, d), max(highest, d)
		}
		out = append(out, fmt.Sprintf("%.0f (%.0f, %.0f)", milliseconds(Mean(cell)), milliseconds(lowest), milliseconds(highest)))
	}
	return out
}

// milliseconds returns d in milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
