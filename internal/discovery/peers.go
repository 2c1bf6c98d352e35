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
	fetchTimeout = 3 * time.Second
	// fetchPause is the pause after a round in which no peer could help.
	fetchPause = 200 * time.Millisecond
	// maxInflatedBytes bounds a decompressed answer.
	maxInflatedBytes = 32 << 20

	// reportLife is how long a report of the revision in force is kept, and
	// reportInterval how often it is renewed.
	reportLife     = 3 * time.Hour
	reportInterval = time.Hour
)

// Peers is the way to the other instances.
type Peers interface {
	// PeerVersions returns the connected instances and what they hold.
	PeerVersions() []fleet.PeerVersions
	// OtherInstances returns the other instances that are known, connected or not.
	OtherInstances() []fleet.Member
	// Announce tells connected instances what this one holds.
	Announce(fleet.ReplicaVersions)
	// Call sends a request to a connected instance.
	Call(ctx context.Context, to model.InstanceID, op peer.Op, body, answer any) error
}

// objectsRequest asks for the objects under a prefix that changed after a version.
type objectsRequest struct {
	Prefix string        `cbor:"1,keyasint"`
	After  store.Version `cbor:"2,keyasint"`
}

// objectsAnswer carries a compressed store.Batch.
type objectsAnswer struct {
	Deflated []byte `cbor:"1,keyasint"`
}

// UnknownPrefixError reports a request for objects that peers don't share.
type UnknownPrefixError struct{ Prefix string }

func (e *UnknownPrefixError) Error() string { return "objects under " + e.Prefix + " are not shared" }

// Held is told what a peer holds.
func (w *Watcher) Held(model.InstanceID, fleet.ReplicaVersions) {
	w.init()
	select {
	case w.wakeup <- struct{}{}:
	default:
	}
}

// Serve answers a peer's request for objects; it is a peer.RequestHandler.
func (w *Watcher) Serve(_ model.InstanceID, body []byte) (any, error) {
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

func deflate(b store.Batch) (*objectsAnswer, error) {
	raw, err := peer.Encode(b)
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	z, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, eris.Wrap(err, "compress objects")
	}
	if _, err := z.Write(raw); err != nil {
		return nil, eris.Wrap(err, "compress objects")
	}
	if err := z.Close(); err != nil {
		return nil, eris.Wrap(err, "compress objects")
	}
	return &objectsAnswer{Deflated: out.Bytes()}, nil
}

func inflate(a *objectsAnswer) (store.Batch, error) {
	var b store.Batch
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(a.Deflated)), maxInflatedBytes))
	if err != nil {
		return b, eris.Wrap(err, "decompress objects")
	}
	return b, peer.Decode(raw, &b)
}

// catchUp fetches what peers hold and this instance lacks.
func (w *Watcher) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-w.wakeup:
		}
		for ctx.Err() == nil && w.fetchRound(ctx) {
			wait.For(ctx, fetchPause)
		}
		w.announce()
	}
}

// fetchRound asks peers that hold more and reports whether some still do.
func (w *Watcher) fetchRound(ctx context.Context) (behind bool) {
	for _, r := range []*replica{w.config, w.targets} {
		for _, h := range w.ahead(r) {
			if w.fetch(ctx, r, h.Member.ID) == nil {
				w.announce()
				break
			}
		}
		behind = behind || len(w.ahead(r)) > 0
	}
	return behind
}

func (w *Watcher) holds(r *replica, h fleet.ReplicaVersions) store.Version {
	if r == w.config {
		return h.Config
	}
	return h.Targets
}

// ahead returns the connected instances that hold more, the furthest first, of
// equals the closest.
func (w *Watcher) ahead(r *replica) []fleet.PeerVersions {
	held, _, _ := r.state()
	holders := slices.DeleteFunc(w.Peers.PeerVersions(), func(h fleet.PeerVersions) bool { return w.holds(r, h.Versions) <= held })
	slices.SortStableFunc(holders, func(a, b fleet.PeerVersions) int {
		return cmp.Or(
			cmp.Compare(w.holds(r, b.Versions), w.holds(r, a.Versions)),
			cmp.Compare(w.Self.Location.DistanceTo(a.Member.Location), w.Self.Location.DistanceTo(b.Member.Location)),
		)
	})
	return holders
}

func (w *Watcher) fetch(ctx context.Context, r *replica, from model.InstanceID) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	held, _, _ := r.state()
	var answer objectsAnswer
	if err := w.Peers.Call(ctx, from, peer.OpReadObjects, objectsRequest{Prefix: r.prefix, After: held}, &answer); err != nil {
		return err
	}
	batch, err := inflate(&answer)
	if err != nil {
		return err
	}
	r.take(batch)
	return nil
}

// announce tells peers what this instance holds.
func (w *Watcher) announce() {
	if w.Peers == nil {
		return
	}
	configHeld, _, _ := w.config.state()
	targetsHeld, _, _ := w.targets.state()
	w.Peers.Announce(fleet.ReplicaVersions{Config: configHeld, Targets: targetsHeld})
}

// report renews the report of the revision in force.
func (w *Watcher) report(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, reportInterval)
		w.publishRevision()
	}
}

func (w *Watcher) publishRevision() {
	current := w.Config.Current()
	if w.Board == nil || current == nil {
		return
	}
	raw, err := peer.Encode(fleet.RevisionValue{Revision: current.Document.Revision, Location: w.Self.Location})
	if err == nil {
		w.Board.Publish(fleet.FactRevision, string(w.Self.ID), raw, reportLife)
	}
}
