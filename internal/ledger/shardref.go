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
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// bucketSpan is the length of a time bucket. Keys whose timestamps are in the same
	// bucket share objects.
	bucketSpan = 5 * time.Second
	// shardsPerBucket is the number of objects of a bucket. Each is written by
	// one group commit at a time, so this bounds the rate of writes to the store.
	shardsPerBucket = 8
	// untimedShards is the number of objects per service for keys without a timestamp.
	untimedShards = 1024
	// noBucket is the bucket number of keys without a timestamp.
	noBucket = -1
	// uuidTextBytes is the length of a UUID in its canonical text form.
	uuidTextBytes = 36
)

// ShardRef identifies the shard that holds the record of a key.
type ShardRef struct {
	// Object is the object key of the shard in the Object API.
	Object string `cbor:"1,keyasint"`
	// Service is the service whose keys the shard holds.
	Service model.ServiceName `cbor:"2,keyasint"`
	// Bucket is the number of the time bucket, or -1 for keys without a timestamp.
	Bucket int64 `cbor:"3,keyasint"`
	// Retention is how long outcomes are stored.
	Retention time.Duration `cbor:"4,keyasint"`
}

// KeyHash is a truncated SHA-256 digest of a caller and its idempotency key.
type KeyHash [16]byte

// locate validates the key of a request and returns its shard and hash. Its
// errors are *KeyError and *ExpiredError.
func locate(req Request, now time.Time) (ShardRef, KeyHash, error) {
	if len(req.Key) == 0 || len(req.Key) > maxKeyBytes {
		return ShardRef{}, KeyHash{}, &KeyError{Reason: "must have 1 to 255 bytes"}
	}
	sum := sha256.Sum256([]byte(req.Caller + "\x00" + req.Key))
	hash := KeyHash(sum[:16])
	shard := binary.BigEndian.Uint16(sum[16:])
	ref := ShardRef{Service: req.Service, Bucket: noBucket, Retention: req.Retention}
	at, timed := uuidv7Time(req.Key)
	if !timed {
		ref.Object = fmt.Sprintf("%s%s/key/%03x", store.LedgerPrefix, req.Service, shard%untimedShards)
		return ref, hash, nil
	}
	if now.Sub(at) > req.Retention {
		return ShardRef{}, KeyHash{}, &ExpiredError{Key: req.Key}
	}
	if at.Sub(now) > req.Retention {
		return ShardRef{}, KeyHash{}, &KeyError{Reason: "carries a time in the far future"}
	}
	ref.Bucket = bucketOf(at)
	ref.Object = bucketObject(req.Service, ref.Bucket, strconv.Itoa(int(shard%shardsPerBucket)))
	return ref, hash, nil
}

// uuidv7Time returns the timestamp of a key that is a UUID of version 7
// (RFC 9562). It returns false for any other key.
func uuidv7Time(key string) (time.Time, bool) {
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

func bucketOf(at time.Time) int64 { return at.UnixMilli() / bucketSpan.Milliseconds() }

func bucketObject(service model.ServiceName, bucket int64, shard string) string {
	return fmt.Sprintf("%s%s/time/%d/%s", store.LedgerPrefix, service, bucket, shard)
}
