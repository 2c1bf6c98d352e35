package fleet

import (
	"slices"

	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/store"
)

// Holdings say how far an instance has followed the objects of the platform.
type Holdings struct {
	// Config and Targets are the store's versions up to which the instance knows
	// the configuration and the lists of targets.
	Config  store.Version `cbor:"1,keyasint,omitempty"`
	Targets store.Version `cbor:"2,keyasint,omitempty"`
}

// message is one datagram between two members. Fields that do not apply are empty.
type message struct {
	Facts []Fact `cbor:"1,keyasint,omitempty"`
	// Root opens an exchange of digests, Buckets answers one that differs,
	// Summary lists what the buckets that differ hold, Want asks for facts by hash.
	Root     uint64          `cbor:"2,keyasint,omitempty"`
	Buckets  []byte          `cbor:"3,keyasint,omitempty"`
	Summary  []bucketSummary `cbor:"4,keyasint,omitempty"`
	Want     []byte          `cbor:"5,keyasint,omitempty"`
	Holdings *Holdings       `cbor:"6,keyasint,omitempty"`
}

// factOverheadBytes bounds the encoding of a fact besides key, origin and value.
const factOverheadBytes = 32

// wireBytes bounds the encoding; an origin that the key repeats is left out of it.
func (f *Fact) wireBytes() int {
	if string(f.Origin) == f.Key {
		return factOverheadBytes + len(f.Key) + len(f.Value)
	}
	return factOverheadBytes + len(f.Key) + len(f.Origin) + len(f.Value)
}

// fill returns a message with as many of the first facts as a datagram holds,
// and at least one.
func fill(facts []Fact) message {
	n, bytes := 0, 0
	for n < len(facts) {
		bytes += facts[n].wireBytes()
		if n > 0 && bytes > peer.MaxDatagramBytes {
			break
		}
		n++
	}
	return message{Facts: slices.Clone(facts[:n])}
}
