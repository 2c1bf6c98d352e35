package health

import (
	"fmt"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// cityChecker is the checker of one of 100 instances of a region with 3,700 targets.
func cityChecker() *Checker {
	table := routing.NewInstanceTable("i0", praha)
	for i := range 220 {
		service := model.ServiceName(fmt.Sprintf("s%d", i))
		var list []model.Target
		for k := range 17 {
			list = append(list, model.Target{ID: model.TargetID(fmt.Sprintf("s%d-%d", i, k)), Service: service, Location: praha, Slots: 2})
		}
		table.SetTargets(service, list)
	}
	var members []fleet.Member
	for i := range 100 {
		members = append(members, fleet.Member{ID: model.InstanceID(fmt.Sprintf("i%d", i)), Location: praha})
	}
	list := fleet.NewMembers(members[0])
	list.Set(members)
	measuring := limit.NewMeasuring(limit.MeasuringBytesPerSecond, time.Now)
	c := &Checker{Members: list, Measuring: measuring, Location: praha, Table: NewTable(Options{
		Self: "i0", Routing: table, Board: fleet.NewFactReplica("i0", events.NewClock(time.Now), time.Now),
		Measuring: measuring, Recorder: events.Discard, Now: time.Now,
	})}
	c.Table.Tick()
	return c
}

func BenchmarkObserve(b *testing.B) {
	c := cityChecker()
	e := c.Table.Routing.Snapshot().Pool("s7").Endpoints[0]
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Table.Observe(Observation{Endpoint: e})
		}
	})
}

// BenchmarkTick is one look at 3,740 targets, four times a second.
func BenchmarkTick(b *testing.B) {
	c := cityChecker()
	b.ReportAllocs()
	for b.Loop() {
		c.Table.Tick()
	}
}

// BenchmarkDue is one look for targets to probe, four times a second; ownership
// is worked out anew each 5 s.
func BenchmarkDue(b *testing.B) {
	c := cityChecker()
	b.ReportAllocs()
	for b.Loop() {
		c.Due()
	}
}

func BenchmarkOwnership(b *testing.B) {
	c := cityChecker()
	b.ReportAllocs()
	for b.Loop() {
		c.Members.IsOwner("check/s7-3", checkersPerTarget, praha.Region)
	}
}
