// Package peer implements the transport protocol between the instances of a fleet:
// CBOR messages over QUIC with mutually authenticated TLS 1.3. Requests and responses
// are length-prefixed frames on streams; datagrams are unreliable. The package
// establishes and authenticates connections and transfers messages; it does not
// interpret them.
package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	// MaxFrameBytes is the maximum size of a message in a frame on a stream.
	MaxFrameBytes = 4 << 20
	// MaxDatagramBytes is the maximum payload of a datagram. Including all headers it
	// fits the minimum MTU of IPv6.
	MaxDatagramBytes = 1100

	// frameHeaderBytes is the size of the length in front of a message.
	frameHeaderBytes = 4

	// maxNestedLevels limits the nesting of arrays and maps in a received message.
	maxNestedLevels = 8
	// maxArrayElements limits the elements of an array in a received message.
	maxArrayElements = 16384
	// maxMapPairs limits the pairs of a map in a received message.
	maxMapPairs = 1024
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// newEncoder returns an encoder for deterministic CBOR.
func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// newDecoder returns a decoder that rejects duplicate map keys, items of indefinite
// length and tags, and enforces the limits above.
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

// Encode returns the deterministic CBOR encoding of a message. It returns *CodecError.
func Encode(message any) ([]byte, error) {
	raw, err := encoder.Marshal(message)
	if err != nil {
		return nil, &CodecError{Op: "encode", Cause: err}
	}
	return raw, nil
}

// Decode decodes raw, which must contain exactly one message. Unknown fields are
// ignored. It returns *CodecError.
func Decode(raw []byte, message any) error {
	if err := decoder.Unmarshal(raw, message); err != nil {
		return &CodecError{Op: "decode", Cause: err}
	}
	return nil
}

// DecodeFirst is like Decode for a message that other bytes may follow.
func DecodeFirst(raw []byte, message any) error {
	if _, err := decoder.UnmarshalFirst(raw, message); err != nil {
		return &CodecError{Op: "decode", Cause: err}
	}
	return nil
}

// WriteFrame writes a message as a frame: its length, a big-endian uint32, followed by
// its CBOR encoding. It returns *CodecError, *FrameSizeError for a message above
// MaxFrameBytes, or the error of the writer.
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

// ReadFrame reads a frame and decodes its message. It returns *FrameSizeError for a
// frame above MaxFrameBytes, and otherwise *CodecError. Memory is allocated only as
// bytes arrive, so a peer can't reserve it by announcing a large frame.
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
