package routing

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const letters = model.ServiceName("nahled")

var (
	prahaA = model.Location{Region: "praha", FailureDomain: "praha-a"}
	prahaB = model.Location{Region: "praha", FailureDomain: "praha-b"}
	brnoA  = model.Location{Region: "brno", FailureDomain: "brno-a"}
)

// fixture is a table of six instances' region and a clock that stands still.
type fixture struct {
	*Table
	picker *CostPicker
	now    time.Duration
}

func newFixture(targets ...model.Target) *fixture {
	f := &fixture{Table: NewInstanceTable("praha-a-1", prahaA), now: time.Hour}
	f.picker = NewSeededCostPicker(f.Table, func() time.Duration { return f.now }, func() float32 { return 0 })
	f.SetPlace(Place{Instances: 6, DomainInstances: 3})
	f.SetTargets(letters, targets)
	return f
}

func target(id string, at model.Location) model.Target {
	return model.Target{ID: model.TargetID(id), Service: letters, Location: at, Slots: 2, MaxConns: 240}
}

func (f *fixture) pick(class model.Class, exclude ...model.TargetID) (*Endpoint, error) {
	return f.picker.Pick(Request{Service: letters, Class: class, Exclude: exclude})
}

// mustPick picks and begins an exchange.
func (f *fixture) mustPick(t *testing.T, class model.Class, want string) *Endpoint {
	t.Helper()
	e, err := f.pick(class)
	if err != nil {
		t.Fatalf("pick: %v, want %s", err, want)
	}
	if string(e.Target.ID) != want {
		t.Fatalf("picked %s, want %s", e.Target.ID, want)
	}
	e.Load.BeginAt(f.now)
	return e
}

func (f *fixture) wantSaturated(t *testing.T, class model.Class) {
	t.Helper()
	e, err := f.pick(class)
	var saturated *SaturatedError
	if !errors.As(err, &saturated) {
		t.Fatalf("pick gave %v, %v, want *SaturatedError", e, err)
	}
}

func TestPickPrefersNearTargetsAndSpreads(t *testing.T) {
	f := newFixture(target("far", brnoA), target("b", prahaB), target("a", prahaA))
	f.mustPick(t, model.Idempotent, "a")
	f.mustPick(t, model.Idempotent, "b")
	f.wantSaturated(t, model.Idempotent)
}

func TestPickCrossesRegionsOnlyIfTheOwnCannotAnswer(t *testing.T) {
	f := newFixture(target("far", brnoA), target("a", prahaA))
	f.mustPick(t, model.Upload, "a")
	f.wantSaturated(t, model.Upload)
	e, err := f.picker.Pick(Request{Service: letters, Class: model.Upload, Waited: holdLimit})
	if err != nil || e.Target.ID != "a" {
		t.Fatalf("after a short wait: %v, %v, want a", e, err)
	}
	e.Load.BeginAt(f.now)
	e, err = f.picker.Pick(Request{Service: letters, Class: model.Upload, Waited: crossAfter - 1})
	if err == nil {
		t.Errorf("with every slot of the region taken: %v, want *SaturatedError", e)
	}
	e, err = f.picker.Pick(Request{Service: letters, Class: model.Upload, Waited: crossAfter})
	if err != nil || e.Target.ID != "far" {
		t.Errorf("after a long wait: %v, %v, want far", e, err)
	}
	f.SetStanding(letters, "a", Draining)
	f.mustPick(t, model.Upload, "far")
}

func TestPickKeepsOnceClassesFromUnprovenTargets(t *testing.T) {
	for _, class := range []model.Class{model.NonIdempotent, model.Upload} {
		f := newFixture(target("a", prahaA), target("far", brnoA))
		f.SetStanding(letters, "a", Unproven)
		f.mustPick(t, class, "far")
		f.SetStanding(letters, "far", Draining)
		f.mustPick(t, class, "a")
	}
}

func TestPickTriesUnprovenTargetsWithFewIdempotentRequests(t *testing.T) {
	f := newFixture(target("a", prahaA), target("b", prahaB))
	f.SetStanding(letters, "a", Unproven)
	f.mustPick(t, model.Idempotent, "b")
	f.mustPick(t, model.Idempotent, "a")
	f.wantSaturated(t, model.Idempotent)
}

func TestPickUsesEjectedTargetsOnlyAsLastResort(t *testing.T) {
	f := newFixture(target("a", prahaA), target("far", brnoA))
	f.SetStanding(letters, "a", Ejected)
	f.mustPick(t, model.NonIdempotent, "far")
	f.wantSaturated(t, model.NonIdempotent)
	f.SetStanding(letters, "far", Ejected)
	f.mustPick(t, model.NonIdempotent, "a")
}

