package ledger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/standin"
)

// historySeedCount is the number of histories to check.
const historySeedCount = 40

// eventKind is the kind of an event in a history.
type eventKind uint8

const (
	eventRan eventKind = iota
	eventReportedNotRun
	eventReplayed
)

// event is the input of one operation in a history.
type event struct {
	key     string
	request int
	kind    eventKind
}

// modelState is the state of one key in the model: the request that ran, and the
// requests reported as not run.
type modelState struct {
	ran    int
	notRun string
}

// atMostOnce accepts histories in which a key runs at most once, a request that
// was reported as not run never runs, and a response is replayed only after a run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := make(map[string][]porcupine.Operation)
		for _, o := range history {
			k := o.Input.(event).key
			keys[k] = append(keys[k], o)
		}
		parts := make([][]porcupine.Operation, 0, len(keys))
		for _, part := range keys {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return modelState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(modelState), input.(event)
		token := fmt.Sprintf("<%d>", o.request)
		switch o.kind {
		case eventRan:
			return s.ran == 0 && !contains(s.notRun, token), modelState{ran: o.request, notRun: s.notRun}
		case eventReportedNotRun:
			return s.ran != o.request, modelState{ran: s.ran, notRun: s.notRun + token}
		default:
			return s.ran != 0, s
		}
	},
}

func contains(list, token string) bool {
	for i := 0; i+len(token) <= len(list); i++ {
		if list[i:i+len(token)] == token {
			return true
		}
	}
	return false
}

// simulation is a fleet of ledgers with injected faults and its history.
type simulation struct {
	t        *testing.T
	platform *standin.Platform
	random   *rand.Rand
	start    time.Time

	mu      sync.Mutex
	ledgers map[model.InstanceID]*StoreLedger
	// committers holds the local committers; it is nil unless ops are routed between
	// the instances.
	committers map[model.InstanceID]*GroupCommitter
	history    []porcupine.Operation
	kills      int
	freezes    int
}

// ledgerOf returns the ledger of an instance. It creates one at first and after the
// instance was killed.
func (sim *simulation) ledgerOf(id model.InstanceID) *StoreLedger {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch {
	case sim.ledgers[id] != nil:
	case sim.committers != nil:
		sim.ledgers[id] = sim.routed(id)
	default:
		sim.ledgers[id] = newLedger(id, sim.platform)
	}
	return sim.ledgers[id]
}

func (sim *simulation) randomInt(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}

func (sim *simulation) appendEvent(client int, from time.Time, o event) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.history = append(sim.history, porcupine.Operation{
		ClientId: client,
		Input:    o,
		Call:     from.Sub(sim.start).Nanoseconds(),
		Return:   time.Since(sim.start).Nanoseconds() + 1,
	})
}

// handleRequest handles one request at an instance as internal/reverseproxy does. The
// instance may be killed (the function returns early) or frozen at any step.
func (sim *simulation) handleRequest(l *StoreLedger, requestID int, key string) {
	from := time.Now()
	o := event{key: key, request: requestID}
	report := func(kind eventKind) {
		o.kind = kind
		sim.appendEvent(requestID, from, o)
	}
	d, err := l.Begin(context.Background(), newRequest(key, "letters "+key))
	var expired *ExpiredError
	switch {
	case errors.As(err, &expired):
		sim.t.Errorf("current key is expired: %v", err)
	case err != nil:
		report(eventReportedNotRun)
		return
	case d.State == Done:
		report(eventReplayed)
		return
	case d.State != Claimed:
		return
	}
	claim := d.Claim.(ResendableClaim)
	if sim.injectFailure(l) {
		return
	}
	for claim.MarkSent() {
		switch sim.randomInt(6) {
		case 0: // The target rejects the request without starting it.
			if claim.AllowResend() {
				continue
			}
			_ = claim.RecordNotRun(context.Background())
			report(eventReportedNotRun)
			return
		case 1: // The response is lost.
			sim.runAtTarget(o)
			_ = claim.RecordUnknown(context.Background())
			return
		default:
			sim.runAtTarget(o)
			if !sim.injectFailure(l) {
				_ = claim.RecordDone(context.Background(), &Response{Status: 200, Body: []byte(key)})
			}
			return
		}
	}
	if claim.Abandon() {
		report(eventReportedNotRun)
		_ = claim.RecordNotRun(context.Background())
	}
}

// runAtTarget executes the request at the target.
func (sim *simulation) runAtTarget(o event) {
	from := time.Now()
	time.Sleep(time.Duration(sim.randomInt(30)) * time.Millisecond)
	o.kind = eventRan
	sim.appendEvent(o.request, from, o)
}

