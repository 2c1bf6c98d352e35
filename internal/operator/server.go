// Package operator implements the HTTP API for operators and the command line:
// readiness, configuration, status, event timeline, quarantine, metrics and log level.
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

// Server is the operator API of one instance. All paths except readiness require the
// token or a client certificate signed by the configured CA.
type Server struct {
	Instance model.InstanceID
	Location model.Location
	Version  string
	// Token is the bearer token; if it is empty, no token is accepted.
	Token   string
	Ring    *events.Ring
	Config  *config.SnapshotHolder
	Applier *config.Applier
	Table   *routing.Table
	// Facts holds what instances publish to the fleet, such as their revisions in force.
	Facts   fleet.FactStore
	Members *fleet.Members
	// Quarantine is the list of requests that this instance rejects.
	Quarantine *quarantine.List
	// Metrics holds the metrics of this instance without those of the Go process;
	// may be nil.
	Metrics *metrics.Set
	// ControlBudget is the budget whose use is exposed as metrics; may be nil.
	ControlBudget *limit.ControlBudget
	// LogLevel is the log level of the process.
	LogLevel zap.AtomicLevel
	// InstanceLister lists the instances known to the platform, to find those that are
	// not members of the fleet; may be nil.
	InstanceLister store.InstanceLister
	// Ready reports whether this instance can serve requests.
	Ready func() bool

	instanceList instanceListCache
}

// Handler returns the HTTP handler of the API.
func (s *Server) Handler() http.Handler {
	engine := gin.New()
	engine.GET(api.PathReady, s.getReady)
	authorized := engine.Group("/", s.authorize)
	authorized.GET(api.PathConfig, s.getConfig)
	authorized.POST(api.PathConfig, s.applyConfig)
	authorized.GET(api.PathHistory, s.getHistory)
	authorized.GET(api.PathHistory+"/:revision", s.getRevision)
	authorized.GET(api.PathConfigStatus, s.getConfigStatus)
	authorized.GET(api.PathStatus, s.getStatus)
	authorized.GET(api.PathTimeline, s.getTimeline)
	authorized.GET(api.PathQuarantine, s.getQuarantine)
	authorized.DELETE(api.PathQuarantine+"/:fingerprint", s.liftQuarantine)
	authorized.GET(api.PathMetrics, s.getMetrics)
	authorized.GET(api.PathLogLevel, s.getLogLevel)
	authorized.PUT(api.PathLogLevel, s.putLogLevel)
	return engine
}

// getReady is the readiness check of the platform's load balancer. It responds with
// 200 once targets and configuration are known, and with 503 before.
func (s *Server) getReady(c *gin.Context) {
	if !s.Ready() {
		c.Status(http.StatusServiceUnavailable)
		return
	}
	c.Status(http.StatusOK)
}

// authorize rejects a request with neither a valid token nor a verified client
// certificate.
func (s *Server) authorize(c *gin.Context) {
	if !s.hasVerifiedCertificate(c.Request) && !s.hasValidToken(c.Request) {
		writeError(c, http.StatusUnauthorized, api.CodeUnauthorized, "present the operator token or a client certificate")
		c.Abort()
	}
}

func (s *Server) hasValidToken(r *http.Request) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && s.Token != "" && subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) == 1
}

func (s *Server) hasVerifiedCertificate(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

// authorName returns the operator's name from the verified client certificate or, if
// there is none, the claimed one.
func authorName(r *http.Request, claimed string) string {
	if r.TLS == nil || len(r.TLS.VerifiedChains) == 0 {
		return claimed
	}
	leaf := r.TLS.VerifiedChains[0][0]
	if len(leaf.URIs) > 0 {
		return path.Base(leaf.URIs[0].Path)
	}
	return leaf.Subject.CommonName
}

// problemTypePrefix is the prefix of the type URI in problem documents.
const problemTypePrefix = "urn:redwingpoint:problem:"

// writeError responds with a problem document.
func writeError(c *gin.Context, status int, code api.Code, detail string) {
	writeProblem(c, &api.Problem{Status: status, Code: code, Detail: detail})
}

// writeProblem completes a problem document and responds with it.
func writeProblem(c *gin.Context, p *api.Problem) {
	p.Type = problemTypePrefix + string(p.Code)
	p.Title = http.StatusText(p.Status)
	c.Header("Content-Type", "application/problem+json")
	c.JSON(p.Status, p)
}
