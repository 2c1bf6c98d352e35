package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of buckets that facts are hashed into.
	digestBuckets = 32
	// bucketBytes is the size of a bucket's sum in a message.
	bucketBytes = 4
	// entryBytes is the size of a summary entry: fact hash and stamp.
	entryBytes = 4 + 8
	// wantBytes is the size of a requested fact's hash in a message.
	wantBytes = 4
)

// digest is a checksum of a set of facts, with one sum for each bucket of facts. By
// comparing digests, two instances find the buckets in which their facts differ
// without listing all facts.
type digest [digestBuckets]uint32

// toggle adds a fact to the digest or, if it is included already, removes it. Facts
// that do not take part in anti-entropy are ignored.
func (d *digest) toggle(f *Fact) {
	if !f.Kind.reconciled() {
		return
	}
	id := f.hash()
	var raw [12]byte
	binary.BigEndian.PutUint32(raw[:], id)
	binary.BigEndian.PutUint64(raw[4:], uint64(f.Stamp))
	d[id%digestBuckets] ^= uint32(xxhash.Sum64(raw[:]))
}

// bytes returns the sums of all buckets in big-endian order.
func (d *digest) bytes() []byte {
	raw := make([]byte, 0, digestBuckets*bucketBytes)
	for _, sum := range d {
		raw = binary.BigEndian.AppendUint32(raw, sum)
	}
	return raw
}

// root returns one checksum over all buckets. It is never zero, because a zero root is
// omitted from messages.
func (d *digest) root() uint64 { return xxhash.Sum64(d.bytes()) | 1 }

// differing returns the buckets whose sums differ from a peer's, given the encoding
// that bytes returns. It returns nil if the encoding has the wrong length.
func (d *digest) differing(remote []byte) []uint8 {
	if len(remote) != digestBuckets*bucketBytes {
		return nil
	}
	var out []uint8
	for i, sum := range d {
		if binary.BigEndian.Uint32(remote[i*bucketBytes:]) != sum {
			out = append(out, uint8(i))
		}
	}
	return out
}

// hash returns the hash of the fact's kind and key that identifies it in summaries.
func (f *Fact) hash() uint32 {
	return uint32(xxhash.Sum64String(string(rune(f.Kind)) + f.Key))
}

// bucketSummary lists the facts of one bucket; an entry holds a fact's hash and stamp.
type bucketSummary struct {
	Bucket  uint8  `cbor:"1,keyasint"`
	Entries []byte `cbor:"2,keyasint,omitempty"`
}

func (s *bucketSummary) add(f *Fact) {
	s.Entries = binary.BigEndian.AppendUint32(s.Entries, f.hash())
	s.Entries = binary.BigEndian.AppendUint64(s.Entries, uint64(f.Stamp))
}

// stamps returns the stamps of the listed facts by hash.
func (s *bucketSummary) stamps() map[uint32]uint64 {
	out := make(map[uint32]uint64, len(s.Entries)/entryBytes)
	for raw := s.Entries; len(raw) >= entryBytes; raw = raw[entryBytes:] {
		out[binary.BigEndian.Uint32(raw)] = binary.BigEndian.Uint64(raw[4:])
	}
	return out
}

// digest returns the digest of the stored facts.
func (r *FactReplica) digest() digest {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bucketSums
}

// bucket returns the unexpired facts of one bucket.
func (r *FactReplica) bucket(i uint8) []Fact {
	return r.matching(func(f *Fact) bool { return f.Kind.reconciled() && f.hash()%digestBuckets == uint32(i) })
}

// compare returns the facts that are missing or older at the peer that sent the
// summary, and the encoded hashes of those that are missing or older here.
func (r *FactReplica) compare(s *bucketSummary) (missing []Fact, newer []byte) {
	remote := s.stamps()
	for _, f := range r.bucket(s.Bucket) {
		stamp, ok := remote[f.hash()]
		if !ok || stamp < uint64(f.Stamp) {
			missing = append(missing, f)
		}
		if ok && stamp <= uint64(f.Stamp) {
			delete(remote, f.hash())
		}
	}
	for hash := range remote {
		newer = binary.BigEndian.AppendUint32(newer, hash)
	}
	return missing, newer
}
