// Package store is the client of the platform's services: the versioned
// Object API, which holds everything that must last, and the instance list.
package store

import (
	"context"

	"redwingpoint.org/redwingpoint/internal/model"
)

// Version counts the writes of the whole store; an object's version is that of
// its last write. Zero means that the object does not exist.
type Version uint64

// MaxObjectBytes is the largest value the Object API stores.
const MaxObjectBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Change is one observed write or deletion of an object.
type Change struct {
	Object
	Deleted bool `json:"deleted,omitempty"`
}

// Batch is the result of one watch call.
type Batch struct {
	// Changes are the newest states of the objects written after the cursor;
	// they may arrive in any order.
	Changes []Change `json:"changes"`
	// Next is the cursor of the following call.
	Next Version `json:"next"`
}

// Store is the Object API. Every method is safe for concurrent use and returns
// one of this package's error types.
type Store interface {
	// Get returns an object, or *NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// List returns all objects under a prefix with their values.
	List(ctx context.Context, prefix string) (Batch, error)
	// Put writes value if the object's version is still expect (zero: absent).
	// It returns *ConflictError if the version differs and *LostAnswerError if
	// the write may or may not have taken effect.
	Put(ctx context.Context, key string, expect Version, value []byte) (Version, error)
	// Delete removes the object under the same rules as Put.
	Delete(ctx context.Context, key string, expect Version) error
	// Watch waits for changes under a prefix after a cursor. It returns an empty
	// batch when the server's wait ends, *CursorGoneError when the cursor is too old.
	Watch(ctx context.Context, prefix string, after Version) (Batch, error)
}

// InstanceState is the platform's lagging opinion of an instance.
type InstanceState string

// States of an instance on the platform's list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID       model.InstanceID `json:"id"`
	Location model.Location   `json:"location"`
	// PeerAddr is the UDP address of the inner protocol.
	PeerAddr string `json:"peerAddr"`
	// OperatorAddr is the TCP address of the operator endpoint.
	OperatorAddr string        `json:"operatorAddr"`
	State        InstanceState `json:"state"`
}

// InstanceLister returns the platform's lagging list of instances.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Keys of redwingpoint's own objects.
const (
	// ConfigKey holds the configuration document.
	ConfigKey = "config/current"
	// ConfigHistoryPrefix holds superseded documents by revision.
	ConfigHistoryPrefix = "config/history/"
	// TargetsPrefix holds one object per service: a JSON list of model.Target.
	TargetsPrefix = "targets/"
	// LedgerPrefix holds the shards of the ledger.
	LedgerPrefix = "ledger/"
)
