// Command bench measures what a call costs that goes through one entry process,
// side by side with the same call sent to a target directly, on loopback. The
// targets and the caller are in this process; the entry instance is a process of
// its own, started from the binary given by -binary.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// shape is the number of services and of targets of each.
type shape struct{ services, targets int }

var (
	baseShape   = shape{services: 1, targets: 10}
	grownShapes = []shape{baseShape, {1, 100}, {1, 1000}, {1, 3700}, {220, 17}}
	connections = []int{1, 64, 1000}
)

// halfLoadConns is the number of connections of the runs at half load.
const halfLoadConns = 64

func main() {
	binary := flag.String("binary", "bin/redwingpoint", "the binary of the entry instance")
	length := flag.Duration("length", 3*time.Second, "length of each run")
	rounds := flag.Int("rounds", 3, "runs of each kind")
	flag.Parse()
	if err := run(*binary, *length, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run(binary string, length time.Duration, rounds int) error {
	targets, err := startTargets()
	if err != nil {
		return err
	}
	fmt.Printf("%-28s %-8s %6s %10s %9s %9s %12s %12s\n",
		"run", "way", "conns", "calls/s", "p50 us", "p99 us", "cpu us/call", "allocs/call")
	for i, s := range grownShapes {
		b := &bench{binary: binary, shape: s, targets: targets, length: length}
		if err := b.measure(rounds, i == 0); err != nil {
			return err
		}
	}
	return nil
}

// bench measures one shape.
type bench struct {
	binary  string
	shape   shape
	targets []string
	length  time.Duration
	entry   *entry
}

func (b *bench) measure(rounds int, throughput bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e, err := startEntry(ctx, b.binary, b.shape, b.targets)
	if err != nil {
		return err
	}
	defer e.stop()
	b.entry = e
	name := fmt.Sprintf("%d x %d targets", b.shape.services, b.shape.targets)
	if _, err := b.both(name+", warm-up", halfLoadConns, 0); err != nil {
		return err
	}
	if throughput {
		for _, conns := range connections {
			for range rounds {
				if _, err := b.both(name+", full", conns, 0); err != nil {
					return err
				}
			}
		}
	}
	return b.halfLoad(name, rounds)
}

// halfLoad measures the added time at half of what the entry process carries.
func (b *bench) halfLoad(name string, rounds int) error {
	full, err := b.both(name+", full", halfLoadConns, 0)
	if err != nil {
		return err
	}
	for range rounds {
		if _, err := b.both(name+", half", halfLoadConns, full.perSecond/2); err != nil {
			return err
		}
	}
	return nil
}

// both measures direct calls, then calls through the entry process, and returns
// the latter. A rate of 0 means as many as the connections carry.
func (b *bench) both(name string, conns int, rate float64) (result, error) {
	direct := load{urls: b.directURLs(), conns: conns, rate: rate, length: b.length}.run()
	before, err := b.entry.usage()
	if err != nil {
		return result{}, err
	}
	through := load{urls: b.entryURLs(), conns: conns, rate: rate, length: b.length}.run()
	after, err := b.entry.usage()
	if err != nil {
		return result{}, err
	}
	calls := float64(through.calls)
	printRow(name, "direct", conns, direct, 0, 0)
	printRow(name, "through", conns, through, (after.cpu-before.cpu)*1e6/calls, (after.mallocs-before.mallocs)/calls)
	fmt.Printf("%-28s %-8s %6d %10s %9.0f %9.0f\n", name, "added", conns, "",
		micros(through.p50-direct.p50), micros(through.p99-direct.p99))
	return through, nil
}

func printRow(name, way string, conns int, r result, cpu, allocs float64) {
	fmt.Printf("%-28s %-8s %6d %10.0f %9.0f %9.0f %12.1f %12.1f", name, way, conns, r.perSecond, micros(r.p50), micros(r.p99), cpu, allocs)
	if r.failed > 0 {
		fmt.Printf("  %d of %d calls failed", r.failed, r.calls+r.failed)
	}
	fmt.Println()
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func (b *bench) directURLs() []string {
	var urls []string
	for _, addr := range b.targets {
		urls = append(urls, "http://"+addr+"/letters/7")
	}
	return urls
}

func (b *bench) entryURLs() []string {
	var urls []string
	for i := range b.shape.services {
		urls = append(urls, "http://"+b.entry.caller+"/"+serviceName(i)+"/letters/7")
	}
	return urls
}
