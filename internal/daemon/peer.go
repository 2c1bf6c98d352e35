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
	// maxPeerLinks bounds the connections that peers may open.
	maxPeerLinks = 64
	// instanceListInterval is the mean pause between two reads of the platform's
	// instance list; the first reads come faster.
	instanceListInterval = 30 * time.Second
	firstListInterval    = time.Second
	// farewell is how long the statement that this instance left has to spread.
	farewell = 300 * time.Millisecond
)

// peers is the inner protocol of one instance and what runs on it. Without
// certificates in the settings both parts are nil.
type peers struct {
	transport *peer.Transport
	engine    *fleet.Engine
}

// handler passes the calls of the transport on to the engine, which is made
// after it.
type handler struct{ *fleet.Engine }

type peersDeps struct {
	fx.In

	Settings *settings.Settings
	Log      *zap.Logger
	Board    *fleet.FactReplica
	Members  *fleet.Members
	Budget   *limit.ControlBudget
	Recorder events.Recorder
}

func newPeers(d peersDeps) (*peers, error) {
	s := d.Settings
	if s.Peer.Cert == "" || s.Peer.Listen == "" {
		d.Log.Info("no peer certificate in the settings: this instance runs without peers")
		return &peers{}, nil
	}
	credentials, err := keys.LoadCredentials(s.Peer.CA, s.Peer.Cert, s.Peer.Key, time.Now)
	if err != nil {
		return nil, err
	}
	if credentials.Self.Instance != s.Instance {
		return nil, &CertificateError{Instance: s.Instance, Named: credentials.Self.Instance}
	}
	h := new(handler)
	transport, err := peer.Listen(peer.Options{
		Listen:      s.Peer.Listen,
		Credentials: credentials,
		Handler:     h,
		Recorder:    d.Recorder,
		OnSend:      d.Budget.Charge,
		MaxLinks:    maxPeerLinks,
	})
	if err != nil {
		return nil, err
	}
	self := d.Members.Live()[0]
	self.PeerAddr = transport.Addr()
	d.Members.Set([]fleet.Member{self})
	h.Engine = fleet.NewEngine(fleet.Options{
		Self:      self,
		Facts:     d.Board,
		Members:   d.Members,
		Transport: transport,
		Budget:    d.Budget,
		Recorder:  d.Recorder,
		Now:       time.Now,
		Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	return &peers{transport: transport, engine: h.Engine}, nil
}

// CertificateError reports a certificate that names another instance.
type CertificateError struct{ Instance, Named model.InstanceID }

func (e *CertificateError) Error() string {
	return "the certificate of instance " + string(e.Instance) + " names " + string(e.Named)
}

// runPeers runs the inner protocol between start and stop of the application.
func runPeers(lc fx.Lifecycle, p *peers, w *discovery.Watcher, lister store.InstanceLister, s *settings.Settings) {
	if p.engine == nil {
		return
	}
	p.engine.OnAnnounce(w.HoldingsChanged)
	p.transport.Handle(peer.OpReadObjects, w.HandleObjects)
	runLoop(lc, p.tick)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.transport.Start()
			p.engine.Start(s.Peer.Seeds)
			return nil
		},
		OnStop: func(context.Context) error {
			p.engine.MarkLeft()
			time.Sleep(farewell)
			p.transport.Stop()
			return nil
		},
	})
	runLoop(lc, func(ctx context.Context) { p.list(ctx, lister) })
}

func (p *peers) tick(ctx context.Context) {
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

// list reads the platform's instance list now and then: rarely once it has
// answered, since members tell each other what changes.
func (p *peers) list(ctx context.Context, lister store.InstanceLister) {
	pause := store.Backoff{Base: firstListInterval, Max: instanceListInterval}
	for ctx.Err() == nil {
		if list, err := lister.Instances(ctx); err == nil {
			p.engine.SetPlatformList(list)
		}
		_ = pause.Wait(ctx)
	}
}

// asPeers returns the peers as the watcher sees them, nil if there are none.
func (p *peers) asPeers() discovery.Peers {
	if p.engine == nil {
		return nil
	}
	return struct {
		*fleet.Engine
		caller
	}{p.engine, caller{p.transport}}
}

// caller offers the calls of a transport, but not its other methods.
type caller struct{ transport *peer.Transport }

// Call sends a request to a connected instance.
func (c caller) Call(ctx context.Context, to model.InstanceID, op peer.Op, body, answer any) error {
	return c.transport.Call(ctx, to, op, body, answer)
}
