package entry

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

// DefaultCallerHeader is the header that names the caller unless the settings
// name another.
const DefaultCallerHeader = "Caller-Id"

// ConfigSource returns the configuration in force, or nil before the first.
type ConfigSource interface {
	Current() *config.Snapshot
}

// Exchanger sends one call to one target. Errors are *upstream.CallError.
type Exchanger interface {
	Do(ctx context.Context, call upstream.Call) (*upstream.Response, error)
}

// Options are the collaborators of a Server.
type Options struct {
	Config     ConfigSource
	Picker     routing.Picker
	Upstream   Exchanger
	Ledger     ledger.Ledger
	Recorder   events.Recorder
	Quarantine *quarantine.List
	// Observer learns how every exchange ended; nil means that nobody does.
	Observer health.Observer
	// CallerHeader names the caller; empty means DefaultCallerHeader.
	CallerHeader string
}

// Server answers callers. It is safe for concurrent use.
type Server struct {
	config       ConfigSource
	picker       routing.Picker
	upstream     Exchanger
	ledger       ledger.Ledger
	recorder     events.Recorder
	quarantine   *quarantine.List
	observer     health.Observer
	callerHeader string
	services     *services
	engine       *gin.Engine
	// settling counts non-idempotent requests whose outcome is not recorded yet.
	settling sync.WaitGroup
}

// New returns a Server.
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
		services:     newServices(),
		engine:       gin.New(),
	}
	if s.callerHeader == "" {
		s.callerHeader = DefaultCallerHeader
	}
	if s.observer == nil {
		s.observer = ignoreOutcomes{}
	}
	// Services come and go with the configuration, so that there are no routes.
	s.engine.NoRoute(s.serve)
	return s
}

type ignoreOutcomes struct{}

func (ignoreOutcomes) Observe(health.Observation) {}

// Handler returns the HTTP interface towards callers.
func (s *Server) Handler() http.Handler { return s.engine }

// Settle waits until the outcomes of all non-idempotent requests are recorded.
// It is called after the HTTP server has finished its exchanges.
func (s *Server) Settle(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.settling.Wait()
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
		s.refuse(c, "", problem)
		return
	}
	c.Writer.Header()[upstream.HeaderRequestID] = []string{string(r.id)}
	s.record(r, events.RequestReceived, "", r.http.Method)
	defer r.svc.metrics.duration.UpdateDuration(startedAt)
	switch r.policy.Class {
	case model.Idempotent:
		problem = s.serveIdempotent(c, r)
	case model.NonIdempotent:
		problem = s.serveOnce(c, r)
	case model.Upload:
		problem = s.serveUpload(c, r)
	}
	if problem != nil {
		problem.Request = r.id
		s.refuse(c, r.policy.Service, problem)
	}
}

func (s *Server) refuse(c *gin.Context, service model.ServiceName, p *Problem) {
	s.recorder.Record(events.Event{
		Kind:    events.RequestRefused,
		Request: p.Request,
		Service: service,
		Detail:  string(p.Code) + " " + string(p.Ran),
	})
	countRefusal(p.Code)
	c.Header(upstream.HeaderRequestID, string(p.Request))
	p.write(c)
}

func (s *Server) record(r *request, kind events.Kind, target model.TargetID, detail string) {
	s.recorder.Record(events.Event{
		Kind:    kind,
		Request: r.id,
		Service: r.policy.Service,
		Target:  target,
		Detail:  detail,
	})
}
