package route

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Config is what a configuration source delivers.
type Config struct {
	Revision model.Revision
	Limits   Limits
	Rules    []*Rule
	Services []Service
}

// InvalidError reports a configuration that can't be used.
type InvalidError struct {
	Revision model.Revision
	Rule     string
	Problem  string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration %d: rule %q: %s", e.Revision, e.Rule, e.Problem)
}

// Table finds rules by host and path. It is immutable.
type Table struct {
	Revision model.Revision
	Limits   Limits
	hosts    map[string][]*Rule
	services map[model.ServiceName]Service
}

// NewTable checks a configuration and builds its table. It takes ownership of
// the rules. The error is *InvalidError.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		Revision: c.Revision,
		Limits:   c.Limits,
		hosts:    make(map[string][]*Rule),
		services: make(map[model.ServiceName]Service, len(c.Services)),
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for _, r := range c.Rules {
		if problem := t.problem(r); problem != "" {
			return nil, &InvalidError{Revision: c.Revision, Rule: r.Name, Problem: problem}
		}
		r.prepare()
		host := canonicalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, rules := range t.hosts {
		slices.SortStableFunc(rules, longerFirst)
	}
	return t, nil
}

func longerFirst(a, b *Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) }

// problem says what is wrong with a rule, or "".
func (t *Table) problem(r *Rule) string {
	switch {
	case r.Host == "":
		return "has no host"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "its path prefix must begin and end with a slash"
	case r.Timeout <= 0:
		return "its timeout must be positive"
	case r.MaxAttempts < 1:
		return "it allows no attempt"
	case len(r.Backends) == 0:
		return "it names no service"
	}
	return t.backendProblem(r)
}

func (t *Table) backendProblem(r *Rule) string {
	total := 0
	for _, b := range r.Backends {
		if _, ok := t.services[b.Service]; !ok {
			return "service " + string(b.Service) + " is not defined"
		}
		if b.Weight < 0 {
			return "a weight is negative"
		}
		total += b.Weight
	}
	if total == 0 {
		return "all weights are zero"
	}
	return ""
}

// canonicalHost drops a port and the case of a host name.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Config returns what the table was built from, for another instance: its rules are
// copies without the position of their splits.
func (t *Table) Config() Config {
	c := Config{Revision: t.Revision, Limits: t.Limits}
	for _, rules := range t.hosts {
		for _, r := range rules {
			c.Rules = append(c.Rules, r.copy())
		}
	}
	for _, s := range t.services {
		c.Services = append(c.Services, s)
	}
	return c
}

// Match returns the rule of a host with the longest prefix of an escaped path,
// or nil.
func (t *Table) Match(host, path string) *Rule {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns how a service's targets are talked to.
func (t *Table) Service(name model.ServiceName) Service { return t.services[name] }

// Rules returns the number of rules.
func (t *Table) Rules() int {
	n := 0
	for _, rules := range t.hosts {
		n += len(rules)
	}
	return n
}

// Holder publishes the table in force by atomic swap; revisions only rise. It is
// safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Table]
	// first is closed when the first table is in force.
	first chan struct{}
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{first: make(chan struct{})} }

// Await returns the table in force. Before the first it waits for it, until the
// context ends; then it returns nil.
func (h *Holder) Await(ctx context.Context) *Table {
	select {
	case <-h.first:
	case <-ctx.Done():
	}
	return h.Current()
}

// Current returns the table in force, or nil before the first.
func (h *Holder) Current() *Table { return h.current.Load() }

// Offer puts a table in force unless one of the same or a later revision is, and
// reports whether it did.
func (h *Holder) Offer(t *Table) bool {
	for {
		old := h.current.Load()
		if old != nil && old.Revision >= t.Revision {
			return false
		}
		if h.current.CompareAndSwap(old, t) {
			if old == nil {
				close(h.first)
			}
			return true
		}
	}
}
