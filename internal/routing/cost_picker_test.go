package routing

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

const testService = model.ServiceName("nahled")

var (
	prahaA = model.Location{Region: "praha", FailureDomain: "praha-a"}
	prahaB = model.Location{Region: "praha", FailureDomain: "praha-b"}
	brnoA  = model.Location{Region: "brno", FailureDomain: "brno-a"}
)

// testTable is the table of one instance of six in its region, with a picker whose
// clock only the test advances.
type testTable struct {
	*Table
	picker *CostPicker
	now    time.Duration
}

func newTestTable(targets ...model.Target) *testTable {
	f := &testTable{Table: NewInstanceTable("praha-a-1", prahaA), now: time.Hour}
	f.picker = NewSeededCostPicker(f.Table, func() time.Duration { return f.now }, func() float32 { return 0 })
	f.SetPosition(Position{Instances: 6, DomainInstances: 3})
	f.SetTargets(testService, targets)
	return f
}

func target(id string, at model.Location) model.Target {
	return model.Target{ID: model.TargetID(id), Service: testService, Location: at, Slots: 2, MaxConns: 240}
}

func (f *testTable) pick(class model.Class, exclude ...model.TargetID) (*Endpoint, error) {
	return f.picker.Pick(Request{Service: testService, Class: class, Exclude: exclude})
}

