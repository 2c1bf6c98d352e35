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

// maxAnswerBytes is the largest answer, header included, that is kept.
const maxAnswerBytes = 4 << 10

// recordPhase is the stored state of a key.
type recordPhase uint8

const (
	recordClaimed recordPhase = iota
	recordDone
	recordReleased
	recordUnknown
)

// record is the stored form of one key.
type record struct {
	Key         KeyHash          `cbor:"1,keyasint"`
	Fingerprint [16]byte         `cbor:"2,keyasint"`
	Attempt     Attempt          `cbor:"3,keyasint"`
	Holder      model.InstanceID `cbor:"4,keyasint"`
	// At is the holder's time of the claim, in milliseconds since 1970.
	At int64 `cbor:"5,keyasint"`
	// Window is the time from the claim to the attempt's deadline, in milliseconds.
	Window int64       `cbor:"6,keyasint"`
	Phase  recordPhase `cbor:"7,keyasint,omitempty"`
	Answer *Answer     `cbor:"8,keyasint,omitempty"`

	// raw is the encoded record, or nil since its last change.
	raw cbor.RawMessage
}

// shard is the stored form of one object: records sorted by key.
type shard struct {
	// Opened is set once it is known that the object was created before its
	// slice could have been swept.
	Opened  bool     `cbor:"1,keyasint,omitempty"`
	Records []record `cbor:"2,keyasint,omitempty"`
}

// encodedShard has the encoding of a shard, from records that are encoded already.
type encodedShard struct {
	Opened  bool              `cbor:"1,keyasint,omitempty"`
	Records []cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

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

// encode returns the stored form. Above the size of an object it drops the
// kept answers; it returns *FullError if that does not suffice.
func (s *shard) encode(object string) ([]byte, error) {
	value, err := s.marshal()
	if err != nil || len(value) <= store.MaxObjectBytes {
		return value, err
	}
	s.dropAnswers()
	value, err = s.marshal()
	if err != nil {
		return nil, err
	}
	if len(value) > store.MaxObjectBytes {
		return nil, &FullError{Object: object}
	}
	return value, nil
}

// marshal encodes the records that have changed and joins all of them.
func (s *shard) marshal() ([]byte, error) {
	e := encodedShard{Opened: s.Opened, Records: make([]cbor.RawMessage, len(s.Records))}
	for i := range s.Records {
		r := &s.Records[i]
		if r.raw == nil {
			raw, err := cbor.Marshal(r)
			if err != nil {
				return nil, eris.Wrap(err, "encode ledger record")
			}
			r.raw = raw
		}
		e.Records[i] = r.raw
	}
	value, err := cbor.Marshal(e)
	return value, eris.Wrap(err, "encode ledger shard")
}

func (s *shard) dropAnswers() {
	for i := range s.Records {
		if a := s.Records[i].Answer; a != nil {
			s.Records[i].Answer = &Answer{Status: a.Status, Truncated: true}
			s.Records[i].raw = nil
		}
	}
}

func (s *shard) clone() *shard {
	return &shard{Opened: s.Opened, Records: slices.Clone(s.Records)}
}

// compact drops the records claimed longer than a retention ago.
func (s *shard) compact(now time.Time, retention time.Duration) {
	oldest := now.Add(-retention).UnixMilli()
	s.Records = slices.DeleteFunc(s.Records, func(r record) bool { return r.At < oldest })
}

func (s *shard) find(key KeyHash) (int, bool) {
	return slices.BinarySearchFunc(s.Records, key, func(r record, k KeyHash) int {
		return bytes.Compare(r.Key[:], k[:])
	})
}

func (s *shard) insert(at int, r record) { s.Records = slices.Insert(s.Records, at, r) }
