package fleet

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// digestBuckets is the number of buckets that facts are hashed into.
	digestBuckets = 32
	bucketBytes   = 4
	entryBytes    = 4 + 8
	wantBytes     = 4
)

// digest sums up a set of facts so that two instances find their differences
// without listing everything: one sum for each bucket of fact IDs.
type digest [digestBuckets]uint32

// toggle adds a fact to the digest, or removes it. Facts that do not take part
// in anti-entropy are left out.
func (d *digest) toggle(f *Fact) {
	if !f.Kind.lasting() {
		return
	}
	id := f.hash()
	var raw [12]byte
	binary.BigEndian.PutUint32(raw[:], id)
	binary.BigEndian.PutUint64(raw[4:], uint64(f.Stamp))
	d[id%digestBuckets] ^= uint32(xxhash.Sum64(raw[:]))
}

// bytes returns the sums of all buckets.
func (d *digest) bytes() []byte {
	raw := make([]byte, 0, digestBuckets*bucketBytes)
	for _, sum := range d {
		raw = binary.BigEndian.AppendUint32(raw, sum)
	}
	return raw
}

// root is one sum over all buckets; it is never zero.
func (d *digest) root() uint64 { return xxhash.Sum64(d.bytes()) | 1 }

// differing returns the buckets whose sums differ from a peer's.
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

// hash identifies a fact's kind and key.
func (f *Fact) hash() uint32 {
	return uint32(xxhash.Sum64String(string(rune(f.Kind)) + f.Key))
}

// bucketSummary lists the facts of one bucket: hash and stamp of each.
type bucketSummary struct {
	Bucket  uint8  `cbor:"1,keyasint"`
	Entries []byte `cbor:"2,keyasint,omitempty"`
}

func (s *bucketSummary) add(f *Fact) {
	s.Entries = binary.BigEndian.AppendUint32(s.Entries, f.hash())
	s.Entries = binary.BigEndian.AppendUint64(s.Entries, uint64(f.Stamp))
}

// stamps returns the stamps by hash.
func (s *bucketSummary) stamps() map[uint32]uint64 {
	out := make(map[uint32]uint64, len(s.Entries)/entryBytes)
	for raw := s.Entries; len(raw) >= entryBytes; raw = raw[entryBytes:] {
		out[binary.BigEndian.Uint32(raw)] = binary.BigEndian.Uint64(raw[4:])
	}
	return out
}

// sums returns the digest of the board.
func (b *Facts) digest() digest {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sums
}

// bucket returns the facts of one bucket.
func (b *Facts) bucket(i uint8) []Fact {
	return b.selected(func(f *Fact) bool { return f.Kind.lasting() && f.hash()%digestBuckets == uint32(i) })
}

// compare returns the facts that a peer with the given summary lacks, and the
// hashes of those that it has newer.
func (b *Facts) compare(s *bucketSummary) (lacking []Fact, newer []byte) {
	remote := s.stamps()
	for _, f := range b.bucket(s.Bucket) {
		stamp, ok := remote[f.hash()]
		if !ok || stamp < uint64(f.Stamp) {
			lacking = append(lacking, f)
		}
		if ok && stamp <= uint64(f.Stamp) {
			delete(remote, f.hash())
		}
	}
	for hash := range remote {
		newer = binary.BigEndian.AppendUint32(newer, hash)
	}
	return lacking, newer
}
