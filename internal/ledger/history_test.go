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

// historySeeds is the number of histories checked in CI.
const historySeeds = 40

// step is what a history records about one receipt of a key.
type step uint8

const (
	stepRan step = iota
	stepToldNotRun
	stepReplayed
)

// observation is the input of one recorded operation.
type observation struct {
	key     string
	receipt int
	step    step
}

// keyState is the model of one key: which receipt ran, and which were told not-run.
type keyState struct {
	ran    int
	notRun string
}

// atMostOnce accepts histories in which a key runs at most once, a receipt that
// was told not-run never runs, and an answer is replayed only after a run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		keys := make(map[string][]porcupine.Operation)
		for _, o := range history {
			k := o.Input.(observation).key
			keys[k] = append(keys[k], o)
		}
		parts := make([][]porcupine.Operation, 0, len(keys))
		for _, part := range keys {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(keyState), input.(observation)
		mark := fmt.Sprintf("<%d>", o.receipt)
		switch o.step {
		case stepRan:
			return s.ran == 0 && !contains(s.notRun, mark), keyState{ran: o.receipt, notRun: s.notRun}
		case stepToldNotRun:
			return s.ran != o.receipt, keyState{ran: s.ran, notRun: s.notRun + mark}
		default:
			return s.ran != 0, s
		}
	},
}

func contains(all, mark string) bool {
	for i := 0; i+len(mark) <= len(all); i++ {
		if all[i:i+len(mark)] == mark {
			return true
		}
	}
	return false
}

// world is a fleet of ledgers under faults and the history of what it did.
type world struct {
	t        *testing.T
	platform *standin.Platform
	random   *rand.Rand
	start    time.Time

	mu      sync.Mutex
	ledgers map[model.InstanceID]*StoreLedger
	// committers is set if the instances send ops to each other.
	committers map[model.InstanceID]*GroupCommitter
	history    []porcupine.Operation
	kills      int
	freezes    int
}

// instance returns the ledger of an instance, which lives until it is killed.
func (w *world) instance(id model.InstanceID) *StoreLedger {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.ledgers[id] != nil:
	case w.committers != nil:
		w.ledgers[id] = w.routed(id)
	default:
		w.ledgers[id] = newLedger(id, w.platform)
	}
	return w.ledgers[id]
}

func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) note(client int, from time.Time, o observation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{
		ClientId: client,
		Input:    o,
		Call:     from.Sub(w.start).Nanoseconds(),
		Return:   time.Since(w.start).Nanoseconds() + 1,
	})
}

// receive handles one receipt at an instance as internal/entry does. The
// instance may be killed (return without a word) or frozen at any step.
func (w *world) receive(l *StoreLedger, receiptID int, key string) {
	from := time.Now()
	o := observation{key: key, receipt: receiptID}
	tell := func(s step) {
		o.step = s
		w.note(receiptID, from, o)
	}
	d, err := l.Begin(context.Background(), receipt(key, "letters "+key))
	var expired *ExpiredError
	switch {
	case errors.As(err, &expired):
		w.t.Errorf("key of now is expired: %v", err)
	case err != nil:
		tell(stepToldNotRun)
		return
	case d.State == Done:
		tell(stepReplayed)
		return
	case d.State != Fresh:
		return
	}
	claim := d.Claim.(Resender)
	if w.mishap(l) {
		return
	}
	for claim.Send() {
		switch w.draw(6) {
		case 0: // The target sheds the request unstarted.
			if claim.Resend() {
				continue
			}
			_ = claim.NotRun(context.Background())
			tell(stepToldNotRun)
			return
		case 1: // The answer is lost.
			w.run(o)
			_ = claim.Unknown(context.Background())
			return
		default:
			w.run(o)
			if !w.mishap(l) {
				_ = claim.Done(context.Background(), &Answer{Status: 200, Body: []byte(key)})
			}
			return
		}
	}
	if claim.Abandon() {
		tell(stepToldNotRun)
		_ = claim.NotRun(context.Background())
	}
}

// run executes the request at the target.
func (w *world) run(o observation) {
	from := time.Now()
	time.Sleep(time.Duration(w.draw(30)) * time.Millisecond)
	o.step = stepRan
	w.note(o.receipt, from, o)
}

// mishap freezes the caller or reports that its instance is killed.
func (w *world) mishap(l *StoreLedger) bool {
	switch w.draw(8) {
	case 0:
		w.mu.Lock()
		w.kills++
		delete(w.ledgers, l.self)
		w.mu.Unlock()
		return true
	case 1:
		w.mu.Lock()
		w.freezes++
		w.mu.Unlock()
		time.Sleep(time.Duration(w.draw(4000)) * time.Millisecond)
	}
	return false
}

