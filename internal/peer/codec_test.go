package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"
)

type newerMessage struct {
	Name  string   `cbor:"1,keyasint"`
	Added []string `cbor:"9,keyasint"`
}

type olderMessage struct {
	Name string `cbor:"1,keyasint"`
}

func TestDecodeSkipsUnknownFields(t *testing.T) {
	var stream bytes.Buffer
	if err := WriteFrame(&stream, newerMessage{Name: "a", Added: []string{"x"}}); err != nil {
		t.Fatal(err)
	}
	var got olderMessage
	if err := ReadFrame(&stream, &got); err != nil || got.Name != "a" {
		t.Errorf("read %v, %v", got, err)
	}
}

func TestFrameSizeLimit(t *testing.T) {
	var tooLarge *FrameSizeError
	if err := WriteFrame(new(bytes.Buffer), make([]byte, MaxFrameBytes)); !errors.As(err, &tooLarge) {
		t.Errorf("WriteFrame returned %v", err)
	}
	header := binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)
	if err := ReadFrame(bytes.NewReader(header), new(olderMessage)); !errors.As(err, &tooLarge) {
		t.Errorf("ReadFrame returned %v", err)
	}
	var codec *CodecError
	truncated := binary.BigEndian.AppendUint32(nil, MaxFrameBytes)
	if err := ReadFrame(bytes.NewReader(truncated), new(olderMessage)); !errors.As(err, &codec) {
		t.Errorf("ReadFrame of a truncated frame returned %v", err)
	}
}

// FuzzReadFrame checks that ReadFrame returns a message or a typed error for arbitrary
// input, and that an accepted message survives a round trip.
func FuzzReadFrame(f *testing.F) {
	var seed bytes.Buffer
	_ = WriteFrame(&seed, request{Op: OpReadObjects, Body: []byte{0xa0}})
	f.Add(seed.Bytes())
	f.Add([]byte{0, 0, 0, 5, 0x9b, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r request
		err := ReadFrame(bytes.NewReader(raw), &r)
		var codec *CodecError
		var size *FrameSizeError
		if err != nil {
			if !errors.As(err, &codec) && !errors.As(err, &size) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		var again bytes.Buffer
		if err := WriteFrame(&again, r); err != nil {
			t.Fatal(err)
		}
		var second request
		if err := ReadFrame(&again, &second); err != nil || second.Op != r.Op || !bytes.Equal(second.Body, r.Body) {
			t.Fatalf("round trip of %v gave %v, %v", r, second, err)
		}
	})
}
