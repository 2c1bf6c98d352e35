package daemon

import (
	"context"
	"errors"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.uber.org/fx"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/settings"
)

const (
	// claimIdle is how long an unused connection for claims stays open.
	claimIdle = 30 * time.Second
	// maxClaimLinks bounds the connections for claims that peers may open.
	maxClaimLinks = 1024
	// maxClaimStreams bounds the claims that one peer may have under way.
	maxClaimStreams = 256
	// maxOwners bounds the instances that commit for the shards of one service.
	maxOwners = 32
	// commitTimeout bounds the commit of a peer's op.
	commitTimeout = time.Second
)

// claims carries ops of the ledger between instances, on connections of their
// own: they are opened on demand, need no keep-alive and aren't paid from the
// measuring budget, since they are part of the callers' requests.
type claims struct {
	transport *peer.Transport
	members   *fleet.Members
	self      model.InstanceID
	region    model.Region
}

var _ ledger.Peers = (*claims)(nil)

// commitRequest asks for an op to be carried out on its shard.
type commitRequest struct {
	Place ledger.ShardRef `cbor:"1,keyasint"`
	Op    ledger.Op       `cbor:"2,keyasint"`
}

func newClaims(lc fx.Lifecycle, s *settings.Settings, m *fleet.Members, r events.Recorder) (*claims, error) {
	c := &claims{members: m, self: s.Instance, region: s.Platform.Region}
	if s.Peer.Cert == "" || s.Peer.Listen == "" {
		return c, nil
	}
	addr, err := claimAddr(s.Peer.Listen)
	if err != nil {
		return nil, err
	}
	credentials, err := keys.LoadCredentials(s.Peer.CA, s.Peer.Cert, s.Peer.Key, time.Now)
	if err != nil {
		return nil, err
	}
	c.transport, err = peer.Listen(peer.Options{
		Listen:      addr,
		Credentials: credentials,
		Handler:     noLinks{},
		Recorder:    r,
		OnSend:      func(int) {},
		MaxLinks:    maxClaimLinks,
		MaxStreams:  maxClaimStreams,
		IdleTimeout: claimIdle,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StartStopHook(c.transport.Start, c.transport.Stop))
	return c, nil
}

// claimAddr returns the address for claims of an instance: the port after that
// of its peer address.
func claimAddr(peerAddr string) (string, error) {
	a, err := netip.ParseAddrPort(peerAddr)
	if err != nil {
		return "", &AddressError{Addr: peerAddr, Cause: err}
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+1).String(), nil
}

// AddressError reports a peer address that is not an IP number and a port.
type AddressError struct {
	Addr  string
	Cause error
}

func (e *AddressError) Error() string { return "peer address " + e.Addr + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }

// serve commits the ops of peers.
func (c *claims) serve(local ledger.Committer) {
	c.transport.Handle(peer.OpCommit, func(_ model.InstanceID, body []byte) (any, error) {
		var request commitRequest
		if err := peer.Decode(body, &request); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		return local.Commit(ctx, request.Place, request.Op)
	})
}

// Owner implements ledger.Peers. The shards of a service go round the members in
// the service's own rendezvous order, so that none commits for many.
func (c *claims) Owner(shard string) (model.InstanceID, bool) {
	service, number := splitShard(shard)
	owners := c.members.Owners("ledger/"+service, maxOwners, c.region)
	if len(owners) == 0 {
		owners = c.members.Owners("ledger/"+service, maxOwners, "")
	}
	if len(owners) == 0 {
		return "", false
	}
	owner := owners[number%len(owners)]
	return owner, owner != c.self
}

// splitShard returns the service of a shard and its number within it.
func splitShard(shard string) (service string, number int) {
	at := strings.LastIndexByte(shard, '/')
	n, err := strconv.ParseUint(shard[at+1:], 16, 16)
	if at < 0 || err != nil {
		return shard, 0
	}
	return shard[:at], int(n)
}

// Commit implements ledger.Peers.
func (c *claims) Commit(ctx context.Context, to model.InstanceID, place ledger.ShardRef, op ledger.Op) (ledger.Result, error) {
	var verdict ledger.Result
	addr, err := c.address(to)
	if err != nil {
		return verdict, err
	}
	err = c.transport.DialAndCall(ctx, to, addr, peer.OpCommit, commitRequest{Place: place, Op: op}, &verdict)
	var refused *peer.RefusedError
	if errors.As(err, &refused) {
		err = &ledger.RefusedError{Owner: to, Reason: refused.Reason}
	}
	return verdict, err
}

func (c *claims) address(id model.InstanceID) (string, error) {
	for _, m := range c.members.Live() {
		if m.ID == id {
			return claimAddr(m.PeerAddr)
		}
	}
	return "", &peer.NotConnectedError{Peer: id}
}

// present says which holders of claims have left.
type present struct{ members *fleet.Members }

// HasLeft implements ledger.Membership.
func (p present) HasLeft(id model.InstanceID) bool {
	for _, m := range p.members.Live() {
		if m.ID == id {
			return false
		}
	}
	return true
}

// noLinks ignores what happens on the connections for claims.
type noLinks struct{}

func (noLinks) LinkUp(peer.Link)                  {}
func (noLinks) LinkDown(model.InstanceID, bool)   {}
func (noLinks) DialFailed(string)                 {}
func (noLinks) Datagram(model.InstanceID, []byte) {}
