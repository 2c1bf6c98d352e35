// Package operator serves the endpoint that operators and the command line use:
// readiness, configuration, status, the time line, quarantine, metrics.
package operator

import (
	"crypto/subtle"
	"net/http"
	"path"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"
	"go.uber.org/zap"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/limit"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/quarantine"
	"redwingpoint.org/redwingpoint/internal/routing"
	"redwingpoint.org/redwingpoint/internal/store"
)

// Server is the operator endpoint of one instance. Everything but readiness
// needs the token or a client certificate that the endpoint's CA signed.
type Server struct {
	Instance model.InstanceID
	Location model.Location
	Version  string
	// Token is the bearer token; an empty one is never accepted.
	Token   string
	Ring    *events.Ring
	Config  *config.Holder
	Applier *config.Applier
	Table   *routing.Table
	Board   fleet.FactStore
	Members *fleet.Members
	// Quarantine is the list that callers' requests are checked against.
	Quarantine *quarantine.List
	// Metrics are those of this instance besides the process's; may be nil.
	Metrics *metrics.Set
	// Measuring is the budget that is reported; may be nil.
	Measuring *limit.ControlBudget
	// LogLevel is the level of the process's log.
	LogLevel zap.AtomicLevel
	// Lister is asked for instances that the fleet hasn't heard of; may be nil.
	Lister store.InstanceLister
	// Ready reports whether this instance may receive requests.
	Ready func() bool

	listed listed
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	engine := gin.New()
	engine.GET(api.PathReady, s.ready)
	private := engine.Group("/", s.authorize)
	private.GET(api.PathConfig, s.getConfig)
	private.POST(api.PathConfig, s.applyConfig)
	private.GET(api.PathHistory, s.getHistory)
	private.GET(api.PathHistory+"/:revision", s.getRevision)
	private.GET(api.PathInForce, s.getInForce)
	private.GET(api.PathStatus, s.getStatus)
	private.GET(api.PathTimeline, s.getTimeline)
	private.GET(api.PathQuarantine, s.getQuarantine)
	private.DELETE(api.PathQuarantine+"/:fingerprint", s.liftQuarantine)
	private.GET(api.PathMetrics, s.getMetrics)
	private.GET(api.PathLogLevel, s.getLogLevel)
	private.PUT(api.PathLogLevel, s.putLogLevel)
	return engine
}

// ready answers the platform's balancer: 200 once targets and configuration are known.
func (s *Server) ready(c *gin.Context) {
	if !s.Ready() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

func (s *Server) authorize(c *gin.Context) {
	if !s.knownCertificate(c.Request) && !s.knownToken(c.Request) {
		fail(c, http.StatusUnauthorized, api.CodeUnauthorized, "present the operator token or a client certificate")
		c.Abort()
	}
}

func (s *Server) knownToken(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && s.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) == 1
}

func (s *Server) knownCertificate(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

// author returns the operator's name: that of the certificate if there is one.
func author(r *http.Request, claimed string) string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return claimed
	}
	leaf := r.TLS.VerifiedChains[0][0]
	if len(leaf.URIs) > 0 {
		return path.Base(leaf.URIs[0].Path)
	}
	return leaf.Subject.CommonName
}

const problemTypePrefix = "urn:redwingpoint:problem:"

func fail(c *gin.Context, status int, code api.Code, detail string) {
	failWith(c, &api.Problem{Status: status, Code: code, Detail: detail})
}

func failWith(c *gin.Context, p *api.Problem) {
	p.Type = problemTypePrefix + string(p.Code)
	p.Title = http.StatusText(p.Status)
	c.Header("Content-Type", "application/problem+json")
	c.JSON(p.Status, p)
}