func faultScript(seed uint64) standin.FaultSchedule {
	ms := func(n int) config.Duration { return config.Duration(time.Duration(n) * time.Millisecond) }
	return standin.FaultSchedule{Seed: seed, Steps: []standin.FaultStep{
		{For: ms(1500), Faults: standin.Faults{LoseResponses: 0.3, StaleReads: 0.3}},
		{For: ms(700), Faults: standin.Faults{Down: true}},
		{For: ms(2000), Faults: standin.Faults{LateWrites: 0.3, LateBy: ms(300), StaleReads: 0.2}},
		{For: ms(1200), Faults: standin.Faults{Hang: true}},
		{For: ms(3000), Faults: standin.Faults{LoseResponses: 0.2, LateWrites: 0.2, LateBy: ms(2500), Delay: ms(40)}},
	}}
}

// simulate lets receipts of a few keys meet at several instances under faults.
// With even seeds the instances route the ops of a shard to one of them.
func simulate(t *testing.T, seed uint64) *world {
	w := &world{
		t:        t,
		platform: standin.NewPlatform(),
		random:   rand.New(rand.NewPCG(seed, 1)),
		start:    time.Now(),
		ledgers:  make(map[model.InstanceID]*StoreLedger),
	}
	if seed%2 == 0 {
		w.committers = make(map[model.InstanceID]*GroupCommitter)
	}
	w.platform.Inject(faultScript(seed))
	const instances, rounds, copies = 4, 40, 4
	var wg sync.WaitGroup
	ids := 0
	for round := range rounds {
		key := fmt.Sprintf("opaque-%d", round/2)
		if round%4 < 2 {
			key = timedKey(time.Now())
		}
		for range copies {
			ids++
			id := ids
			instance := model.InstanceID(fmt.Sprintf("i%d", w.draw(instances)))
			pause := time.Duration(w.draw(600)) * time.Millisecond
			wg.Go(func() {
				time.Sleep(pause)
				w.receive(w.instance(instance), id, key)
			})
		}
		time.Sleep(time.Duration(w.draw(400)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(time.Minute)
	return w
}

func TestHistoriesRunAtMostOnce(t *testing.T) {
	var total standin.Stats
	kills, freezes, ran, notRun, replayed := 0, 0, 0, 0, 0
	for seed := range uint64(historySeeds) {
		synctest.Test(t, func(t *testing.T) {
			w := simulate(t, seed)
			if !porcupine.CheckOperations(atMostOnce, w.history) {
				t.Errorf("seed %d: history of %d steps is not at most once", seed, len(w.history))
			}
			tally := w.platform.Stats()
			total.LostResponses += tally.LostResponses
			total.LateWrites += tally.LateWrites
			total.StaleReads += tally.StaleReads
			total.RefusedCalls += tally.RefusedCalls
			kills += w.kills
			freezes += w.freezes
			for _, o := range w.history {
				switch o.Input.(observation).step {
				case stepRan:
					ran++
				case stepToldNotRun:
					notRun++
				case stepReplayed:
					replayed++
				}
			}
		})
	}
	t.Logf("%d histories: %d runs, %d not-run, %d replayed; %d kills, %d freezes, %d lost answers, %d late writes, %d stale reads, %d refused calls",
		historySeeds, ran, notRun, replayed, kills, freezes, total.LostResponses, total.LateWrites, total.StaleReads, total.RefusedCalls)
	if ran < 10*historySeeds || replayed == 0 || notRun == 0 || total.LostResponses == 0 || total.LateWrites == 0 || total.StaleReads == 0 {
		t.Error("the histories do not exercise the ledger")
	}
}

// TestModelRefusesBadHistories shows that the check can fail.
func TestModelRefusesBadHistories(t *testing.T) {
	at := func(n int64, receipt int, s step) porcupine.Operation {
		return porcupine.Operation{ClientId: int(n), Input: observation{key: "k", receipt: receipt, step: s}, Call: n * 10, Return: n*10 + 5}
	}
	for name, history := range map[string][]porcupine.Operation{
		"ran twice":             {at(1, 1, stepRan), at(2, 2, stepRan)},
		"ran after not-run":     {at(1, 1, stepToldNotRun), at(2, 1, stepRan)},
		"not-run after a run":   {at(1, 1, stepRan), at(2, 1, stepToldNotRun)},
		"replayed before a run": {at(1, 2, stepReplayed), at(2, 1, stepRan)},
	} {
		if porcupine.CheckOperations(atMostOnce, history) {
			t.Errorf("%s: accepted", name)
		}
	}
}
