package discovery

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/store"
	"redwingpoint.org/redwingpoint/internal/wait"
)

const (
	// fetchTimeout bounds one request for objects.
	fetchTimeout = 3 * time.Second
	// fetchRetryDelay is the delay after a round in which some objects were not fetched.
	fetchRetryDelay = 200 * time.Millisecond
	// maxInflatedBytes bounds a decompressed response.
	maxInflatedBytes = 32 << 20

	// revisionTTL is how long peers keep the published revision in force.
	revisionTTL = 3 * time.Hour
	// republishInterval is how often the published revision is renewed.
	republishInterval = time.Hour
)

// Peers is the connection to the other instances.
type Peers interface {
	// PeerVersions returns the connected instances and the versions that they hold.
	PeerVersions() []fleet.PeerVersions
	// OtherInstances returns all other known instances, connected or not.
	OtherInstances() []fleet.Member
	// Announce sends the versions that this instance holds to the connected ones.
	Announce(fleet.ReplicaVersions)
	// Call sends a request to a connected instance and decodes its response.
	Call(ctx context.Context, to model.InstanceID, op peer.Op, body, response any) error
}

// objectsRequest requests the objects under a prefix that changed after a version.
type objectsRequest struct {
	Prefix string        `cbor:"1,keyasint"`
	After  store.Version `cbor:"2,keyasint"`
}

// objectsResponse carries a store.Batch, compressed with DEFLATE.
type objectsResponse struct {
	Deflated []byte `cbor:"1,keyasint"`
}

// UnknownPrefixError reports a request for objects that are not replicated to peers.
type UnknownPrefixError struct{ Prefix string }

func (e *UnknownPrefixError) Error() string { return "objects under " + e.Prefix + " are not shared" }

// HandleAnnouncement handles the announcement of the versions that a peer holds. It
// doesn't block and is safe for concurrent use.
func (w *Watcher) HandleAnnouncement(model.InstanceID, fleet.ReplicaVersions) {
	w.init()
	select {
	case w.fetchNeeded <- struct{}{}:
	default:
	}
}

// HandleReadObjects handles peer.OpReadObjects: it returns the objects under a prefix
// that are newer than a version, or *UnknownPrefixError for a prefix that isn't
// replicated.
func (w *Watcher) HandleReadObjects(_ model.InstanceID, body []byte) (any, error) {
	w.init()
	var req objectsRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err
	}
	for _, r := range []*replica{w.config, w.targets} {
		if r.prefix == req.Prefix {
			return deflate(r.since(req.After))
		}
	}
	return nil, &UnknownPrefixError{Prefix: req.Prefix}
}

func deflate(b store.Batch) (*objectsResponse, error) {
	raw, err := peer.Encode(b)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	compressor, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "compress objects")
	}
	if _, err := compressor.Write(raw); err != nil {
		return nil, eris.Wrap(err, "compress objects")
	}
	if err := compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "compress objects")
	}
	return &objectsResponse{Deflated: out.Bytes()}, nil
}

func inflate(response *objectsResponse) (store.Batch, error) {
	var b store.Batch
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(response.Deflated)), maxInflatedBytes))
	if err != nil {
		return b, eris.Wrap(err, "decompress objects")
	}
	return b, peer.Decode(raw, &b)
}

// catchUp fetches objects after each announcement of a peer, until no connected peer
// holds newer ones.
func (w *Watcher) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w.fetchNeeded:
		}
		for ctx.Err() == nil && w.fetchRound(ctx) {
			wait.For(ctx, fetchRetryDelay)
		}
		w.announce()
	}
}

// fetchRound tries to fetch newer objects from peers and reports whether some peer
// still holds newer ones.
func (w *Watcher) fetchRound(ctx context.Context) (incomplete bool) {
	for _, r := range []*replica{w.config, w.targets} {
		for _, h := range w.newerHolders(r) {
			if w.fetch(ctx, r, h.Member.ID) == nil {
				w.announce()
				break
			}
		}
		incomplete = incomplete || len(w.newerHolders(r)) > 0
	}
	return incomplete
}

func (w *Watcher) heldVersion(r *replica, v fleet.ReplicaVersions) store.Version {
	if r == w.config {
		return v.Config
	}
	return v.Targets
}

// newerHolders returns the connected instances that hold newer versions, the newest
// first and the closest first among equals.
func (w *Watcher) newerHolders(r *replica) []fleet.PeerVersions {
	held, _, _ := r.state()
	holders := slices.DeleteFunc(w.Peers.PeerVersions(), func(h fleet.PeerVersions) bool { return w.heldVersion(r, h.Versions) <= held })
	slices.SortStableFunc(holders, func(a, b fleet.PeerVersions) int {
		return cmp.Or(
			cmp.Compare(w.heldVersion(r, b.Versions), w.heldVersion(r, a.Versions)),
			cmp.Compare(w.Self.Location.DistanceTo(a.Member.Location), w.Self.Location.DistanceTo(b.Member.Location)),
		)
	})
	return holders
}

// fetch requests the objects that are newer than the held ones and merges them.
func (w *Watcher) fetch(ctx context.Context, r *replica, from model.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	held, _, _ := r.state()
	var response objectsResponse
	if err := w.Peers.Call(ctx, from, peer.OpReadObjects, objectsRequest{Prefix: r.prefix, After: held}, &response); err != nil {
		return err
	}
	batch, err := inflate(&response)
	if err != nil {
		return err
	}
	r.merge(batch)
	return nil
}

// announce sends the versions that this instance holds to its peers.
func (w *Watcher) announce() {
	if w.Peers == nil {
		return
	}
	configHeld, _, _ := w.config.state()
	targetsHeld, _, _ := w.targets.state()
	w.Peers.Announce(fleet.ReplicaVersions{Config: configHeld, Targets: targetsHeld})
}

// republishRevision periodically renews the published revision in force.
func (w *Watcher) republishRevision(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, republishInterval)
		w.publishRevision()
	}
}

func (w *Watcher) publishRevision() {
	current := w.Config.Current()
	if w.Facts == nil || current == nil {
		return
	}
	raw, err := peer.Encode(fleet.RevisionValue{Revision: current.Document.Revision, Location: w.Self.Location})
	if err == nil {
		w.Facts.Publish(fleet.FactRevision, string(w.Self.ID), raw, revisionTTL)
	}
}
