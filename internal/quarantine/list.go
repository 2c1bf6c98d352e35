// Package quarantine keeps requests that crash targets away from targets. When the same
// request crashes a second target, all instances quarantine it for a limited time. The
// instances of a fleet share crashes as facts (List); gateways, which have no facts, merge
// marks with each other (Registry).
package quarantine

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/model"
)

const (
	// Duration is how long a request stays quarantined.
	Duration = 10 * time.Minute
	// crashTTL is how long the first crash of a request is remembered.
	crashTTL = 10 * time.Minute
	// maxCrashes is the largest number of first crashes that an instance remembers.
	maxCrashes = 1024
)

// Crash is the value of a fact of kind fleet.FactCrash. The key of the fact is the
// fingerprint of the request.
type Crash struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Target  model.TargetID    `cbor:"2,keyasint"`
	Request model.RequestID   `cbor:"3,keyasint"`
}

// Entry is a quarantined request, and the value of a fact of kind fleet.FactQuarantine.
type Entry struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Request model.RequestID   `cbor:"2,keyasint"`
	// First and Second are the targets that the request crashed.
	First  model.TargetID `cbor:"3,keyasint"`
	Second model.TargetID `cbor:"4,keyasint"`
	// Lifted is set to end the quarantine before it expires.
	Lifted bool `cbor:"5,keyasint,omitempty"`
	// Fingerprint and Until are the key and the expiry of the fact.
	Fingerprint string    `cbor:"-"`
	Until       time.Time `cbor:"-"`
}

// List holds the quarantined requests that one instance knows. Lookups take no lock. It
// is safe for concurrent use.
type List struct {
	facts    fleet.FactStore
	recorder events.Recorder
	active   atomic.Pointer[map[string]Entry]

	mu      sync.Mutex
	crashes map[string]firstCrash
}

// firstCrash is the first crash of a request, which is remembered until the given time.
type firstCrash struct {
	target model.TargetID
	until  time.Time
}

// New returns a list that is updated by the facts of a store.
func New(facts fleet.FactStore, recorder events.Recorder) *List {
	l := &List{facts: facts, recorder: recorder, crashes: make(map[string]firstCrash)}
	l.active.Store(&map[string]Entry{})
	facts.Subscribe(fleet.FactCrash, l.onCrash)
	facts.Subscribe(fleet.FactQuarantine, l.onQuarantine)
	return l
}

// Empty reports whether no request is quarantined.
func (l *List) Empty() bool { return len(*l.active.Load()) == 0 }

// Find returns the entry of a fingerprint. It reports false if the request is not
// quarantined.
func (l *List) Find(fingerprint string) (Entry, bool) {
	e, ok := (*l.active.Load())[fingerprint]
	return e, ok && time.Now().Before(e.Until)
}

// Entries returns the quarantined requests in no particular order.
func (l *List) Entries() []Entry {
	var entries []Entry
	for _, e := range *l.active.Load() {
		entries = append(entries, e)
	}
	return entries
}

// ReportCrash reports to all instances that a request crashed the target on which it ran.
func (l *List) ReportCrash(fingerprint string, c Crash) {
	l.publish(fleet.FactCrash, fingerprint, c, crashTTL)
}

// Lift ends the quarantine of a fingerprint on every instance.
func (l *List) Lift(fingerprint string) {
	l.publish(fleet.FactQuarantine, fingerprint, Entry{Lifted: true}, Duration)
}

// publish publishes a fact that expires after ttl.
func (l *List) publish(kind fleet.FactKind, key string, value any, ttl time.Duration) {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return
	}
	l.facts.Publish(kind, key, raw, ttl)
}

// onCrash quarantines the request if the crash is the second one and on another target
// than the first. The fact store calls onCrash with its lock held, so that publishing needs
// another goroutine.
func (l *List) onCrash(f fleet.Fact) {
	var c Crash
	if cbor.Unmarshal(f.Value, &c) != nil {
		return
	}
	first, onOtherTarget := l.recordCrash(f.Key, c.Target, time.UnixMilli(f.Expires))
	if _, exists := l.Find(f.Key); exists || !onOtherTarget {
		return
	}
	e := Entry{Service: c.Service, Request: c.Request, First: first, Second: c.Target}
	go l.publish(fleet.FactQuarantine, f.Key, e, Duration)
}

// recordCrash remembers the crash if it is the first one of the request. Otherwise it
// returns the target of the first crash and reports whether that is another target.
func (l *List) recordCrash(fingerprint string, target model.TargetID, until time.Time) (model.TargetID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	previous, found := l.crashes[fingerprint]
	if found && now.Before(previous.until) {
		return previous.target, previous.target != target
	}
	if len(l.crashes) >= maxCrashes {
		l.evictCrash(now)
	}
	l.crashes[fingerprint] = firstCrash{target: target, until: until}
	return "", false
}

// evictCrash removes the expired crashes, or an arbitrary one if none has expired. The
// caller holds l.mu.
func (l *List) evictCrash(now time.Time) {
	maps.DeleteFunc(l.crashes, func(_ string, c firstCrash) bool { return !now.Before(c.until) })
	if len(l.crashes) < maxCrashes {
		return
	}
	for fingerprint := range l.crashes {
		delete(l.crashes, fingerprint)
		return
	}
}

// onQuarantine adds or lifts a quarantine.
func (l *List) onQuarantine(f fleet.Fact) {
	var e Entry
	if cbor.Unmarshal(f.Value, &e) != nil {
		return
	}
	if e.Lifted {
		l.remove(f.Key, time.Time{})
		return
	}
	e.Fingerprint = f.Key
	e.Until = time.UnixMilli(f.Expires)
	l.add(e)
}

// add adds or renews an entry and removes it when it expires.
func (l *List) add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := maps.Clone(*l.active.Load())
	_, exists := updated[e.Fingerprint]
	updated[e.Fingerprint] = e
	l.active.Store(&updated)
	time.AfterFunc(time.Until(e.Until), func() { l.remove(e.Fingerprint, e.Until) })
	if !exists {
		l.recordEvent(events.QuarantineAdded, e)
	}
}

// remove removes an entry, unless it was renewed beyond until. A zero until removes it in
// any case and also forgets the first crash.
func (l *List) remove(fingerprint string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.IsZero() {
		delete(l.crashes, fingerprint)
	}
	previous := *l.active.Load()
	e, ok := previous[fingerprint]
	if !ok || (!until.IsZero() && e.Until.After(until)) {
		return
	}
	updated := maps.Clone(previous)
	delete(updated, fingerprint)
	l.active.Store(&updated)
	l.recordEvent(events.QuarantineLifted, e)
}

func (l *List) recordEvent(kind events.Kind, e Entry) {
	l.recorder.Record(events.Event{
		Kind:    kind,
		Request: e.Request,
		Service: e.Service,
		Target:  e.Second,
		Detail:  e.Fingerprint + " crashed " + string(e.First) + " and " + string(e.Second),
	})
}
