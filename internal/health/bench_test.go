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

// largeChecker returns the checker of one of 100 instances in a region with 3,740
// targets.
func largeChecker() *Checker {
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
	controlBudget := limit.NewControlBudget(limit.DefaultControlBytesPerSecond, time.Now)
	c := &Checker{Members: list, ControlBudget: controlBudget, Location: praha, Table: NewTable(Options{
		Self: "i0", Routing: table, Facts: fleet.NewFactReplica("i0", events.NewClock(time.Now), time.Now),
		ControlBudget: controlBudget, Recorder: events.Discard, Now: time.Now,
	})}
	c.Table.Tick()
	return c
}

func BenchmarkObserve(b *testing.B) {
	c := largeChecker()
	e := c.Table.Routing.Snapshot().Pool("s7").Endpoints[0]
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Table.Observe(Observation{Endpoint: e})
		}
	})
}

// BenchmarkTick is one evaluation of 3,740 targets; an instance runs four a second.
func BenchmarkTick(b *testing.B) {
	c := largeChecker()
	b.ReportAllocs()
	for b.Loop() {
		c.Table.Tick()
	}
}

// BenchmarkDueTargets is one search for targets to probe; an instance runs four a second.
// Ownership is determined again every 5 s.
func BenchmarkDueTargets(b *testing.B) {
	c := largeChecker()
	b.ReportAllocs()
	for b.Loop() {
		c.DueTargets()
	}
}

func BenchmarkOwnership(b *testing.B) {
	c := largeChecker()
	b.ReportAllocs()
	for b.Loop() {
		c.Members.IsOwner("check/s7-3", checkersPerTarget, praha.Region)
	}
}
