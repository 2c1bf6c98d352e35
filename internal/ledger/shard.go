package ledger

import (
	"bytes"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/store"
)

// maxResponseBytes is the maximum size of a stored response, body and header together.
const maxResponseBytes = 4 << 10

// recordPhase is the stored state of a key.
type recordPhase uint8

const (
	phaseClaimed recordPhase = iota
	phaseDone
	phaseReleased
	phaseUnknown
)

// record is the stored form of one key.
type record struct {
	Key         KeyHash          `cbor:"1,keyasint"`
	Fingerprint [16]byte         `cbor:"2,keyasint"`
	Attempt     Attempt          `cbor:"3,keyasint"`
	Holder      model.InstanceID `cbor:"4,keyasint"`
	// ClaimedAtMillis is the time of the claim by the clock of Holder, in Unix milliseconds.
	ClaimedAtMillis int64 `cbor:"5,keyasint"`
	// TimeoutMillis is the time from the claim to the attempt's deadline, in milliseconds.
	TimeoutMillis int64       `cbor:"6,keyasint"`
	Phase         recordPhase `cbor:"7,keyasint,omitempty"`
	Response      *Response   `cbor:"8,keyasint,omitempty"`

	// encoded caches the encoding of the record; it is nil if the record has changed.
	encoded cbor.RawMessage
}

// shard is the content of one object. Records are sorted by key.
type shard struct {
	// Unswept is set once it is known that the object was created before its
	// bucket could have been swept.
	Unswept bool     `cbor:"1,keyasint,omitempty"`
	Records []record `cbor:"2,keyasint,omitempty"`
}

// encodedShard encodes like shard, but from records that are already encoded.
type encodedShard struct {
	Unswept bool              `cbor:"1,keyasint,omitempty"`
	Records []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// decodeShard decodes a shard. An empty value is an empty shard.
func decodeShard(value []byte) (*shard, error) {
	s := new(shard)
	if len(value) == 0 {
		return s, nil
	}
	if err := cbor.Unmarshal(value, s); err != nil {
		return nil, eris.Wrap(err, "decode ledger shard")
	}
	return s, nil
}

// encode returns the encoding of s. If it exceeds the size limit of an object,
// encode first drops the stored responses, except for their status, and returns
// *FullError if that does not suffice.
func (s *shard) encode(object string) ([]byte, error) {
	value, err := s.marshal()
	if err != nil || len(value) <= store.MaxObjectBytes {
		return value, err
	}
	s.dropResponses()
	value, err = s.marshal()
	if err != nil {
		return nil, err
	}
	if len(value) > store.MaxObjectBytes {
		return nil, &FullError{Object: object}
	}
	return value, nil
}

// marshal encodes s. It encodes only the records that have changed.
func (s *shard) marshal() ([]byte, error) {
	e := encodedShard{Unswept: s.Unswept, Records: make([]cbor.RawMessage, len(s.Records))}
	for i := range s.Records {
		r := &s.Records[i]
		if r.encoded == nil {
			encoded, err := cbor.Marshal(r)
			if err != nil {
				return nil, eris.Wrap(err, "encode ledger record")
			}
			r.encoded = encoded
		}
		e.Records[i] = r.encoded
	}
	value, err := cbor.Marshal(e)
	return value, eris.Wrap(err, "encode ledger shard")
}

// dropResponses reduces every stored response to its status.
func (s *shard) dropResponses() {
	for i := range s.Records {
		if r := s.Records[i].Response; r != nil {
			s.Records[i].Response = &Response{Status: r.Status, Truncated: true}
			s.Records[i].encoded = nil
		}
	}
}

// clone copies s so that changes of records in the copy do not affect s.
func (s *shard) clone() *shard {
	return &shard{Unswept: s.Unswept, Records: slices.Clone(s.Records)}
}

// compact drops the records whose claims are older than the retention.
func (s *shard) compact(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).UnixMilli()
	s.Records = slices.DeleteFunc(s.Records, func(r record) bool { return r.ClaimedAtMillis < oldest })
}

// find returns the index of the record of a key, or the index to insert it at and
// false.
func (s *shard) find(key KeyHash) (int, bool) {
	return slices.BinarySearchFunc(s.Records, key, func(r record, k KeyHash) int {
		return bytes.Compare(r.Key[:], k[:])
	})
}

func (s *shard) insert(at int, r record) { s.Records = slices.Insert(s.Records, at, r) }