// mustPick picks a target, fails the test unless it is want, and begins an exchange
// with it.
func (f *testTable) mustPick(t *testing.T, class model.Class, want string) *Endpoint {
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

func (f *testTable) wantSaturated(t *testing.T, class model.Class) {
	t.Helper()
	e, err := f.pick(class)
	var saturated *SaturatedError
	if !errors.As(err, &saturated) {
		t.Fatalf("pick gave %v, %v, want *SaturatedError", e, err)
	}
}

func TestCostPickerPrefersNearTargetsAndSpreads(t *testing.T) {
	f := newTestTable(target("far", brnoA), target("b", prahaB), target("a", prahaA))
	f.mustPick(t, model.Idempotent, "a")
	f.mustPick(t, model.Idempotent, "b")
	f.wantSaturated(t, model.Idempotent)
}

func TestCostPickerCrossesRegionsOnlyIfOwnRegionIsFull(t *testing.T) {
	f := newTestTable(target("far", brnoA), target("a", prahaA))
	f.mustPick(t, model.Upload, "a")
	f.wantSaturated(t, model.Upload)
	e, err := f.picker.Pick(Request{Service: testService, Class: model.Upload, Waited: maxShareWait})
	if err != nil || e.Target.ID != "a" {
		t.Fatalf("after a short wait: %v, %v, want a", e, err)
	}
	e.Load.BeginAt(f.now)
	e, err = f.picker.Pick(Request{Service: testService, Class: model.Upload, Waited: crossRegionDelay - 1})
	if err == nil {
		t.Errorf("with every slot of the region taken: %v, want *SaturatedError", e)
	}
	e, err = f.picker.Pick(Request{Service: testService, Class: model.Upload, Waited: crossRegionDelay})
	if err != nil || e.Target.ID != "far" {
		t.Errorf("after a long wait: %v, %v, want far", e, err)
	}
	f.SetState(testService, "a", Draining)
	f.mustPick(t, model.Upload, "far")
}

func TestCostPickerUsesUnprovenTargetsLastForNonIdempotentRequests(t *testing.T) {
	for _, class := range []model.Class{model.NonIdempotent, model.Upload} {
		f := newTestTable(target("a", prahaA), target("far", brnoA))
		f.SetState(testService, "a", Unproven)
		f.mustPick(t, class, "far")
		f.SetState(testService, "far", Draining)
		f.mustPick(t, class, "a")
	}
}

func TestCostPickerLimitsIdempotentRequestsToUnprovenTargets(t *testing.T) {
	f := newTestTable(target("a", prahaA), target("b", prahaB))
	f.SetState(testService, "a", Unproven)
	f.mustPick(t, model.Idempotent, "b")
	f.mustPick(t, model.Idempotent, "a")
	f.wantSaturated(t, model.Idempotent)
}

func TestCostPickerUsesEjectedTargetsOnlyAsLastResort(t *testing.T) {
	f := newTestTable(target("a", prahaA), target("far", brnoA))
	f.SetState(testService, "a", Ejected)
	f.mustPick(t, model.NonIdempotent, "far")
	f.wantSaturated(t, model.NonIdempotent)
	f.SetState(testService, "far", Ejected)
	f.mustPick(t, model.NonIdempotent, "a")
}

func TestCostPickerSkipsDrainingTargets(t *testing.T) {
	leaving := target("b", prahaA)
	leaving.Leaving = true
	f := newTestTable(target("a", prahaA), leaving)
	f.SetState(testService, "a", Draining)
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

func TestCostPickerExceedsItsShareAfterReportOfFreeSlots(t *testing.T) {
	f := newTestTable(target("a", prahaA))
	e := f.mustPick(t, model.Idempotent, "a")
	e.Load.ReportAt(2, f.now)
	f.wantSaturated(t, model.Idempotent)
	e.Load.ReportAt(1, f.now)
	f.mustPick(t, model.Idempotent, "a")
	f.wantSaturated(t, model.Idempotent)
}

func TestCostPickerDoesNotStarveOnOutdatedReports(t *testing.T) {
	f := newTestTable(target("a", prahaA))
	e := f.mustPick(t, model.Upload, "a")
	e.Load.ReportAt(1000, f.now)
	f.wantSaturated(t, model.Upload)
	f.now += stallTimeout
	f.mustPick(t, model.Upload, "a")

	idle := newTestTable(target("a", prahaA))
	idle.Snapshot().Pool(testService).Endpoints[0].Load.ReportAt(1000, idle.now)
	idle.mustPick(t, model.Upload, "a")
}

func TestCostPickerAvoidsStragglers(t *testing.T) {
	f := newTestTable(target("a", prahaA), target("b", prahaA), target("c", prahaA))
	straggler, _ := f.pick(model.NonIdempotent)
	straggler.Load.BeginAt(f.now)
	for range 100 {
		f.now += time.Millisecond
		e, err := f.pick(model.NonIdempotent)
		if err != nil || e == straggler {
			t.Fatalf("picked %v, %v while a request is stuck at the straggler", e, err)
		}
		e.Load.BeginAt(f.now)
		e.Load.ReportAt(1, f.now)
		e.Load.EndAt(f.now)
	}
}

func TestCostPickerIgnoresShareForSecondAttempts(t *testing.T) {
	f := newTestTable(target("a", prahaA), target("b", prahaA))
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

func TestSubsetsBoundConnectionsPerTarget(t *testing.T) {
	const instances, perSubset = 100, maxSubsetSize
	list := manyTargets(testService, 3700)
	usedBy := make(map[model.TargetID]int)
	for i := range instances {
		table := NewInstanceTable(model.InstanceID(fmt.Sprintf("i%d", i)), prahaA)
		table.SetPosition(Position{Index: i, Instances: instances, DomainIndex: i, DomainInstances: instances})
		table.SetTargets(testService, list)
		subset := table.Snapshot().Pool(testService).subsets[localUsable].sameDomain.list
		if len(subset) != perSubset {
			t.Fatalf("instance %d uses %d targets, want %d", i, len(subset), perSubset)
		}
		for _, e := range subset {
			usedBy[e.Target.ID]++
		}
	}
	for id, n := range usedBy {
		if n*connsPerInstance > 240 {
			t.Errorf("target %s is used by %d instances", id, n)
		}
	}
}

func TestArcsCoverTargetsEvenly(t *testing.T) {
	const steps = 120
	for _, size := range []struct{ targets, instances int }{{6, 6}, {2, 3}, {7, 3}, {4, 6}, {10, 4}} {
		first := make([]int, size.targets)
		for i := range size.instances {
			r := newRing(make([]*Endpoint, size.targets), true, 0, 1)
			r.arcWidth = float32(size.targets) / float32(size.instances)
			r.arcStart = r.arcWidth * float32(i)
			for step := range steps {
				first[r.startIndex((float32(step)+0.5)/steps)]++
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

func TestSubsetIsStableWhenTargetsChange(t *testing.T) {
	list := manyTargets(testService, 1000)
	f := newTestTable(list...)
	before := f.Snapshot().Pool(testService).subsets[localUsable].sameDomain.list
	f.SetState(testService, before[0].Target.ID, Draining)
	after := f.Snapshot().Pool(testService).subsets[localUsable].sameDomain.list
	for i := range before[1:] {
		if before[i+1].Target.ID != after[i].Target.ID || before[i+1].Load != after[i].Load {
			t.Fatalf("subset entry %d changed from %s to %s", i, before[i+1].Target.ID, after[i].Target.ID)
		}
	}
}

func TestJoiningTargetsStartUnproven(t *testing.T) {
	f := newTestTable(target("a", prahaA), target("b", prahaA))
	f.SetState(testService, "a", Ejected)
	f.SetTargets(testService, []model.Target{target("b", prahaA)})
	f.SetTargets(testService, []model.Target{target("b", prahaA), target("a", prahaA)})
	endpoints := f.Snapshot().Pool(testService).Endpoints
	if endpoints[0].State != Proven || endpoints[1].State != Unproven {
		t.Errorf("states %s, %s, want proven, unproven", endpoints[0].State, endpoints[1].State)
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

// largeTable returns a table of 220 services with 17 targets each and one service with
// 3,700.
func largeTable() *Table {
	table := NewInstanceTable("praha-a-1", prahaA)
	table.SetPosition(Position{Instances: 6, DomainInstances: 3})
	for i := range 220 {
		service := model.ServiceName(fmt.Sprintf("s%d", i))
		table.SetTargets(service, manyTargets(service, 17))
	}
	table.SetTargets(testService, manyTargets(testService, 3700))
	return table
}

func TestCostPickerDoesNotAllocate(t *testing.T) {
	picker := NewCostPicker(largeTable(), Monotonic)
	exclude := []model.TargetID{"nahled-1"}
	for _, service := range []model.ServiceName{testService, "s17"} {
		for _, class := range []model.Class{model.Idempotent, model.NonIdempotent} {
			req := Request{Service: service, Class: class, Exclude: exclude}
			allocs := testing.AllocsPerRun(1000, func() {
				e, err := picker.Pick(req)
				if err != nil {
					t.Fatal(err)
				}
				e.Load.Begin()
				e.Load.Report(1, processStart)
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
			f := newTestTable(manyTargets(testService, n)...)
			benchmarkPick(b, NewCostPicker(f.Table, Monotonic), func(int) model.ServiceName { return testService })
		})
	}
	b.Run("services=220", func(b *testing.B) {
		names := make([]model.ServiceName, 220)
		for i := range names {
			names[i] = model.ServiceName(fmt.Sprintf("s%d", i))
		}
		benchmarkPick(b, NewCostPicker(largeTable(), Monotonic), func(i int) model.ServiceName { return names[i%220] })
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

// BenchmarkTable reports the heap size of a table and its snapshot per target.
func BenchmarkTable(b *testing.B) {
	const targets = 220*17 + 3700
	var tables []*Table
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		tables = append(tables, largeTable())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(tables)*targets), "B/target")
	runtime.KeepAlive(tables)
}

func BenchmarkPublish(b *testing.B) {
	for _, service := range []model.ServiceName{testService, "s17"} {
		b.Run("service="+string(service), func(b *testing.B) {
			table := largeTable()
			id := table.Snapshot().Pool(service).Endpoints[0].Target.ID
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.SetState(service, id, TargetState(i%2))
			}
		})
	}
}
