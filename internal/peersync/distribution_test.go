package peersync

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

var distributionSizes = flag.String("distribution.sizes", "17", "sizes of the fleets to which targets are distributed, separated by commas")

const (
	distributedTargets = 3700
	// registrationTime is the time in which all targets register at the start.
	registrationTime = 6 * time.Second
	// changeInterval is the time between two replacements of a target.
	changeInterval = 100 * time.Millisecond
	// phaseTime is the length of each phase after the start.
	phaseTime = 10 * time.Second
	// drainBound is the time after which a target that left must not be used, with all relays
	// in order; settleBound is the time that the loss of a relay may take beside it.
	drainBound  = 3 * time.Second
	settleBound = 4 * time.Second
	// controlBytes is the aim for the control traffic of an instance in bytes a second.
	controlBytes = 2048
)

// distribution is a fleet in three regions with a relay in each of them.
type distribution struct {
	*relayNetwork
	store *relayStore
	ctx   context.Context
	// removedAt holds the times of removals of the current phase.
	removedAt map[model.TargetID]time.Time
	replaced  int
}

// startDistribution starts a fleet at a store without targets.
func startDistribution(ctx context.Context, size int) *distribution {
	d := &distribution{ctx: ctx, store: newRelayStore(0), relayNetwork: &relayNetwork{nodes: make(map[string]*relayNode), linkBytes: 10_000_000 / 8, batchDelay: 750 * time.Millisecond}}
	seeds := []string{"seed-0", "seed-1", "seed-2"}
	for i := range size {
		region := i % len(seeds)
		at := model.Location{Region: model.Region(strconv.Itoa(region)), FailureDomain: model.FailureDomain(fmt.Sprint(region, "-", i/3%2))}
		if i < len(seeds) {
			d.startAt(ctx, d.store, seeds[i], at)
		} else {
			d.startAt(ctx, d.store, "gateway-"+strconv.Itoa(i), at, seeds...)
		}
	}
	return d
}

// registerAll registers all targets evenly in time.
func (d *distribution) registerAll() {
	const steps = 60
	for step := range steps {
		for i := step; i < distributedTargets; i += steps {
			d.store.put("targets", fmt.Sprintf("i-%08x", i), "ready")
		}
		time.Sleep(registrationTime / steps)
	}
}

// replaceTargets replaces a target each changeInterval for a time.
func (d *distribution) replaceTargets(total time.Duration) {
	d.removedAt = make(map[model.TargetID]time.Time)
	for range total / changeInterval {
		gone := fmt.Sprintf("i-%08x", d.replaced)
		d.store.put("targets", gone, "")
		d.removedAt[model.TargetID(gone)] = time.Now()
		d.store.put("targets", fmt.Sprintf("i-%08x", distributedTargets+d.replaced), "ready")
		d.replaced++
		time.Sleep(changeInterval)
	}
}

// phase runs a part of a play and logs its bytes: by distance, of all instances together, and
// of the responses of the busiest. It returns the bytes of an instance per second, on average.
func (d *distribution) phase(t *testing.T, name string, play func()) (mean int) {
	startedAt := time.Now()
	sent, each := d.snapshot()
	play()
	seconds := int(time.Since(startedAt) / time.Second)
	after, eachAfter := d.snapshot()
	total, busiest := 0, 0
	for i := range after {
		after[i] = (after[i] - sent[i]) / seconds
		total += after[i]
	}
	for node, bytes := range eachAfter {
		busiest = max(busiest, (bytes-each[node])/seconds)
	}
	t.Logf("%s: %d B/s in domains, %d between them, %d between regions; the busiest sends %d B/s, the mean %d", name,
		after[model.SameDomain], after[model.SameRegion], after[model.OtherRegion], busiest, total/len(d.nodes))
	return total / len(d.nodes)
}

// snapshot returns the bytes sent so far by distance and by node.
func (d *distribution) snapshot() (sent [model.OtherRegion + 1]int, each map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	each = make(map[string]int)
	for name, node := range d.nodes {
		each[name] = node.sent
	}
	return d.sent, each
}

// checkAges checks when the instances, but for those excused, learnt of the phase's removals.
func (d *distribution) checkAges(t *testing.T, name string, bound time.Duration, excused ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ages []time.Duration
	for node, state := range d.nodes {
		if slices.Contains(excused, node) {
			continue
		}
		for id, at := range d.removedAt {
			if left, known := state.left[id]; known {
				ages = append(ages, left.Sub(at))
			} else {
				t.Errorf("%s: %s has not learnt that %s left", name, node, id)
				return
			}
		}
	}
	slices.Sort(ages)
	t.Logf("%s: 99 in 100 removals known after %v, all after %v", name, ages[len(ages)*99/100], ages[len(ages)-1])
	if last := ages[len(ages)-1]; last > bound {
		t.Errorf("%s: a removal was known after %v, want %v", name, last, bound)
	}
}

// checkEqual checks that all instances hold the same targets.
func (d *distribution) checkEqual(t *testing.T, name string) {
	want := d.nodes["seed-1"].replica.Versions()
	for node, state := range d.nodes {
		if own := state.replica.Versions(); own.Digest != want.Digest {
			t.Errorf("%s: %s holds %+v, a relay %+v", name, node, own, want)
		}
	}
}

// TestTargetsReachAFleet plays the registrations of 3,700 targets while a fleet starts, a calm
// time, replacements of targets, and the same while the relay of a region is silent, and while
// it is cut off from the store.
func TestTargetsReachAFleet(t *testing.T) {
	for _, size := range strings.Split(*distributionSizes, ",") {
		t.Run(size, func(t *testing.T) {
			count, err := strconv.Atoi(size)
			if err != nil {
				t.Fatal(err)
			}
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				d := startDistribution(ctx, count)
				d.phase(t, "start", func() { d.registerAll(); time.Sleep(registrationTime) })
				d.checkEqual(t, "start")
				if mean := d.phase(t, "calm", func() { time.Sleep(phaseTime) }); mean > controlBytes {
					t.Errorf("an instance takes %d B/s in calm time, want %d", mean, controlBytes)
				}
				d.phase(t, "replacements", func() { d.replaceTargets(phaseTime) })
				time.Sleep(settleBound)
				d.checkAges(t, "replacements", drainBound)
				d.silence("seed-0", true)
				d.phase(t, "a relay is silent", func() { d.replaceTargets(phaseTime) })
				time.Sleep(settleBound)
				d.checkAges(t, "a relay is silent", settleBound, "seed-0")
				d.silence("seed-0", false)
				time.Sleep(phaseTime)
				d.store.setDown(func(node, _ string) bool { return node == "seed-0" })
				d.phase(t, "a relay is cut off from the store", func() { d.replaceTargets(phaseTime) })
				time.Sleep(settleBound)
				d.checkAges(t, "a relay is cut off from the store", settleBound, "seed-0")
				d.store.setDown(func(string, string) bool { return false })
				time.Sleep(phaseTime)
				d.checkEqual(t, "end")
				cancel()
				time.Sleep(phaseTime)
			})
		})
	}
}
