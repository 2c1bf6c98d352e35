package reverseproxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/health"
	"redwingpoint.org/redwingpoint/internal/ledger"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/upstream"
)

// DefaultCallerHeader is the header that names the caller if Options.CallerHeader
// is empty.
const DefaultCallerHeader = "Caller-Id"

// ConfigSource provides the configuration in force. Current returns nil until
// there is one.
type ConfigSource interface {
	Current() *config.Snapshot
}

// UpstreamClient sends a call to a target. Errors are *upstream.CallError.
type UpstreamClient interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Response, error)
}

// Options holds the dependencies and settings of a Server. All are required
// unless noted.
type Options struct {
	Config     ConfigSource
	Picker     routing.Picker
	Upstream   UpstreamClient
	Ledger     ledger.Ledger
	Recorder   events.Recorder
	Quarantine *quarantine.List
	// Observer receives the result of every exchange. It may be nil.
	Observer health.Observer
	// CallerHeader is the header that names the caller; empty means
	// DefaultCallerHeader.
	CallerHeader string
}

// Server serves the requests of callers. It is safe for concurrent use.
type Server struct {
	config       ConfigSource
	picker       routing.Picker
	upstream     UpstreamClient
	ledger       ledger.Ledger
	recorder     events.Recorder
	quarantine   *quarantine.List
	observer     health.Observer
	callerHeader string
	services     *serviceStates
	engine       *gin.Engine
	// pendingOutcomes counts non-idempotent requests whose outcome is not
	// recorded yet.
	pendingOutcomes sync.WaitGroup
}

// New returns a Server with the given options.
func New(o Options) *Server {
	s := &Server{
		config:       o.Config,
		picker:       o.Picker,
		upstream:     o.Upstream,
		ledger:       o.Ledger,
		recorder:     o.Recorder,
		quarantine:   o.Quarantine,
		observer:     o.Observer,
		callerHeader: http.CanonicalHeaderKey(o.CallerHeader),
		services:     newServiceStates(),
		engine:       gin.New(),
	}
	if s.callerHeader == "" {
		s.callerHeader = DefaultCallerHeader
	}
	if s.observer == nil {
		s.observer = noopObserver{}
	}
	// The configuration may add and remove services at any time, so the engine
	// has no routes.
	s.engine.NoRoute(s.serve)
	return s
}

type noopObserver struct{}

func (noopObserver) Observe(health.Observation) {}

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler { return s.engine }

// WaitForOutcomes waits until the outcomes of all non-idempotent requests are
// recorded or ctx is done, whose error it returns. Call it after the HTTP server
// has shut down.
func (s *Server) WaitForOutcomes(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.pendingOutcomes.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *Server) serve(c *gin.Context) {
	startedAt := time.Now()
	c.Status(http.StatusOK)
	r, problem := s.parse(c, startedAt)
	if problem != nil {
		problem.Request = requestID(c.Request.Header)
		s.reject(c, "", problem)
		return
	}
	c.Writer.Header()[upstream.HeaderRequestID] = []string{string(r.id)}
	s.recordEvent(r, events.RequestReceived, "", r.httpRequest.Method)
	defer r.svc.metrics.duration.UpdateDuration(startedAt)
	switch r.policy.Class {
	case model.Idempotent:
		problem = s.serveIdempotent(c, r)
	case model.NonIdempotent:
		problem = s.serveNonIdempotent(c, r)
	case model.Upload:
		problem = s.serveUpload(c, r)
	}
	if problem != nil {
		problem.Request = r.id
		s.reject(c, r.policy.Service, problem)
	}
}

// reject records and counts a problem and sends it to the caller.
func (s *Server) reject(c *gin.Context, service model.ServiceName, p *Problem) {
	s.recorder.Record(events.Event{
		Kind:    events.RequestRefused,
		Request: p.Request,
		Service: service,
		Detail:  string(p.Code) + " " + string(p.RunState),
	})
	countRefusal(p.Code)
	c.Header(upstream.HeaderRequestID, string(p.Request))
	p.write(c)
}

func (s *Server) recordEvent(r *request, kind events.Kind, target model.TargetID, detail string) {
	s.recorder.Record(events.Event{
		Kind:    kind,
		Request: r.id,
		Service: r.policy.Service,
		Target:  target,
		Detail:  detail,
	})
}