// injectFailure randomly freezes the calling goroutine or kills the instance. It
// returns true if the instance was killed.
func (sim *simulation) injectFailure(l *StoreLedger) bool {
	switch sim.randomInt(8) {
	case 0:
		sim.mu.Lock()
		sim.kills++
		delete(sim.ledgers, l.self)
		sim.mu.Unlock()
		return true
	case 1:
		sim.mu.Lock()
		sim.freezes++
		sim.mu.Unlock()
		time.Sleep(time.Duration(sim.randomInt(4000)) * time.Millisecond)
	}
	return false
}

func newFaultScript(seed uint64) standin.FaultSchedule {
	ms := func(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }
	return standin.FaultSchedule{Seed: seed, Steps: []standin.FaultStep{
		{For: ms(1500), Faults: standin.Faults{LoseResponses: 0.3, StaleReads: 0.3}},
		{For: ms(700), Faults: standin.Faults{Down: true}},
		{For: ms(2000), Faults: standin.Faults{LateWrites: 0.3, LateBy: ms(300), StaleReads: 0.2}},
		{For: ms(1200), Faults: standin.Faults{Hang: true}},
		{For: ms(3000), Faults: standin.Faults{LoseResponses: 0.2, LateWrites: 0.2, LateBy: ms(2500), Delay: ms(40)}},
	}}
}

// runSimulation sends concurrent requests with the same keys to several instances
// while faults are injected. With even seeds the ops of a shard are routed to one
// instance.
func runSimulation(t *testing.T, seed uint64) *simulation {
	sim := &simulation{
		t:        t,
		platform: standin.NewPlatform(),
		random:   rand.New(rand.NewPCG(seed, 1)),
		start:    time.Now(),
		ledgers:  make(map[model.InstanceID]*StoreLedger),
	}
	if seed%2 == 0 {
		sim.committers = make(map[model.InstanceID]*GroupCommitter)
	}
	sim.platform.Inject(newFaultScript(seed))
	const instances, rounds, copies = 4, 40, 4
	var wg sync.WaitGroup
	lastID := 0
	for round := range rounds {
		key := fmt.Sprintf("opaque-%d", round/2)
		if round%4 < 2 {
			key = newTimedKey(time.Now())
		}
		for range copies {
			lastID++
			id := lastID
			instance := model.InstanceID(fmt.Sprintf("i%d", sim.randomInt(instances)))
			pause := time.Duration(sim.randomInt(600)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(pause)
				sim.handleRequest(sim.ledgerOf(instance), id, key)
			})
		}
		time.Sleep(time.Duration(sim.randomInt(400)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Minute)
	return sim
}

func TestHistoriesRunAtMostOnce(t *testing.T) {
	var total standin.Stats
	kills, freezes, ran, notRun, replayed := 0, 0, 0, 0, 0
	for seed := range uint64(historySeedCount) {
		synctest.Test(t, func(t *testing.T) {
			sim := runSimulation(t, seed)
			if !porcupine.CheckOperations(atMostOnce, sim.history) {
				t.Errorf("seed %d: history of %d events violates at-most-once", seed, len(sim.history))
			}
			counts := sim.platform.Stats()
			total.LostResponses += counts.LostResponses
			total.LateWrites += counts.LateWrites
			total.StaleReads += counts.StaleReads
			total.RefusedCalls += counts.RefusedCalls
			kills += sim.kills
			freezes += sim.freezes
			for _, o := range sim.history {
				switch o.Input.(event).kind {
				case eventRan:
					ran++
				case eventReportedNotRun:
					notRun++
				case eventReplayed:
					replayed++
				}
			}
		})
	}
	t.Logf("%d histories: %d runs, %d not-run, %d replayed; %d kills, %d freezes, %d lost answers, %d late writes, %d stale reads, %d refused calls",
		historySeedCount, ran, notRun, replayed, kills, freezes, total.LostResponses, total.LateWrites, total.StaleReads, total.RefusedCalls)
	if ran < 10*historySeedCount || replayed == 0 || notRun == 0 || total.LostResponses == 0 || total.LateWrites == 0 || total.StaleReads == 0 {
		t.Error("the histories do not exercise the ledger")
	}
}

// TestModelRejectsInvalidHistories checks that atMostOnce rejects each kind of
// violation.
func TestModelRejectsInvalidHistories(t *testing.T) {
	at := func(n int64, request int, kind eventKind) porcupine.Operation {
		return porcupine.Operation{ClientId: int(n), Input: event{key: "k", request: request, kind: kind}, Call: n * 10, Return: n*10 + 5}
	}
	for name, history := range map[string][]porcupine.Operation{
		"ran twice":             {at(1, 1, eventRan), at(2, 2, eventRan)},
		"ran after not-run":     {at(1, 1, eventReportedNotRun), at(2, 1, eventRan)},
		"not-run after a run":   {at(1, 1, eventRan), at(2, 1, eventReportedNotRun)},
		"replayed before a run": {at(1, 2, eventReplayed), at(2, 1, eventRan)},
	} {
		if porcupine.CheckOperations(atMostOnce, history) {
			t.Errorf("%s: accepted", name)
		}
	}
}
