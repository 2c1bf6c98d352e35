package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// maxKeyBytes is the longest idempotency key.
	maxKeyBytes = 255
	// slice is the span of key times whose claims share objects.
	slice = 5 * time.Second
	// timedShards is the number of objects of a slice. Each is written by one
	// group commit at a time, so that it bounds the store's writes.
	timedShards = 8
	// opaqueShards is the number of objects for keys that carry no time.
	opaqueShards = 1024
	// opaqueSlice marks a place of keys that carry no time.
	opaqueSlice = -1
	// uuidTextBytes is the length of a UUID in its usual form.
	uuidTextBytes = 36
)

// Place is where the record of a key is kept.
type Place struct {
	// Object is the key of the shard in the Object API.
	Object string `cbor:"1,keyasint"`
	// Service owns the shard.
	Service model.ServiceName `cbor:"2,keyasint"`
	// Slice numbers the span of key times; it is -1 for keys without a time.
	Slice int64 `cbor:"3,keyasint"`
	// Retention is how long outcomes are kept.
	Retention time.Duration `cbor:"4,keyasint"`
}

// KeyHash identifies a key of a caller within its service.
type KeyHash [16]byte

// locate checks the key of a request and returns its place. It returns
// *KeyError or *ExpiredError.
func locate(req Request, now time.Time) (Place, KeyHash, error) {
	if len(req.Key) == 0 || len(req.Key) > maxKeyBytes {
		return Place{}, KeyHash{}, &KeyError{Reason: "must have 1 to 255 bytes"}
	}
	sum := sha256.Sum256([]byte(req.Caller + "\x00" + req.Key))
	hash := KeyHash(sum[:16])
	shard := binary.BigEndian.Uint16(sum[16:])
	place := Place{Service: req.Service, Slice: opaqueSlice, Retention: req.Retention}
	at, timed := keyTime(req.Key)
	if !timed {
		place.Object = fmt.Sprintf("%s%s/key/%03x", store.LedgerPrefix, req.Service, shard%opaqueShards)
		return place, hash, nil
	}
	if now.Sub(at) > req.Retention {
		return Place{}, KeyHash{}, &ExpiredError{Key: req.Key}
	}
	if at.Sub(now) > req.Retention {
		return Place{}, KeyHash{}, &KeyError{Reason: "carries a time in the far future"}
	}
	place.Slice = sliceOf(at)
	place.Object = sliceObject(req.Service, place.Slice, strconv.Itoa(int(shard%timedShards)))
	return place, hash, nil
}

// keyTime returns the time that a UUID of version 7 (RFC 9562) carries.
func keyTime(key string) (time.Time, bool) {
	if len(key) != uuidTextBytes {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(binary.BigEndian.Uint64(id[:8]) >> 16)
	return time.UnixMilli(ms), true
}

func sliceOf(at time.Time) int64 { return at.UnixMilli() / slice.Milliseconds() }

func sliceObject(service model.ServiceName, number int64, shard string) string {
	return fmt.Sprintf("%s%s/time/%d/%s", store.LedgerPrefix, service, number, shard)
}
