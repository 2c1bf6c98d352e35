package route

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

func newRule(host, prefix string, backends ...Backend) *Rule {
	return &Rule{Name: host + prefix, Host: host, Prefix: prefix, Timeout: time.Second, MaxAttempts: 2, Backends: backends}
}

var services = []Service{{Name: "a"}, {Name: "b"}}

func newTable(t *testing.T, revision model.Revision, rules ...*Rule) *Table {
	t.Helper()
	table, err := NewTable(Config{Revision: revision, Rules: rules, Services: services})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func TestMatchSelectsLongestPrefix(t *testing.T) {
	table := newTable(t, 1,
		newRule("one.example", "/x/", Backend{"a", 1}),
		newRule("one.example", "/x/y/", Backend{"b", 1}),
		newRule("two.example", "/", Backend{"b", 1}))
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/x/1", "one.example/x/"},
		{"one.example", "/x/y/1", "one.example/x/y/"},
		{"ONE.example:8080", "/x/y/", "one.example/x/y/"},
		{"one.example", "/x", ""},
		{"one.example", "/xy/1", ""},
		{"two.example", "/x/y/1", "two.example/"},
		{"three.example", "/x/", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: rule %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r := newTable(t, 1, newRule("h", "/", Backend{"a", 90}, Backend{"b", 10})).Match("h", "/")
	for run := range 20 {
		seen := map[model.ServiceName]int{}
		for range 100 {
			seen[r.NextService()]++
		}
		if fraction := float64(seen["b"]) / 100; math.Abs(fraction-0.10) > 0.03 {
			t.Errorf("run %d: fraction %.2f for the second service, want 0.10", run, fraction)
		}
	}
}

func TestInvalidRulesAreRejected(t *testing.T) {
	negative := newRule("h", "/", Backend{"a", -1})
	noAttempt := newRule("h", "/", Backend{"a", 1})
	noAttempt.MaxAttempts = 0
	for name, r := range map[string]*Rule{
		"no host":         newRule("", "/", Backend{"a", 1}),
		"bare prefix":     newRule("h", "/x", Backend{"a", 1}),
		"no service":      newRule("h", "/"),
		"unknown service": newRule("h", "/", Backend{"c", 1}),
		"zero weights":    newRule("h", "/", Backend{"a", 0}),
		"negative weight": negative,
		"no attempt":      noAttempt,
	} {
		var invalid *InvalidError
		if _, err := NewTable(Config{Revision: 3, Rules: []*Rule{r}, Services: services}); !errors.As(err, &invalid) {
			t.Errorf("%s: accepted (%v)", name, err)
		}
	}
}

func TestHolderNeverRevertsToOlderRevisions(t *testing.T) {
	h := NewHolder()
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if h.Current() != nil || h.Await(canceled) != nil {
		t.Error("a table is in force before one was applied")
	}
	first := make(chan *Table)
	go func() { first <- h.Await(t.Context()) }()
	for _, step := range []struct {
		revision model.Revision
		applied  bool
	}{{4, true}, {3, false}, {4, false}, {9, true}} {
		if got := h.Apply(newTable(t, step.revision)); got != step.applied {
			t.Errorf("revision %d: applied %t, want %t", step.revision, got, step.applied)
		}
	}
	if got := <-first; got == nil {
		t.Error("Await returned no table")
	}
	if got := h.Current().Revision; got != 9 {
		t.Errorf("revision %d is in force, want 9", got)
	}
}
