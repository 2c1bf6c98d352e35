package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/discovery"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/keys"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/peer"
	"redwingpoint.org/redwingpoint/internal/settings"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// maxPeerLinks is the maximum number of connections that peers may open.
	maxPeerLinks = 64
	// instanceListInterval is the mean time between two reads of the platform's instance
	// list, once the interval has grown from initialListInterval.
	instanceListInterval = 30 * time.Second
	// initialListInterval is the mean time between the first two reads.
	initialListInterval = time.Second
	// leavePropagationTime is how long connections stay open after the announcement that
	// this instance has left, so that it reaches the other instances.
	leavePropagationTime = 300 * time.Millisecond
)

// peerNetwork connects an instance with the other instances of its fleet. Without a peer
// certificate in the settings, both fields are nil.
type peerNetwork struct {
	transport *peer.Transport
	engine    *fleet.Engine
}

// engineHandler is the peer.Handler of the transport. It forwards all calls to the
// engine, which can only be created after the transport.
type engineHandler struct{ *fleet.Engine }

// peerNetworkParams are the dependencies of the peer network.
type peerNetworkParams struct {
	fx.In

	Settings      *settings.Settings
	Log           *zap.Logger
	Facts         *fleet.FactReplica
	Members       *fleet.Members
	ControlBudget *limit.ControlBudget
	Recorder      events.Recorder
}

// newPeerNetwork returns the connections to other instances and the membership engine.
// The error is *CertificateError, or that of loading the certificate or of listening.
func newPeerNetwork(p peerNetworkParams) (*peerNetwork, error) {
	s := p.Settings
	if s.Peer.Cert == "" || s.Peer.Listen == "" {
		p.Log.Info("running without peers: the settings have no peer certificate or address")
		return &peerNetwork{}, nil
	}
	credentials, err := keys.LoadCredentials(s.Peer.CA, s.Peer.Cert, s.Peer.Key, time.Now)
	if err != nil {
		return nil, err
	}
	if credentials.Self.Instance != s.Instance {
		return nil, &CertificateError{Instance: s.Instance, IssuedFor: credentials.Self.Instance}
	}
	h := new(engineHandler)
	transport, err := peer.Listen(peer.Options{
		Listen:      s.Peer.Listen,
		Credentials: credentials,
		Handler:     h,
		Recorder:    p.Recorder,
		OnSend:      p.ControlBudget.Charge,
		MaxLinks:    maxPeerLinks,
	})
	if err != nil {
		return nil, err
	}
	self := p.Members.Live()[0]
	self.PeerAddr = transport.Addr()
	p.Members.Set([]fleet.Member{self})
	h.Engine = fleet.NewEngine(fleet.Options{
		Self:      self,
		Facts:     p.Facts,
		Members:   p.Members,
		Transport: transport,
		Budget:    p.ControlBudget,
		Recorder:  p.Recorder,
		Now:       time.Now,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return &peerNetwork{transport: transport, engine: h.Engine}, nil
}

// CertificateError reports a peer certificate that was issued for another instance than
// the one in the settings.
type CertificateError struct{ Instance, IssuedFor model.InstanceID }

func (e *CertificateError) Error() string {
	return "the peer certificate of instance " + string(e.Instance) + " was issued for " + string(e.IssuedFor)
}

// runPeerNetwork runs the transport, the membership engine and the polling of the
// platform's instance list between start and stop of the application.
func runPeerNetwork(lc fx.Lifecycle, p *peerNetwork, w *discovery.Watcher, lister store.InstanceLister, s *settings.Settings) {
	if p.engine == nil {
		return
	}
	p.engine.OnAnnounce(w.HandleAnnouncement)
	p.transport.Handle(peer.OpReadObjects, w.HandleReadObjects)
	runLoop(lc, p.runTicks)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.transport.Start()
			p.engine.Start(s.Peer.Seeds)
			return nil
		},
		OnStop: func(context.Context) error {
			p.engine.MarkLeft()
			time.Sleep(leavePropagationTime)
			p.transport.Stop()
			return nil
		},
	})
	runLoop(lc, func(ctx context.Context) { p.pollInstanceList(ctx, lister) })
}

// runTicks drives the engine's periodic work until ctx ends.
func (p *peerNetwork) runTicks(ctx context.Context) {
	ticker := time.NewTicker(fleet.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.engine.Tick()
		}
	}
}

// pollInstanceList polls the platform's instance list until ctx ends, at growing
// intervals whether or not the calls succeed: the members notify each other of changes.
func (p *peerNetwork) pollInstanceList(ctx context.Context, lister store.InstanceLister) {
	delay := store.Backoff{Base: initialListInterval, Max: instanceListInterval}
	for ctx.Err() == nil {
		if list, err := lister.Instances(ctx); err == nil {
			p.engine.SetPlatformList(list)
		}
		_ = delay.Wait(ctx)
	}
}

// discoveryPeers returns the interface of the peers for discovery, or nil without peers.
func (p *peerNetwork) discoveryPeers() discovery.Peers {
	if p.engine == nil {
		return nil
	}
	return struct {
		*fleet.Engine
		peerCaller
	}{p.engine, peerCaller{p.transport}}
}

// peerCaller exposes only the Call method of a transport.
type peerCaller struct{ transport *peer.Transport }

// Call sends a request to a connected instance and decodes its response.
func (c peerCaller) Call(ctx context.Context, to model.InstanceID, op peer.Op, body, response any) error {
	return c.transport.Call(ctx, to, op, body, response)
}
