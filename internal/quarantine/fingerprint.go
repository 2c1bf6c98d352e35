package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
)

// fingerprintBytes is the length of a fingerprint in bytes before hex encoding.
const fingerprintBytes = 16

// Digest returns the SHA-256 digest of a request's parts, such as its path, and its body.
func Digest(body []byte, parts ...string) [sha256.Size]byte {
	h := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// Fingerprint identifies a request across attempts, repeats by the caller and instances,
// in hex.
type Fingerprint string

// NewFingerprint returns the fingerprint of the request with a digest.
func NewFingerprint(digest [sha256.Size]byte) Fingerprint {
	return Fingerprint(hex.EncodeToString(digest[:fingerprintBytes]))
}
