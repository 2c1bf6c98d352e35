package replica

import (
	"net/netip"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"redwingpoint.org/redwingpoint/internal/model"
)

// PackedEntries are entries in a compact encoding: a quarter of the bytes of TargetEntry, by
// a table of the names that repeat. They must not be modified after the first encoding,
// which is kept: a relay sends the same entries to all of its peers.
type PackedEntries struct {
	Entries []TargetEntry
	encoded []byte
}

// packedForm is the encoding of PackedEntries. Places and services hold each name once.
type packedForm struct {
	Services []model.ServiceName `cbor:"1,keyasint,omitempty"`
	Places   []model.Location    `cbor:"2,keyasint,omitempty"`
	// FirstStart and FirstRevision are what the entries' starts and revisions count from.
	FirstStart    int64         `cbor:"3,keyasint,omitempty"`
	FirstRevision Position      `cbor:"4,keyasint,omitempty"`
	Entries       []packedEntry `cbor:"5,keyasint,omitempty"`
}

// packedEntry is one entry. ID is empty if it is the name; Service and Place are indexes.
type packedEntry struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	ID       model.TargetID
	Revision int64
	Service  uint32
	Place    uint32
	Addr     netip.AddrPort
	Slots    int
	MaxConns int
	Leaving  bool
	Start    int64
	Cold     int64
}

// PackedFormError reports packed entries that refer to a name that their table lacks.
type PackedFormError struct{ Name string }

func (e *PackedFormError) Error() string {
	return "packed entry " + strconv.Quote(e.Name) + " refers to an unknown service or place"
}

// MarshalCBOR implements cbor.Marshaler. It is not safe for concurrent use before its first
// return.
func (p *PackedEntries) MarshalCBOR() ([]byte, error) {
	if p.encoded != nil {
		return p.encoded, nil
	}
	var form packedForm
	services, places := make(map[model.ServiceName]uint32), make(map[model.Location]uint32)
	for i := range p.Entries {
		e := &p.Entries[i]
		if i == 0 {
			form.FirstStart, form.FirstRevision = e.Target.StartMillis, e.Revision
		}
		packed := packedEntry{
			Name:     e.Name,
			Revision: int64(e.Revision - form.FirstRevision),
			Service:  indexIn(services, &form.Services, e.Target.Service),
			Place:    indexIn(places, &form.Places, e.Target.Location),
			Addr:     e.Target.Addr,
			Slots:    e.Target.Slots,
			MaxConns: e.Target.MaxConns,
			Leaving:  e.Target.Leaving,
			Start:    e.Target.StartMillis - form.FirstStart,
			Cold:     e.ColdMillis,
		}
		if string(e.Target.ID) != e.Name {
			packed.ID = e.Target.ID
		}
		form.Entries = append(form.Entries, packed)
	}
	var err error
	p.encoded, err = cbor.Marshal(form)
	return p.encoded, err
}

// indexIn returns the index of a value in a table and adds it if it is new.
func indexIn[T comparable](indexes map[T]uint32, table *[]T, value T) uint32 {
	i, known := indexes[value]
	if !known {
		i = uint32(len(*table))
		indexes[value] = i
		*table = append(*table, value)
	}
	return i
}

// UnmarshalCBOR implements cbor.Unmarshaler. Apart from the errors of decoding, it returns
// *PackedFormError.
func (p *PackedEntries) UnmarshalCBOR(raw []byte) error {
	var form packedForm
	if err := cbor.Unmarshal(raw, &form); err != nil {
		return err
	}
	p.Entries = make([]TargetEntry, 0, len(form.Entries))
	for _, e := range form.Entries {
		if int(e.Service) >= len(form.Services) || int(e.Place) >= len(form.Places) {
			return &PackedFormError{Name: e.Name}
		}
		if e.ID == "" {
			e.ID = model.TargetID(e.Name)
		}
		p.Entries = append(p.Entries, TargetEntry{
			Name:       e.Name,
			ColdMillis: e.Cold,
			Revision:   form.FirstRevision + Position(e.Revision),
			Target: model.Target{
				ID:          e.ID,
				Service:     form.Services[e.Service],
				Addr:        e.Addr,
				Location:    form.Places[e.Place],
				Slots:       e.Slots,
				MaxConns:    e.MaxConns,
				Leaving:     e.Leaving,
				StartMillis: form.FirstStart + e.Start,
			},
		})
	}
	return nil
}
