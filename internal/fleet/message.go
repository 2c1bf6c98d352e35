package fleet

import (
	"slices"

	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/store"
)

// ReplicaVersions are the versions of the platform's objects that an instance has
// replicated.
type ReplicaVersions struct {
	// Config and Targets are the store versions up to which the instance has
	// replicated the configuration and the target lists; zero means not at all.
	Config  store.Version `cbor:"1,keyasint,omitempty"`
	Targets store.Version `cbor:"2,keyasint,omitempty"`
}

// message is the payload of one datagram between two members. Unused fields are empty.
type message struct {
	// Facts are merged by the receiver. A fact's empty origin means that the origin
	// equals the key.
	Facts []Fact `cbor:"1,keyasint,omitempty"`
	// Root is the sender's digest root and starts an anti-entropy exchange.
	Root uint64 `cbor:"2,keyasint,omitempty"`
	// Buckets are the sender's bucket sums, in reply to a root that differs from its own.
	Buckets []byte `cbor:"3,keyasint,omitempty"`
	// Summary lists the sender's facts in buckets that differ.
	Summary []bucketSummary `cbor:"4,keyasint,omitempty"`
	// Want lists the hashes of facts that the sender requests.
	Want []byte `cbor:"5,keyasint,omitempty"`
	// Versions announces the sender's replicated versions.
	Versions *ReplicaVersions `cbor:"6,keyasint,omitempty"`
}

// factOverheadBytes is an upper bound on the encoded size of a fact without its key,
// origin and value.
const factOverheadBytes = 32

// wireBytes returns an upper bound on the encoded size of the fact in bytes. The
// origin is not sent if it equals the key.
func (f *Fact) wireBytes() int {
	if string(f.Origin) == f.Key {
		return factOverheadBytes + len(f.Key) + len(f.Value)
	}
	return factOverheadBytes + len(f.Key) + len(f.Origin) + len(f.Value)
}

// packFacts returns a message with as many facts from the start of the list as fit in
// a datagram, but at least one unless the list is empty.
func packFacts(facts []Fact) message {
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
