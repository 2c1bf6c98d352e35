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
	// ledgerIdleTimeout is the idle time after which a ledger connection is closed.
	ledgerIdleTimeout = 30 * time.Second
	// maxLedgerLinks is the maximum number of ledger connections that peers may open.
	maxLedgerLinks = 1024
	// maxLedgerStreams is the maximum number of concurrent ops of one peer.
	maxLedgerStreams = 256
	// maxOwners is the maximum number of instances that commit the shards of one service.
	maxOwners = 32
	// commitTimeout bounds the commit of an op received from a peer.
	commitTimeout = time.Second
)

// ledgerPeers implements ledger.Peers: it sends ledger ops to the instances that own
// their shards. It uses connections of its own, which are opened on demand, need no
// keep-alives and are not charged to the control budget, because the ops are part of
// callers' requests. The transport is nil without a peer certificate in the settings.
type ledgerPeers struct {
	transport *peer.Transport
	members   *fleet.Members
	self      model.InstanceID
	region    model.Region
}

var _ ledger.Peers = (*ledgerPeers)(nil)

// commitRequest is the body of peer.OpCommit: an op to commit to a shard.
type commitRequest struct {
	Shard ledger.ShardRef `cbor:"1,keyasint"`
	Op    ledger.Op       `cbor:"2,keyasint"`
}

// newLedgerPeers returns the ledger connections to other instances, which listen between
// start and stop of the application if the settings have a peer certificate.
func newLedgerPeers(lc fx.Lifecycle, s *settings.Settings, m *fleet.Members, r events.Recorder) (*ledgerPeers, error) {
	p := &ledgerPeers{members: m, self: s.Instance, region: s.Platform.Region}
	if s.Peer.Cert == "" || s.Peer.Listen == "" {
		return p, nil
	}
	addr, err := ledgerAddr(s.Peer.Listen)
	if err != nil {
		return nil, err
	}
	credentials, err := keys.LoadCredentials(s.Peer.CA, s.Peer.Cert, s.Peer.Key, time.Now)
	if err != nil {
		return nil, err
	}
	p.transport, err = peer.Listen(peer.Options{
		Listen:      addr,
		Credentials: credentials,
		Handler:     ledgerLinkHandler{},
		Recorder:    r,
		OnSend:      func(int) {},
		MaxLinks:    maxLedgerLinks,
		MaxStreams:  maxLedgerStreams,
		IdleTimeout: ledgerIdleTimeout,
	})
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StartStopHook(p.transport.Start, p.transport.Stop))
	return p, nil
}

// ledgerAddr returns the ledger address of an instance, whose port follows that of the
// peer address. The error is *AddressError.
func ledgerAddr(peerAddr string) (string, error) {
	a, err := netip.ParseAddrPort(peerAddr)
	if err != nil {
		return "", &AddressError{Addr: peerAddr, Cause: err}
	}
	return netip.AddrPortFrom(a.Addr(), a.Port()+1).String(), nil
}

// AddressError reports a peer address that is not an IP address and a port.
type AddressError struct {
	Addr  string
	Cause error
}

func (e *AddressError) Error() string { return "peer address " + e.Addr + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *AddressError) Unwrap() error { return e.Cause }

// serve registers the handler that commits the ops of peers with the local committer.
func (p *ledgerPeers) serve(local ledger.Committer) {
	p.transport.Handle(peer.OpCommit, func(_ model.InstanceID, body []byte) (any, error) {
		var request commitRequest
		if err := peer.Decode(body, &request); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
		defer cancel()
		return local.Commit(ctx, request.Shard, request.Op)
	})
}

// Owner implements ledger.Peers. The shards of a service are assigned round-robin to the
// members in an order by rendezvous hashing of the service, so that the load is spread.
// Members in the store's region are preferred.
func (p *ledgerPeers) Owner(shard string) (model.InstanceID, bool) {
	service, number := splitShard(shard)
	owners := p.members.Owners("ledger/"+service, maxOwners, p.region)
	if len(owners) == 0 {
		owners = p.members.Owners("ledger/"+service, maxOwners, "")
	}
	if len(owners) == 0 {
		return "", false
	}
	owner := owners[number%len(owners)]
	return owner, owner != p.self
}

// splitShard splits a shard name into the service and the number of the shard, which is
// written in hexadecimal. If it has no number, it returns the whole name and 0.
func splitShard(shard string) (service string, number int) {
	at := strings.LastIndexByte(shard, '/')
	n, err := strconv.ParseUint(shard[at+1:], 16, 16)
	if at < 0 || err != nil {
		return shard, 0
	}
	return shard[:at], int(n)
}

// Commit implements ledger.Peers.
func (p *ledgerPeers) Commit(ctx context.Context, to model.InstanceID, shard ledger.ShardRef, op ledger.Op) (ledger.Result, error) {
	var result ledger.Result
	addr, err := p.address(to)
	if err != nil {
		return result, err
	}
	err = p.transport.DialAndCall(ctx, to, addr, peer.OpCommit, commitRequest{Shard: shard, Op: op}, &result)
	var refused *peer.RefusedError
	if errors.As(err, &refused) {
		err = &ledger.RefusedError{Owner: to, Reason: refused.Reason}
	}
	return result, err
}

// address returns the ledger address of a live member. It returns *peer.NotConnectedError
// if the instance isn't one.
func (p *ledgerPeers) address(id model.InstanceID) (string, error) {
	for _, m := range p.members.Live() {
		if m.ID == id {
			return ledgerAddr(m.PeerAddr)
		}
	}
	return "", &peer.NotConnectedError{Peer: id}
}

// membership implements ledger.Membership by the list of live members.
type membership struct{ members *fleet.Members }

// HasLeft implements ledger.Membership.
func (m membership) HasLeft(id model.InstanceID) bool {
	for _, member := range m.members.Live() {
		if member.ID == id {
			return false
		}
	}
	return true
}

// ledgerLinkHandler is the peer.Handler of ledger connections. It ignores all events.
type ledgerLinkHandler struct{}

func (ledgerLinkHandler) LinkUp(peer.Link)                  {}
func (ledgerLinkHandler) LinkDown(model.InstanceID, bool)   {}
func (ledgerLinkHandler) DialFailed(string)                 {}
func (ledgerLinkHandler) Datagram(model.InstanceID, []byte) {}
