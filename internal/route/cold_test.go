package route

import (
	"math"
	"testing"
	"time"
)

// TestFiguresForColdTargetsAreBounded checks negative and huge figures of a service: they are
// bounded and reported, and the rest of the configuration is in force.
func TestFiguresForColdTargetsAreBounded(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		start     time.Duration
		want      Service
		warnings  int
	}{
		{3.7, 3 * time.Second, Service{ColdPerSecond: 3.7, ColdStart: 3 * time.Second}, 0},
		{-1, -time.Second, Service{}, 1},
		{math.MaxFloat64, math.MaxInt64, Service{ColdPerSecond: maxColdPerSecond, ColdStart: maxColdStart}, 1},
	} {
		table, err := NewTable(Config{Services: []Service{{Name: "s", ColdPerSecond: c.perSecond, ColdStart: c.start}}, Rules: []*Rule{newRule("h", "/", Backend{Service: "s", Weight: 1})}})
		if err != nil {
			t.Fatal(err)
		}
		got := table.Service("s")
		if got.ColdPerSecond != c.want.ColdPerSecond || got.ColdStart != c.want.ColdStart || len(table.Warnings) != c.warnings || table.Match("h", "/") == nil {
			t.Errorf("%v for %v: %+v, %v", c.perSecond, c.start, got, table.Warnings)
		}
	}
}
