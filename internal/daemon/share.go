package daemon

import (
	"context"
	"net"
	"slices"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/peersync"
	"redwingpoint.org/redwingpoint/internal/replica"
)

const (
	// gatewayFleet is the fleet's name in the certificates of gateways.
	gatewayFleet = "gateways"
	// shareIdle is how long a connection between gateways outlasts its last use; an
	// exchange comes every 1.5 s at least while it is needed.
	shareIdle = 3 * time.Second
	// maxShareLinks bounds the connections that a seed accepts.
	maxShareLinks = 4096
)

// share lets this gateway learn from others while it lacks the store. It returns what
// tells whether peers relay the news, nil for a seed: it relays to others.
func (g *gateway) share(lc fx.Lifecycle, known *replica.Replica) (relayed func() bool) {
	if g.settings.Peers.Listen == "" {
		return nil
	}
	transport, err := g.listenForPeers()
	if err != nil {
		g.log.Warn("nothing is shared with peers", zap.Error(err))
		return nil
	}
	own, others := peerAddresses(g.settings.Peers.Listen, g.settings.Peers.Seeds)
	lacking := g.link.Open
	known.StrongReads = func() bool { return own && !lacking() && g.link.ReadsMayBeStale() }
	s := &peersync.Syncer{
		Replica:   known,
		OnMerge:   func() { g.targets.Store(known.Versions().AsOf > 0) },
		Transport: transport,
		Seeds:     others,
		Log:       g.log,
	}
	s.NeedsPeers = func() bool { return lacking() || (!own && g.link.ReadsMayBeStale() && s.CanRelay()) }
	transport.Handle(peer.OpFetchState, s.HandleState)
	transport.Handle(peer.OpPushState, s.HandleOffer)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { transport.Start(); return nil },
		OnStop:  func(context.Context) error { transport.Stop(); return nil },
	})
	runLoop(lc, s.Run)
	if own {
		return nil
	}
	return s.RelayActive
}

func (g *gateway) listenForPeers() (*peer.Transport, error) {
	credentials, err := keys.NewSelfSigned(gatewayFleet, g.settings.Instance, time.Now)
	if err != nil {
		return nil, err
	}
	return peer.Listen(peer.Options{
		Listen:      g.settings.Peers.Listen,
		Credentials: credentials,
		Handler:     onDemand{},
		Recorder:    events.Discard,
		MaxLinks:    maxShareLinks,
		IdleTimeout: shareIdle,
	})
}

// onDemand is the peer.Handler of connections that are opened for calls: their
// coming and going means nothing.
type onDemand struct{}

func (onDemand) LinkUp(peer.Link)                  {}
func (onDemand) LinkDown(model.InstanceID, bool)   {}
func (onDemand) DialFailed(string)                 {}
func (onDemand) Datagram(model.InstanceID, []byte) {}

// peerAddresses returns where the machines of some addresses listen for peers, and
// whether this one is among them.
func peerAddresses(self string, machines []string) (own bool, others []string) {
	_, port, err := net.SplitHostPort(self)
	if err != nil {
		return false, nil
	}
	for _, m := range machines {
		host, _, err := net.SplitHostPort(m)
		if err != nil {
			continue
		}
		switch a := net.JoinHostPort(host, port); {
		case a == self:
			own = true
		case !slices.Contains(others, a):
			others = append(others, a)
		}
	}
	return own, others
}
