package ledger

import (
	"flag"
	"os"
	"testing"

	"github.com/google/uuid"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the state machine; -rapid.seed chooses another.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// shardMachine drives a shard with ops in any order, repeated and late, and
// compares it with who may hold each key.
type shardMachine struct {
	shard *shard
	ops   []Op
	// holder is the attempt that holds a key; final is set once it has an outcome
	// other than a release.
	holder map[KeyHash]Attempt
	final  map[KeyHash]bool
	given  map[Attempt]bool
}

func newShardMachine() *shardMachine {
	return &shardMachine{
		shard:  new(shard),
		holder: make(map[KeyHash]Attempt),
		final:  make(map[KeyHash]bool),
		given:  make(map[Attempt]bool),
	}
}

// Claim begins a new attempt.
func (m *shardMachine) Claim(t *rapid.T) {
	op := Op{Kind: OpClaim, Attempt: Attempt(uuid.New()), Holder: "a", At: 1}
	op.Key[0] = rapid.Byte().Draw(t, "key") % 4
	op.Fingerprint[0] = rapid.Byte().Draw(t, "fingerprint") % 8 / 7
	m.ops = append(m.ops, op)
	m.claim(t, op)
}

func (m *shardMachine) claim(t *rapid.T, op Op) {
	v, changed := m.shard.apply(op)
	if v.Kind != Applied {
		if changed {
			t.Fatal("a refused claim changed the shard")
		}
		return
	}
	holder, held := m.holder[op.Key]
	if held && holder != op.Attempt {
		t.Fatal("two attempts hold one key")
	}
	if m.given[op.Attempt] {
		t.Fatal("an attempt that was given up holds the key")
	}
	if m.final[op.Key] {
		t.Fatal("a key with an outcome was claimed")
	}
	m.holder[op.Key] = op.Attempt
}

// Repeat applies an earlier claim once more, as after a lost answer.
func (m *shardMachine) Repeat(t *rapid.T) {
	op := m.earlier(t)
	if !m.final[op.Key] && !m.given[op.Attempt] {
		m.claim(t, op)
	}
}

// Settle gives an earlier attempt an outcome.
func (m *shardMachine) Settle(t *rapid.T) {
	op := m.earlier(t)
	op.Kind = rapid.SampledFrom([]OpKind{OpDone, OpRelease, OpUnknown}).Draw(t, "kind")
	holds := m.holder[op.Key] == op.Attempt
	m.shard.apply(op)
	switch {
	case holds && op.Kind != OpRelease:
		m.final[op.Key] = true
	case holds && !m.final[op.Key]:
		m.given[op.Attempt] = true
		delete(m.holder, op.Key)
	}
}

func (m *shardMachine) earlier(t *rapid.T) Op {
	if len(m.ops) == 0 {
		t.Skip("no attempt yet")
	}
	return rapid.SampledFrom(m.ops).Draw(t, "op")
}

// Check stores the shard and compares every record with the holders.
func (m *shardMachine) Check(t *rapid.T) {
	value, err := m.shard.encode("ledger/x")
	if err != nil {
		t.Fatal(err)
	}
	if m.shard, err = decodeShard(value); err != nil {
		t.Fatal(err)
	}
	for key, holder := range m.holder {
		i, found := m.shard.find(key)
		if !found || m.shard.Records[i].Attempt != holder || m.shard.Records[i].Phase == recordReleased {
			t.Fatalf("key %x: holder's record is lost", key[0])
		}
	}
}

func TestShardMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShardMachine()
		t.Repeat(rapid.StateMachineActions(m))
	})
}