func TestPickGivesDrainingTargetsNoWork(t *testing.T) {
	leaving := target("b", prahaA)
	leaving.Leaving = true
	f := newFixture(target("a", prahaA), leaving)
	f.SetStanding(letters, "a", Draining)
	_, err := f.pick(model.Idempotent)
	var none *NoTargetError
	if !errors.As(err, &none) {
		t.Errorf("pick gave %v, want *NoTargetError", err)
	}
	_, err = f.picker.Pick(Request{Service: "none"})
	var unknown *UnknownServiceError
	if !errors.As(err, &unknown) {
		t.Errorf("pick gave %v, want *UnknownServiceError", err)
	}
}

func TestPickGoesBeyondItsShareOnNewsOfSpareSlots(t *testing.T) {
	f := newFixture(target("a", prahaA))
	e := f.mustPick(t, model.Idempotent, "a")
	e.Load.ReportAt(2, f.now)
	f.wantSaturated(t, model.Idempotent)
	e.Load.ReportAt(1, f.now)
	f.mustPick(t, model.Idempotent, "a")
	f.wantSaturated(t, model.Idempotent)
}

func TestPickDoesNotStarveOnStaleBelief(t *testing.T) {
	f := newFixture(target("a", prahaA))
	e := f.mustPick(t, model.Upload, "a")
	e.Load.ReportAt(1000, f.now)
	f.wantSaturated(t, model.Upload)
	f.now += staleAfter
	f.mustPick(t, model.Upload, "a")

	idle := newFixture(target("a", prahaA))
	idle.Snapshot().Pool(letters).Endpoints[0].Load.ReportAt(1000, idle.now)
	idle.mustPick(t, model.Upload, "a")
}

func TestPickLeavesAStragglerAlone(t *testing.T) {
	f := newFixture(target("a", prahaA), target("b", prahaA), target("c", prahaA))
	straggler, _ := f.pick(model.NonIdempotent)
	straggler.Load.BeginAt(f.now)
	for range 100 {
		f.now += time.Millisecond
		e, err := f.pick(model.NonIdempotent)
		if err != nil || e == straggler {
			t.Fatalf("picked %v, %v while a request hangs there", e, err)
		}
		e.Load.BeginAt(f.now)
		e.Load.ReportAt(1, f.now)
		e.Load.EndAt(f.now)
	}
}

func TestPickLetsSecondAttemptsPassTheShare(t *testing.T) {
	f := newFixture(target("a", prahaA), target("b", prahaA))
	first, _ := f.pick(model.Idempotent)
	first.Load.BeginAt(f.now)
	second, _ := f.pick(model.Idempotent)
	second.Load.BeginAt(f.now)
	f.wantSaturated(t, model.Idempotent)
	e, err := f.pick(model.Idempotent, first.Target.ID)
	if err != nil || e != second {
		t.Errorf("second attempt: %v, %v, want the other target", e, err)
	}
}

func TestHomesBoundConnectionsAndShareTargetsOut(t *testing.T) {
	const instances, perInstance = 100, maxHomes
	list := manyTargets(letters, 3700)
	dialled := make(map[model.TargetID]int)
	for i := range instances {
		table := NewInstanceTable(model.InstanceID(fmt.Sprintf("i%d", i)), prahaA)
		table.SetPlace(Place{Index: i, Instances: instances, DomainIndex: i, DomainInstances: instances})
		table.SetTargets(letters, list)
		homes := table.Snapshot().Pool(letters).homes[regionUsable].near.list
		if len(homes) != perInstance {
			t.Fatalf("instance %d has %d home targets, want %d", i, len(homes), perInstance)
		}
		for _, e := range homes {
			dialled[e.Target.ID]++
		}
	}
	for id, n := range dialled {
		if n*connsPerInstance > 240 {
			t.Errorf("target %s is home to %d instances", id, n)
		}
	}
}

func TestInstancesCoverTheTargetsEvenly(t *testing.T) {
	const steps = 120
	for _, size := range []struct{ targets, instances int }{{6, 6}, {2, 3}, {7, 3}, {4, 6}, {10, 4}} {
		first := make([]int, size.targets)
		for i := range size.instances {
			g := newGroup(make([]*Endpoint, size.targets), true, 0, 1)
			g.width = float32(size.targets) / float32(size.instances)
			g.from = g.width * float32(i)
			for step := range steps {
				first[g.start((float32(step)+0.5)/steps)]++
			}
		}
		want := steps * size.instances / size.targets
		for i, n := range first {
			if n < want*9/10 || n > want*11/10 {
				t.Errorf("%d instances, %d targets: target %d is first %d times, want about %d", size.instances, size.targets, i, n, want)
			}
		}
	}
}

