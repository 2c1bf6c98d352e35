package daemon

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/callers"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/peersync"
	"redwingpoint.org/redwingpoint/internal/replica"
	"redwingpoint.org/redwingpoint/internal/settings"
)

const (
	// gatewayFleet is the fleet name in the certificates of gateways.
	gatewayFleet = "gateways"
	// syncIdleTimeout is the idle time after which a connection between gateways is
	// closed. While the gateways need each other, there is usually an exchange at least
	// every 1.5 s.
	syncIdleTimeout = 3 * time.Second
	// maxSyncLinks is the maximum number of connections that a seed accepts.
	maxSyncLinks = 4096
)

// peerRelay is how a gateway learns the store's changes from its peers. The zero value is
// that of a gateway without peers.
type peerRelay struct {
	// routes, targets and evacuations are Follower.Relay of the followers, or nil.
	routes, targets, evacuations replica.Relay
	// isRelay is Follower.IsRelay, or nil.
	isRelay func() bool
}

// startPeerSync exchanges routes and targets with other gateways while the store is
// unavailable, and has the seeds relay the store's changes otherwise. A gateway
// that can't listen for peers logs a warning and runs without them.
func (g *gateway) startPeerSync(lc fx.Lifecycle, local *replica.Replica) peerRelay {
	if g.settings.Peers.Listen == "" {
		return peerRelay{}
	}
	transport, err := g.listenForPeers()
	if err != nil {
		g.log.Warn("peer sync is disabled", zap.Error(err))
		return peerRelay{}
	}
	isSeed, otherSeeds := peerAddresses(g.settings.Peers.Listen, g.settings.Peers.Seeds)
	seeds := peersync.NewSeeds(isSeed, otherSeeds, transport, g.log)
	seeds.OnTenure = func(grants bool, shares int) {
		g.log.Info("grants changed", zap.Bool("grants", grants), zap.Int("shares", shares))
	}
	seeds.Own = g.settings.Peers.Listen
	seeds.AwaitOthers()
	g.seeds = seeds
	transport.Handle(peer.OpQueryTenure, seeds.HandleQuery)
	runLoop(lc, seeds.Run)
	s := &peersync.Syncer{
		Replica:    local,
		NeedsPeers: g.breaker.Open,
		OnMerge:    func() { g.targetsKnown.Store(local.Targets.Known()) },
		Transport:  transport,
		Seeds:      seeds,
		Log:        g.log,
	}
	transport.Handle(peer.OpFetchState, s.HandleFetchState)
	transport.Handle(peer.OpPushState, s.HandlePushState)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { transport.Start(); return nil },
		OnStop:  func(context.Context) error { transport.Stop(); return nil },
	})
	runLoop(lc, s.Run)
	marks := peersync.NewMarkExchange(g.quarantine, transport, seeds, g.log)
	vicinity := &peersync.Vicinity{Locator: transport, Seeds: seeds, Region: g.settings.Location.Region}
	marks.Region, marks.Vicinity = vicinity.Region, vicinity
	g.quarantine.Isolated = marks.Isolated
	g.quarantine.OnQuarantine = g.logQuarantine
	transport.Handle(peer.OpExchangeMarks, marks.HandleExchange)
	runLoop(lc, marks.Run)
	g.sharePermits(transport)
	g.shareQuotas(transport)
	if g.settings.SettleTimeout-watchReserve < peersync.MaxRelayLag {
		return peerRelay{}
	}
	g.serveRelay(transport, local)
	client := &peersync.RelayClient{Replica: local, OnMerge: s.OnMerge, Transport: transport, Seeds: seeds,
		Region: vicinity.Region, Vicinity: vicinity, Demanded: g.dispatcher.Demanded(), Log: g.log}
	g.quotas.Nearest = client.LatestRelay
	if within := g.settings.Keys.WithdrawWithin; within > 0 {
		client.HoldRequests = min(peersync.AwaitWait, time.Duration(relayHoldShare*float64(within)))
		client.MaxConfirmationAge = time.Duration(confirmSelfShare * float64(within))
	}
	g.set.NewGauge("redwingpoint_store_changes_relayed", func() float64 {
		if client.Relayed() {
			return 1
		}
		return 0
	})
	runLoop(lc, client.Run)
	return peerRelay{routes: client.RoutesRelay(), targets: client.TargetsRelay(), evacuations: client.EvacuationsRelay(), isRelay: g.isSeed}
}

// replaceSeeds puts a changed list of seeds in force.
func (g *gateway) replaceSeeds(addrs []string) {
	if g.seeds == nil {
		return
	}
	isSeed, others := peerAddresses(g.settings.Peers.Listen, addrs)
	if g.seeds.Replace(isSeed, others) {
		g.log.Info("seeds replaced", zap.Bool("is_seed", isSeed), zap.Strings("others", others))
	}
}

// sharePermits divides the limits that targets state, and those of cold targets, among the
// seeds.
func (g *gateway) sharePermits(transport *peer.Transport) {
	p := g.permits
	p.Transport, p.Seeds = transport, g.seeds
	p.Own, p.OwnCold = peersync.NewShare(g.seeds, limit.NewGrantor), newColdShare(g.seeds, g.settings)
	transport.Handle(peer.OpAcquirePermit, (&peersync.PermitServer{Own: p.Own}).HandleAcquire)
	transport.Handle(peer.OpAcquireColdPermit, (&peersync.ColdPermitServer{Own: p.OwnCold}).HandleAcquire)
}

