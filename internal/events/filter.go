package events

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Filter selects events; an empty field matches every event.
type Filter struct {
	Request  model.RequestID
	Service  model.ServiceName
	Target   model.TargetID
	Revision model.Revision
	Kind     Kind
	// Since excludes events before a point in time.
	Since time.Time
}

// Match reports whether f selects e.
func (f *Filter) Match(e *Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Service == "" || f.Service == e.Service) &&
		(f.Target == "" || f.Target == e.Target) &&
		(f.Revision == 0 || f.Revision == e.Revision) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		!e.Time.Wall().Before(f.Since)
}

// Select returns the events that f selects. The result is not nil.
func (f *Filter) Select(events []Event) []Event {
	out := []Event{}
	for i := range events {
		if f.Match(&events[i]) {
			out = append(out, events[i])
		}
	}
	return out
}

// Merge merges the events of several instances into one timeline, ordered by time and,
// for equal times, by instance.
func Merge(lists ...[]Event) []Event {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Time, b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return out
}

// Text returns the event as one line of text, without a line break.
func (e *Event) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-12s %-18s", e.Time, e.Instance, e.Kind)
	field := func(name, value string) {
		if value != "" {
			b.WriteString(" " + name + "=" + value)
		}
	}
	field("request", string(e.Request))
	field("service", string(e.Service))
	field("target", string(e.Target))
	field("member", string(e.Member))
	if e.Revision != 0 {
		field("revision", strconv.FormatUint(uint64(e.Revision), 10))
	}
	if e.Detail != "" {
		b.WriteString("  " + e.Detail)
	}
	return b.String()
}