func TestHomesAreStableWhenTargetsChange(t *testing.T) {
	list := manyTargets(letters, 1000)
	f := newFixture(list...)
	before := f.Snapshot().Pool(letters).homes[regionUsable].near.list
	f.SetStanding(letters, before[0].Target.ID, Draining)
	after := f.Snapshot().Pool(letters).homes[regionUsable].near.list
	for i := range before[1:] {
		if before[i+1].Target.ID != after[i].Target.ID || before[i+1].Load != after[i].Load {
			t.Fatalf("home %d changed from %s to %s", i, before[i+1].Target.ID, after[i].Target.ID)
		}
	}
}

func TestTargetsThatJoinStartUnproven(t *testing.T) {
	f := newFixture(target("a", prahaA), target("b", prahaA))
	f.SetStanding(letters, "a", Ejected)
	f.SetTargets(letters, []model.Target{target("b", prahaA)})
	f.SetTargets(letters, []model.Target{target("b", prahaA), target("a", prahaA)})
	endpoints := f.Snapshot().Pool(letters).Endpoints
	if endpoints[0].Standing != Proven || endpoints[1].Standing != Unproven {
		t.Errorf("standings %s, %s, want proven, unproven", endpoints[0].Standing, endpoints[1].Standing)
	}
}

func manyTargets(service model.ServiceName, n int) []model.Target {
	list := make([]model.Target, n)
	for i := range list {
		list[i] = target(fmt.Sprintf("%s-%d", service, i), prahaA)
		list[i].Service = service
	}
	return list
}

// cityTable is a table of 220 services with 17 targets each and one of 3,700.
func cityTable() *Table {
	table := NewInstanceTable("praha-a-1", prahaA)
	table.SetPlace(Place{Instances: 6, DomainInstances: 3})
	for i := range 220 {
		service := model.ServiceName(fmt.Sprintf("s%d", i))
		table.SetTargets(service, manyTargets(service, 17))
	}
	table.SetTargets(letters, manyTargets(letters, 3700))
	return table
}

func TestPickDoesNotAllocate(t *testing.T) {
	picker := NewCostPicker(cityTable(), Monotonic)
	exclude := []model.TargetID{"nahled-1"}
	for _, service := range []model.ServiceName{letters, "s17"} {
		for _, class := range []model.Class{model.Idempotent, model.NonIdempotent} {
			req := Request{Service: service, Class: class, Exclude: exclude}
			allocs := testing.AllocsPerRun(1000, func() {
				e, err := picker.Pick(req)
				if err != nil {
					t.Fatal(err)
				}
				e.Load.Begin()
				e.Load.Report(1, started)
				e.Load.End()
			})
			if allocs != 0 {
				t.Errorf("a pick from %s for class %s allocates %.0f times", service, class, allocs)
			}
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3700} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			f := newFixture(manyTargets(letters, n)...)
			benchmarkPick(b, NewCostPicker(f.Table, Monotonic), func(int) model.ServiceName { return letters })
		})
	}
	b.Run("services=220", func(b *testing.B) {
		names := make([]model.ServiceName, 220)
		for i := range names {
			names[i] = model.ServiceName(fmt.Sprintf("s%d", i))
		}
		benchmarkPick(b, NewCostPicker(cityTable(), Monotonic), func(i int) model.ServiceName { return names[i%220] })
	})
}

func benchmarkPick(b *testing.B, picker Picker, service func(int) model.ServiceName) {
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			e, err := picker.Pick(Request{Service: service(i)})
			if err != nil {
				continue
			}
			e.Load.Begin()
			e.Load.End()
		}
	})
}

// BenchmarkTable reports the memory of a table and its snapshot.
func BenchmarkTable(b *testing.B) {
	const targets = 220*17 + 3700
	var tables []*Table
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		tables = append(tables, cityTable())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(tables)*targets), "B/target")
	runtime.KeepAlive(tables)
}

func BenchmarkPublish(b *testing.B) {
	for _, service := range []model.ServiceName{letters, "s17"} {
		b.Run("service="+string(service), func(b *testing.B) {
			table := cityTable()
			id := table.Snapshot().Pool(service).Endpoints[0].Target.ID
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.SetStanding(service, id, Standing(i%2))
			}
		})
	}
}
