package route

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Config is a complete route configuration.
type Config struct {
	Revision model.Revision
	Limits   Limits
	Rules    []*Rule
	Services []Service
	// KeysRequired is set if the configuration lists organisations, be it none: requests need
	// a key of one of them, unless their rule is public.
	KeysRequired  bool
	Organisations []Organisation
}

// InvalidError reports an invalid rule in a configuration.
type InvalidError struct {
	Revision model.Revision
	Rule     string
	Problem  string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration %d: rule %q: %s", e.Revision, e.Rule, e.Problem)
}

// Table looks up rules by host and path. It is immutable and safe for concurrent use.
type Table struct {
	Revision model.Revision
	// LearntFrom is from whom this instance has the table.
	LearntFrom Source
	Limits     Limits
	// Warnings tell what was bounded or ignored in the configuration.
	Warnings []string
	// KeysRequired is set if requests to rules that aren't public need a key.
	KeysRequired bool
	// organisations are sorted as in the configuration.
	organisations []Organisation
	keys          keyIndex
	hosts         map[string][]*Rule
	services      map[model.ServiceName]Service
	// contended holds the services for which requests of different priority compete.
	contended map[model.ServiceName]bool
}

// NewTable validates a configuration and builds its table. It takes ownership of the
// rules. The error is *InvalidError.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		Revision:      c.Revision,
		Limits:        c.Limits,
		KeysRequired:  c.KeysRequired,
		organisations: checkOrganisations(c.Organisations),
		hosts:         make(map[string][]*Rule),
		services:      make(map[model.ServiceName]Service, len(c.Services)),
	}
	t.keys = newKeyIndex(t.organisations)
	for _, s := range c.Services {
		if problem := s.boundCold(); problem != "" {
			t.Warnings = append(t.Warnings, problem)
		}
		t.services[s.Name] = s
	}
	for _, r := range c.Rules {
		if problem := t.validate(r); problem != "" {
			return nil, &InvalidError{Revision: c.Revision, Rule: r.Name, Problem: problem}
		}
		r.prepare()
		host := canonicalHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, rules := range t.hosts {
		slices.SortStableFunc(rules, compareByPrefixLength)
	}
	t.contended = contendedServices(c)
	return t, nil
}

// contendedServices returns the services to which requests of different priority go: by
// their rules, or because organisations set it.
func contendedServices(c Config) map[model.ServiceName]bool {
	byOrganisation := slices.ContainsFunc(c.Organisations, func(o Organisation) bool { return o.Priority != nil })
	priorities := make(map[model.ServiceName]int)
	contended := make(map[model.ServiceName]bool)
	for _, r := range c.Rules {
		for _, b := range r.Backends {
			known, seen := priorities[b.Service]
			priorities[b.Service] = r.Priority
			if byOrganisation || seen && known != r.Priority {
				contended[b.Service] = true
			}
		}
	}
	return contended
}

// Contended reports whether requests of different priority compete for a service's targets.
func (t *Table) Contended(name model.ServiceName) bool { return t.contended[name] }

func compareByPrefixLength(a, b *Rule) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) }

// validate returns a description of what is wrong with a rule, or "" if it is valid.
func (t *Table) validate(r *Rule) string {
	switch {
	case r.Host == "":
		return "host is missing"
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return "path prefix must begin and end with a slash"
	case r.Timeout <= 0:
		return "timeout must be positive"
	case r.MaxAttempts < 1:
		return "maximum number of attempts must be at least 1"
	case len(r.Backends) == 0:
		return "no service is specified"
	}
	return t.validateBackends(r)
}

func (t *Table) validateBackends(r *Rule) string {
	total := 0
	for _, b := range r.Backends {
		if _, ok := t.services[b.Service]; !ok {
			return "service " + string(b.Service) + " is not defined"
		}
		if b.Weight < 0 {
			return "weight must not be negative"
		}
		total += b.Weight
	}
	if total == 0 {
		return "at least one weight must be positive"
	}
	return ""
}

// canonicalHost removes the port of a host and converts it to lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Config returns the configuration of the table. Its rules are copies that can be
// passed to NewTable.
func (t *Table) Config() Config {
	c := Config{Revision: t.Revision, Limits: t.Limits, KeysRequired: t.KeysRequired, Organisations: t.organisations}
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

// Match returns the rule with the longest matching prefix of an escaped path on a
// host, or nil.
func (t *Table) Match(host, path string) *Rule {
	for _, r := range t.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// OrganisationOf returns the organisation that holds a key, or nil if none does.
func (t *Table) OrganisationOf(key KeyDigest) *Organisation { return t.keys.find(key) }

// OrganisationNamed returns the organisation with a name, or nil. It may have a Problem.
func (t *Table) OrganisationNamed(name model.OrganisationName) *Organisation {
	for i := range t.organisations {
		if t.organisations[i].Name == name && name != "" {
			return &t.organisations[i]
		}
	}
	return nil
}

// Organisations returns the organisations of the configuration, those with a Problem
// included. The slice must not be changed.
func (t *Table) Organisations() []Organisation { return t.organisations }

// Service returns the configuration of a service, or a zero value if it isn't defined.
func (t *Table) Service(name model.ServiceName) Service { return t.services[name] }

// RuleCount returns the number of rules.
func (t *Table) RuleCount() int {
	n := 0
	for _, rules := range t.hosts {
		n += len(rules)
	}
	return n
}

// Holder holds the table in force, whose revision only increases. It is safe for
// concurrent use.
type Holder struct {
	current atomic.Pointer[Table]
	// confirmed is nil until the first call of Confirm.
	confirmed atomic.Pointer[Confirmation]
	// first is closed when the first table is in force.
	first chan struct{}
}

// NewHolder returns a holder without a table.
func NewHolder() *Holder { return &Holder{first: make(chan struct{})} }

// Await returns the table in force. It waits for the first one, and returns nil if ctx
// ends before there is one.
func (h *Holder) Await(ctx context.Context) *Table {
	select {
	case <-h.first:
	case <-ctx.Done():
	}
	return h.Current()
}

// Current returns the table in force, or nil if there is none yet.
func (h *Holder) Current() *Table { return h.current.Load() }

// Confirm records that the table in force, or one before it, was the store's latest when the
// read began that showed it, as far as the store's latest can be applied. An older
// confirmation than the one known changes nothing.
func (h *Holder) Confirm(by Source, began time.Time) {
	next := &Confirmation{At: began, By: by}
	for {
		known := h.confirmed.Load()
		if known != nil && known.Age() <= next.Age() || h.confirmed.CompareAndSwap(known, next) {
			return
		}
	}
}

// Confirmed returns the latest confirmation, or the zero value if there was none. A table that
// is loaded after it is the confirmed one or a later one.
func (h *Holder) Confirmed() Confirmation {
	if c := h.confirmed.Load(); c != nil {
		return *c
	}
	return Confirmation{}
}

// Apply puts a table in force unless the current one has the same or a later revision,
// and reports whether it did.
func (h *Holder) Apply(t *Table) bool {
	for {
		current := h.current.Load()
		if current != nil && current.Revision >= t.Revision {
			return false
		}
		if h.current.CompareAndSwap(current, t) {
			if current == nil {
				close(h.first)
			}
			return true
		}
	}
}
