package operator

import (
	"net/http"

	"github.com/gin-gonic/gin"
	"go.uber.org/zap/zapcore"

	"redwingpoint.org/redwingpoint/internal/events"
	"redwingpoint.org/redwingpoint/internal/fleet"
	"redwingpoint.org/redwingpoint/internal/operator/api"
)

func (s *Server) getQuarantine(c *gin.Context) {
	c.JSON(http.StatusOK, api.Quarantine{Requests: quarantined(s.Board)})
}

func (s *Server) liftQuarantine(c *gin.Context) {
	fingerprint := c.Param("fingerprint")
	if _, ok := s.Board.Lookup(fleet.FactQuarantine, fingerprint); !ok {
		fail(c, http.StatusNotFound, api.CodeNotFound, "no request with fingerprint "+fingerprint+" is quarantined")
		return
	}
	if err := lift(s.Board, fingerprint); err != nil {
		fail(c, http.StatusInternalServerError, api.CodeBadRequest, err.Error())
		return
	}
	s.Recorder.Record(events.Event{Kind: events.QuarantineLifted, Detail: "by an operator: " + fingerprint})
	c.JSON(http.StatusOK, api.Quarantine{Requests: quarantined(s.Board)})
}

func (s *Server) getLogLevel(c *gin.Context) {
	c.JSON(http.StatusOK, api.LogLevel{Level: s.LogLevel.String()})
}

func (s *Server) putLogLevel(c *gin.Context) {
	var req api.LogLevel
	if err := c.ShouldBindJSON(&req); err != nil {
		fail(c, http.StatusBadRequest, api.CodeBadRequest, "body: "+err.Error())
		return
	}
	level, err := zapcore.ParseLevel(req.Level)
	if err != nil {
		fail(c, http.StatusBadRequest, api.CodeBadRequest, "level must be debug, info, warn or error")
		return
	}
	s.LogLevel.SetLevel(level)
	s.getLogLevel(c)
}
