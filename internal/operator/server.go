// Package operator serves the endpoint that operators and the command line use:
// readiness, the time line and metrics.
package operator

import (
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/routing"
)

// Server is the operator endpoint of one instance.
type Server struct {
	Token  string
	Ring   *events.Ring
	Config *config.Holder
	Table  *routing.Table
	// Ready reports whether this instance may receive requests.
	Ready func() bool
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	engine := gin.New()
	engine.GET("/ready", s.ready)
	private := engine.Group("/", s.authorize)
	private.GET("/timeline", func(c *gin.Context) { c.JSON(http.StatusOK, s.Ring.Snapshot()) })
	private.GET("/metrics", func(c *gin.Context) { metrics.WritePrometheus(c.Writer, true) })
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
	token := strings.TrimPrefix(c.GetHeader("Authorization"), "Bearer ")
	if s.Token == "" || subtle.ConstantTimeCompare([]byte(token), []byte(s.Token)) != 1 {
		c.AbortWithStatus(http.StatusUnauthorized)
	}
}
