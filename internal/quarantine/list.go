// Package quarantine keeps requests that crash targets away from them. The first
// crash of a request is a fact that every instance learns; a crash of the same
// request on a second target quarantines it on every instance for a bounded time.
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
	// crashMemory is how long a first crash is remembered.
	crashMemory = 10 * time.Minute
	// maxCrashes bounds the first crashes that an instance remembers.
	maxCrashes = 1024
)

// Crash is the value of a fleet.FactCrash.
type Crash struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Target  model.TargetID    `cbor:"2,keyasint"`
	Request model.RequestID   `cbor:"3,keyasint"`
}

// Entry is the value of a fleet.FactQuarantine.
type Entry struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Request model.RequestID   `cbor:"2,keyasint"`
	// First and Second are the targets that crashed.
	First  model.TargetID `cbor:"3,keyasint"`
	Second model.TargetID `cbor:"4,keyasint"`
	// Lifted ends the quarantine early.
	Lifted bool `cbor:"5,keyasint,omitempty"`
	// Fingerprint and Until are filled in from the fact.
	Fingerprint string    `cbor:"-"`
	Until       time.Time `cbor:"-"`
}

// List is the quarantine as one instance knows it. Reads take no lock. It is
// safe for concurrent use.
type List struct {
	board    fleet.FactStore
	recorder events.Recorder
	active   atomic.Pointer[map[string]Entry]

	mu      sync.Mutex
	crashes map[string]seenCrash
}

type seenCrash struct {
	target model.TargetID
	until  time.Time
}

// New returns a list that follows the facts of a board.
func New(board fleet.FactStore, recorder events.Recorder) *List {
	l := &List{board: board, recorder: recorder, crashes: make(map[string]seenCrash)}
	l.active.Store(&map[string]Entry{})
	board.Subscribe(fleet.FactCrash, l.onCrash)
	board.Subscribe(fleet.FactQuarantine, l.onQuarantine)
	return l
}

// Empty reports whether no request is quarantined.
func (l *List) Empty() bool { return len(*l.active.Load()) == 0 }

// Find returns the entry of a fingerprint.
func (l *List) Find(fingerprint string) (Entry, bool) {
	e, ok := (*l.active.Load())[fingerprint]
	return e, ok && time.Now().Before(e.Until)
}

// Entries returns what is quarantined now.
func (l *List) Entries() []Entry {
	var out []Entry
	for _, e := range *l.active.Load() {
		out = append(out, e)
	}
	return out
}

// Crashed states that a request crashed a target while it ran there.
func (l *List) Crashed(fingerprint string, c Crash) {
	l.publish(fleet.FactCrash, fingerprint, c, crashMemory)
}

// Lift ends the quarantine of a fingerprint on every instance.
func (l *List) Lift(fingerprint string) {
	l.publish(fleet.FactQuarantine, fingerprint, Entry{Lifted: true}, Duration)
}

func (l *List) publish(kind fleet.FactKind, key string, value any, ttl time.Duration) {
	raw, err := cbor.Marshal(value)
	if err != nil {
		return
	}
	l.board.Publish(kind, key, raw, ttl)
}

// onCrash compares a crash with the one seen before. The board calls it with
// its lock held, so that publishing has to wait for another goroutine.
func (l *List) onCrash(f fleet.Fact) {
	var c Crash
	if cbor.Unmarshal(f.Value, &c) != nil {
		return
	}
	first, again := l.remember(f.Key, c.Target, time.UnixMilli(f.Expires))
	if _, known := l.Find(f.Key); known || !again {
		return
	}
	e := Entry{Service: c.Service, Request: c.Request, First: first, Second: c.Target}
	go l.publish(fleet.FactQuarantine, f.Key, e, Duration)
}

// remember notes a crash and returns the target of an earlier one elsewhere.
func (l *List) remember(fingerprint string, target model.TargetID, until time.Time) (model.TargetID, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	old, seen := l.crashes[fingerprint]
	if seen && now.Before(old.until) {
		return old.target, old.target != target
	}
	if len(l.crashes) >= maxCrashes {
		l.forget(now)
	}
	l.crashes[fingerprint] = seenCrash{target: target, until: until}
	return "", false
}

// forget drops what has expired, or any one entry if nothing has.
func (l *List) forget(now time.Time) {
	maps.DeleteFunc(l.crashes, func(_ string, c seenCrash) bool { return !now.Before(c.until) })
	if len(l.crashes) < maxCrashes {
		return
	}
	for fingerprint := range l.crashes {
		delete(l.crashes, fingerprint)
		return
	}
}

func (l *List) onQuarantine(f fleet.Fact) {
	var e Entry
	if cbor.Unmarshal(f.Value, &e) != nil {
		return
	}
	if e.Lifted {
		l.drop(f.Key, time.Time{})
		return
	}
	e.Fingerprint = f.Key
	e.Until = time.UnixMilli(f.Expires)
	l.add(e)
}

func (l *List) add(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := maps.Clone(*l.active.Load())
	_, known := next[e.Fingerprint]
	next[e.Fingerprint] = e
	l.active.Store(&next)
	time.AfterFunc(time.Until(e.Until), func() { l.drop(e.Fingerprint, e.Until) })
	if !known {
		l.record(events.QuarantineAdded, e)
	}
}

// drop removes an entry, unless it was renewed beyond the given time. The zero
// time removes it in any case, together with what is known of crashes.
func (l *List) drop(fingerprint string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if until.IsZero() {
		delete(l.crashes, fingerprint)
	}
	old := *l.active.Load()
	e, ok := old[fingerprint]
	if !ok || (!until.IsZero() && e.Until.After(until)) {
		return
	}
	next := maps.Clone(old)
	delete(next, fingerprint)
	l.active.Store(&next)
	l.record(events.QuarantineLifted, e)
}

func (l *List) record(kind events.Kind, e Entry) {
	l.recorder.Record(events.Event{
		Kind:    kind,
		Request: e.Request,
		Service: e.Service,
		Target:  e.Second,
		Detail:  e.Fingerprint + " crashed " + string(e.First) + " and " + string(e.Second),
	})
}
