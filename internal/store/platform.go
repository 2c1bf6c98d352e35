// Package store is the client of the platform's services: the versioned Object
// API, which holds all persistent data, and the instance list.
package store

import (
	"context"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Version is the number of writes to the whole store up to a given one; an object has
// the version of its last write. Zero means that the object doesn't exist.
type Version uint64

// MaxObjectBytes is the size limit of an object's value.
const MaxObjectBytes = 1 << 20

// Object is a stored value with its key and version.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Change is a write or deletion of an object.
type Change struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// Batch is the result of a list or watch call.
type Batch struct {
	// Changes holds the latest state of each object written after the cursor, in any
	// order.
	Changes []Change `json:"changes"`
	// Next is the cursor of the next watch.
	Next Version `json:"next"`
}

// Store is the Object API. Its methods are safe for concurrent use and return the
// error types of this package.
type Store interface {
	// Get returns an object, or *NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects under a prefix with their values.
	List(ctx context.Context, prefix string) (Batch, error)
	// Put writes value if the object's version equals expect, where zero means that
	// the object must not exist, and returns the new version. It returns
	// *ConflictError if the version differs and *UnknownOutcomeError if the write may or
	// may not have taken effect.
	Put(ctx context.Context, key string, expect Version, value []byte) (Version, error)
	// Delete deletes the object under the same condition and with the same errors as Put.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits for changes under a prefix after a cursor. It returns an empty batch
	// if there are none within the server's wait time, and *CursorGoneError if the
	// cursor is too old.
	Watch(ctx context.Context, prefix string, after Version) (Batch, error)
}

// InstanceState is the state of an instance as the platform reports it, with a delay.
type InstanceState string

// States of an instance.
const (
	// InstanceLive is the state of an instance that serves requests.
	InstanceLive InstanceState = "live"
	// InstanceLeaving is the state of an instance that is shutting down.
	InstanceLeaving InstanceState = "leaving"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID       model.InstanceID `json:"id"`
	Location model.Location   `json:"location"`
	// PeerAddr is the UDP address of the peer protocol.
	PeerAddr string `json:"peerAddr"`
	// OperatorAddr is the TCP address of the operator API.
	OperatorAddr string        `json:"operatorAddr"`
	State        InstanceState `json:"state"`
}

// InstanceLister returns the platform's instance list, which lags behind.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Keys and key prefixes of redwingpoint's own objects.
const (
	// ConfigKey is the key of the current configuration document.
	ConfigKey = "config/current"
	// ConfigHistoryPrefix is the prefix of superseded documents, by revision.
	ConfigHistoryPrefix = "config/history/"
	// TargetsPrefix is the prefix of one object per service: a JSON list of model.Target.
	TargetsPrefix = "targets/"
	// LedgerPrefix is the prefix of the ledger's shards.
	LedgerPrefix = "ledger/"
)
