// Package peer is the inner protocol between the instances of a fleet: QUIC
// with TLS 1.3 and certificates on both sides, carrying CBOR. It connects,
// authenticates and moves bytes; what they mean is decided elsewhere.
package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxFrameBytes is the largest frame on a stream.
	MaxFrameBytes = 4 << 20
	// MaxDatagramBytes is the largest datagram payload; with all headers it
	// fits the smallest MTU of IPv6.
	MaxDatagramBytes = 1100

	frameHeaderBytes = 4

	maxNestedLevels  = 8
	maxArrayElements = 16384
	maxMapPairs      = 1024
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns a message in CBOR.
func Encode(message any) ([]byte, error) {
	raw, err := encoder.Marshal(message)
	if err != nil {
		return nil, &CodecError{Op: "encode", Cause: err}
	}
	return raw, nil
}

// Decode reads one message that fills raw. Fields that the receiver does not
// know are skipped. It returns *CodecError.
func Decode(raw []byte, message any) error {
	if err := decoder.Unmarshal(raw, message); err != nil {
		return &CodecError{Op: "decode", Cause: err}
	}
	return nil
}

// WriteFrame writes a message with its length in front.
func WriteFrame(w io.Writer, message any) error {
	raw, err := Encode(message)
	if err != nil {
		return err
	}
	if len(raw) > MaxFrameBytes {
		return &FrameSizeError{Bytes: len(raw)}
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, frameHeaderBytes+len(raw)), uint32(len(raw)))
	_, err = w.Write(append(frame, raw...))
	return err
}

// ReadFrame reads one message. It returns *FrameSizeError for a frame above
// MaxFrameBytes, and reserves memory only for bytes that have arrived.
func ReadFrame(r io.Reader, message any) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return &CodecError{Op: "read", Cause: err}
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return &FrameSizeError{Bytes: int(size)}
	}
	var raw bytes.Buffer
	if _, err := io.CopyN(&raw, r, int64(size)); err != nil {
		return &CodecError{Op: "read", Cause: err}
	}
	return Decode(raw.Bytes(), message)
}
