package operator

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/gin-gonic/gin"
	"go.uber.org/zap/zapcore"

	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
)

func (s *Server) getQuarantine(c *gin.Context) {
	c.JSON(http.StatusOK, api.Quarantine{Requests: s.quarantinedRequests()})
}

// quarantinedRequests returns the quarantined requests, sorted by fingerprint.
func (s *Server) quarantinedRequests() []api.QuarantinedRequest {
	out := []api.QuarantinedRequest{}
	for _, e := range s.Quarantine.Entries() {
		targets := []model.TargetID{e.First, e.Second}
		slices.Sort(targets)
		out = append(out, api.QuarantinedRequest{
			Fingerprint: e.Fingerprint, Service: e.Service, Request: e.Request, Targets: targets, Until: e.Until.UTC(),
		})
	}
	slices.SortFunc(out, func(a, b api.QuarantinedRequest) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

func (s *Server) liftQuarantine(c *gin.Context) {
	fingerprint := c.Param("fingerprint")
	if _, ok := s.Quarantine.Find(fingerprint); !ok {
		writeError(c, http.StatusNotFound, api.CodeNotFound, "no request with fingerprint "+fingerprint+" is quarantined")
		return
	}
	s.Quarantine.Lift(fingerprint)
	s.getQuarantine(c)
}

func (s *Server) getLogLevel(c *gin.Context) {
	c.JSON(http.StatusOK, api.LogLevel{Level: s.LogLevel.String()})
}

func (s *Server) putLogLevel(c *gin.Context) {
	var req api.LogLevel
	if err := c.ShouldBindJSON(&req); err != nil {
		writeError(c, http.StatusBadRequest, api.CodeBadRequest, "body: "+err.Error())
		return
	}
	level, err := zapcore.ParseLevel(req.Level)
	if err != nil {
		writeError(c, http.StatusBadRequest, api.CodeBadRequest, "level must be debug, info, warn or error")
		return
	}
	s.LogLevel.SetLevel(level)
	s.getLogLevel(c)
}
