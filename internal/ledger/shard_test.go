package ledger

import (
	"flag"
	"os"
	"testing"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for the state machine test; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// shardModel applies random ops to a shard, including repeated and reordered ones,
// and compares the shard with a model of the holder of each key.
type shardModel struct {
	shard *shard
	ops   []Op
	// holder is the attempt that holds a key; hasOutcome is set once the key has an
	// outcome other than a release.
	holder     map[KeyHash]Attempt
	hasOutcome map[KeyHash]bool
	abandoned  map[Attempt]bool
}

func newShardModel() *shardModel {
	return &shardModel{
		shard:      new(shard),
		holder:     make(map[KeyHash]Attempt),
		hasOutcome: make(map[KeyHash]bool),
		abandoned:  make(map[Attempt]bool),
	}
}

// Claim applies the claim of a new attempt.
func (m *shardModel) Claim(t *rapid.T) {
	op := Op{Kind: OpClaim, Attempt: Attempt(uuid.New()), Holder: "a", ClaimedAtMillis: 1}
	op.Key[0] = rapid.Byte().Draw(t, "key") % 4
	op.Fingerprint[0] = rapid.Byte().Draw(t, "fingerprint") % 8 / 7
	m.ops = append(m.ops, op)
	m.applyClaim(t, op)
}

func (m *shardModel) applyClaim(t *rapid.T, op Op) {
	res, changed := m.shard.apply(op)
	if res.Kind != ResultApplied {
		if changed {
			t.Fatal("a rejected claim changed the shard")
		}
		return
	}
	holder, held := m.holder[op.Key]
	if held && holder != op.Attempt {
		t.Fatal("two attempts hold one key")
	}
	if m.abandoned[op.Attempt] {
		t.Fatal("an abandoned attempt holds the key")
	}
	if m.hasOutcome[op.Key] {
		t.Fatal("a key with an outcome was claimed")
	}
	m.holder[op.Key] = op.Attempt
}

// Repeat applies an earlier claim again, as after a lost response of the store.
func (m *shardModel) Repeat(t *rapid.T) {
	op := m.drawOp(t)
	if !m.hasOutcome[op.Key] && !m.abandoned[op.Attempt] {
		m.applyClaim(t, op)
	}
}

// SetOutcome applies an outcome of an earlier attempt.
func (m *shardModel) SetOutcome(t *rapid.T) {
	op := m.drawOp(t)
	op.Kind = rapid.SampledFrom([]OpKind{OpDone, OpRelease, OpUnknown}).Draw(t, "kind")
	holds := m.holder[op.Key] == op.Attempt
	m.shard.apply(op)
	switch {
	case holds && op.Kind != OpRelease:
		m.hasOutcome[op.Key] = true
	case holds && !m.hasOutcome[op.Key]:
		m.abandoned[op.Attempt] = true
		delete(m.holder, op.Key)
	}
}

func (m *shardModel) drawOp(t *rapid.T) Op {
	if len(m.ops) == 0 {
		t.Skip("no attempt yet")
	}
	return rapid.SampledFrom(m.ops).Draw(t, "op")
}

// Check encodes and decodes the shard and compares its records with the model.
func (m *shardModel) Check(t *rapid.T) {
	value, err := m.shard.encode("ledger/x")
	if err != nil {
		t.Fatal(err)
	}
	if m.shard, err = decodeShard(value); err != nil {
		t.Fatal(err)
	}
	for key, holder := range m.holder {
		i, found := m.shard.find(key)
		if !found || m.shard.Records[i].Attempt != holder || m.shard.Records[i].Phase == phaseReleased {
			t.Fatalf("key %x: record of the holder is missing or released", key[0])
		}
	}
}

func TestShardStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShardModel()
		t.Repeat(rapid.StateMachineActions(m))
	})
}