// newQuotas returns the quotas of a gateway without peers.
func newQuotas(s *settings.Gateway, log *zap.Logger, set *metrics.Set) *peersync.Quotas {
	tolerance := limit.Tolerance{Window: s.Quotas.Window, Overage: s.Quotas.Overage, Slack: s.Quotas.Slack}
	seeds := peersync.NewSeeds(false, nil, nil, log)
	return &peersync.Quotas{
		Tolerance: tolerance,
		Seeds:     seeds,
		Own:       newQuotaShare(seeds, tolerance),
		Log:       log,
		OnAsked: func(result peersync.QuotaResult) {
			set.GetOrCreateCounter(fmt.Sprintf("redwingpoint_quota_questions_total{result=%q}", string(result))).Inc()
		},
	}
}

// newQuotaShare returns this instance's share of quotas.
func newQuotaShare(seeds *peersync.Seeds, tolerance limit.Tolerance) *peersync.Share[*limit.QuotaGrantor] {
	return peersync.NewShare(seeds, func(shares int) *limit.QuotaGrantor { return limit.NewQuotaGrantor(shares, tolerance) })
}

// shareQuotas divides the quotas of organisations among the seeds.
func (g *gateway) shareQuotas(transport *peer.Transport) {
	g.quotas.Transport, g.quotas.Seeds = transport, g.seeds
	g.quotas.Own = newQuotaShare(g.seeds, g.quotas.Tolerance)
	transport.Handle(peer.OpAcquireQuota, (&peersync.QuotaServer{Own: g.quotas.Own}).HandleAcquire)
}

// isSeed reports whether this gateway is a seed.
func (g *gateway) isSeed() bool { return g.seeds.Current().IsSeed() }

// serveRelay relays the store's changes to other gateways while this one is a seed.
func (g *gateway) serveRelay(transport *peer.Transport, local *replica.Replica) {
	local.Current = func() bool { return g.isSeed() && g.isReady() && !g.breaker.Open() }
	local.Routes.OnChange = local.NotifyChanged
	local.Targets.OnChange = local.NotifyChanged
	if local.Evacuations != nil {
		local.Evacuations.OnChange = local.NotifyChanged
	}
	g.breaker.OnOpen = local.NotifyChanged
	g.onShutdown = local.NotifyChanged
	transport.Handle(peer.OpAwaitChange, (&peersync.RelayServer{Replica: local, Seeds: g.seeds, Location: g.settings.Location}).HandleAwaitChange)
}

// listenForPeers returns a transport that listens for peers with a self-signed
// certificate.
func (g *gateway) listenForPeers() (*peer.Transport, error) {
	credentials, err := keys.NewSelfSigned(keys.Identity{Fleet: gatewayFleet, Instance: g.settings.Instance, Location: g.settings.Location}, time.Now)
	if err != nil {
		return nil, err
	}
	return peer.Listen(peer.Options{
		Listen:      g.settings.Peers.Listen,
		Credentials: credentials,
		Handler:     syncLinkHandler{},
		Recorder:    events.Discard,
		MaxLinks:    cmp.Or(g.settings.CallerLimits.PeerLinks, callers.MaxPeerLinks(g.settings.Machine.MemoryMB, maxSyncLinks)),
		IdleTimeout: syncIdleTimeout,
		OnExchange:  g.countExchange,
		Location:    g.settings.Location,
	})
}

// countExchange counts the bytes of a request between gateways by its operation and the
// distance to the peer. A location that isn't known counts as another region.
func (g *gateway) countExchange(e peer.Exchange) {
	distance := g.settings.Location.DistanceTo(e.Link.Location)
	role := "asks"
	if e.Served {
		role = "serves"
	}
	labels := fmt.Sprintf("op=%q,role=%q,distance=%q", e.Op, role, distance)
	g.set.GetOrCreateCounter("redwingpoint_peer_exchanges_total{" + labels + "}").Inc()
	g.set.GetOrCreateCounter("redwingpoint_peer_sent_bytes_total{" + labels + "}").Add(e.Sent)
	g.set.GetOrCreateCounter("redwingpoint_peer_received_bytes_total{" + labels + "}").Add(e.Received)
}

// syncLinkHandler is the peer.Handler of connections between gateways. It ignores all
// events, because the connections are opened on demand.
type syncLinkHandler struct{}

func (syncLinkHandler) LinkUp(peer.Link)                  {}
func (syncLinkHandler) LinkDown(model.InstanceID, bool)   {}
func (syncLinkHandler) DialFailed(string)                 {}
func (syncLinkHandler) Datagram(model.InstanceID, []byte) {}

// peerAddresses returns the peer addresses of the seeds other than this gateway, without
// duplicates, and whether this gateway is a seed. Only the hosts of the seeds are used:
// all gateways listen for peers at the port of listenAddr. Malformed addresses are
// skipped.
func peerAddresses(listenAddr string, seeds []string) (isSeed bool, otherSeeds []string) {
	_, port, err := net.SplitHostPort(listenAddr)
	if err != nil {
		return false, nil
	}
	for _, seed := range seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		switch addr := net.JoinHostPort(host, port); {
		case addr == listenAddr:
			isSeed = true
		case !slices.Contains(otherSeeds, addr):
			otherSeeds = append(otherSeeds, addr)
		}
	}
	return isSeed, otherSeeds
}
