// Command bench compares calls through one instance with the same calls sent directly
// to targets, on loopback. It prints throughput, latency, CPU time and allocations. The
// targets and the caller run in this process; the instance runs as a separate process
// from the binary given by -binary.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"
)

// topology is the number of services and the number of targets of each service.
type topology struct{ services, targets int }

var (
	// baseTopology is the only topology with repeated runs at full load.
	baseTopology = topology{services: 1, targets: 10}
	// topologies are run at half load, in this order.
	topologies = []topology{baseTopology, {1, 100}, {1, 1000}, {1, 3700}, {220, 17}}
	// connCounts are the numbers of connections of the runs at full load.
	connCounts = []int{1, 64, 1000}
)

// halfLoadConns is the number of connections of the warm-up and of the runs at half load.
const halfLoadConns = 64

func main() {
	binary := flag.String("binary", "bin/redwingpoint", "the binary of the instance")
	length := flag.Duration("length", 3*time.Second, "length of each run")
	rounds := flag.Int("rounds", 3, "runs of each kind")
	flag.Parse()
	if err := run(*binary, *length, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

// run prints the table of all topologies.
func run(binary string, length time.Duration, rounds int) error {
	targets, err := startTargets()
	if err != nil {
		return err
	}
	fmt.Printf("%-28s %-8s %6s %10s %9s %9s %12s %12s\n",
		"run", "way", "conns", "calls/s", "p50 us", "p99 us", "cpu us/call", "allocs/call")
	for i, t := range topologies {
		b := &benchmark{binary: binary, topology: t, targets: targets, length: length}
		if err := b.run(rounds, i == 0); err != nil {
			return err
		}
	}
	return nil
}

// benchmark runs the measurements of one topology.
type benchmark struct {
	binary   string
	topology topology
	targets  []string
	length   time.Duration
	instance *instanceProcess
}

// run starts an instance, warms it up and measures it at half load, and before that at
// full load if throughput is true. Each measurement is repeated rounds times.
func (b *benchmark) run(rounds int, throughput bool) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	instance, err := startInstance(ctx, b.binary, b.topology, b.targets)
	if err != nil {
		return err
	}
	defer instance.stop()
	b.instance = instance
	name := fmt.Sprintf("%d x %d targets", b.topology.services, b.topology.targets)
	if _, err := b.compare(name+", warm-up", halfLoadConns, 0); err != nil {
		return err
	}
	if throughput {
		for _, conns := range connCounts {
			for range rounds {
				if _, err := b.compare(name+", full", conns, 0); err != nil {
					return err
				}
			}
		}
	}
	return b.halfLoad(name, rounds)
}

// halfLoad measures the added latency at half of the maximum rate of the instance.
func (b *benchmark) halfLoad(name string, rounds int) error {
	full, err := b.compare(name+", full", halfLoadConns, 0)
	if err != nil {
		return err
	}
	for range rounds {
		if _, err := b.compare(name+", half", halfLoadConns, full.perSecond/2); err != nil {
			return err
		}
	}
	return nil
}

// compare measures direct calls, then calls through the instance, prints both and the
// added latency, and returns the result of the latter. rate is in calls per second; 0
// means as many as the connections allow.
func (b *benchmark) compare(name string, conns int, rate float64) (result, error) {
	directResult := load{urls: b.directURLs(), conns: conns, rate: rate, length: b.length}.run()
	before, err := b.instance.usage()
	if err != nil {
		return result{}, err
	}
	proxied := load{urls: b.instanceURLs(), conns: conns, rate: rate, length: b.length}.run()
	after, err := b.instance.usage()
	if err != nil {
		return result{}, err
	}
	calls := float64(proxied.calls)
	printRow(name, "direct", conns, directResult, 0, 0)
	printRow(name, "through", conns, proxied, (after.cpu-before.cpu)*1e6/calls, (after.mallocs-before.mallocs)/calls)
	fmt.Printf("%-28s %-8s %6d %10s %9.0f %9.0f\n", name, "added", conns, "",
		micros(proxied.p50-directResult.p50), micros(proxied.p99-directResult.p99))
	return proxied, nil
}

// printRow prints one row of the table. cpu is in microseconds per call, allocs in
// allocations per call.
func printRow(name, way string, conns int, r result, cpu, allocs float64) {
	fmt.Printf("%-28s %-8s %6d %10.0f %9.0f %9.0f %12.1f %12.1f", name, way, conns, r.perSecond, micros(r.p50), micros(r.p99), cpu, allocs)
	if r.failed > 0 {
		fmt.Printf("  %d of %d calls failed", r.failed, r.calls+r.failed)
	}
	fmt.Println()
}

// micros returns a duration in microseconds.
func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// directURLs returns a URL for each address of a target.
func (b *benchmark) directURLs() []string {
	var urls []string
	for _, addr := range b.targets {
		urls = append(urls, "http://"+addr+"/letters/7")
	}
	return urls
}

// instanceURLs returns a URL at the instance for each service.
func (b *benchmark) instanceURLs() []string {
	var urls []string
	for i := range b.topology.services {
		urls = append(urls, "http://"+b.instance.caller+"/"+serviceName(i)+"/letters/7")
	}
	return urls
}
