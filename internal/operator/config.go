package operator

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"redwingpoint.org/redwingpoint/internal/config"
	"redwingpoint.org/redwingpoint/internal/model"
	"redwingpoint.org/redwingpoint/internal/operator/api"
	"redwingpoint.org/redwingpoint/internal/store"
)

const (
	// readTimeout bounds reads of the store for an operator.
	readTimeout = 3 * time.Second
	// applyTimeout bounds the acceptance of a change.
	applyTimeout = 5 * time.Second
	// maxAuthorBytes bounds the name of an operator.
	maxAuthorBytes = 64
)

func (s *Server) getConfig(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	document, err := s.Applier.Current(ctx)
	source := api.SourceStore
	if snapshot := s.Config.Current(); err != nil && snapshot != nil {
		document, source, err = snapshot.Document, api.SourceInstance, nil
	}
	if err != nil {
		failStore(c, err)
		return
	}
	writeDocument(c, source, document)
}

func writeDocument(c *gin.Context, source api.Source, document *config.Document) {
	text, err := document.Format()
	if err != nil {
		failStore(c, err)
		return
	}
	c.JSON(http.StatusOK, api.Config{Source: source, Text: string(text), Document: document})
}

func (s *Server) applyConfig(c *gin.Context) {
	var req api.ApplyRequest
	body := http.MaxBytesReader(c.Writer, c.Request.Body, 2*store.MaxObjectBytes)
	c.Request.Body = body
	if err := c.ShouldBindJSON(&req); err != nil {
		fail(c, http.StatusBadRequest, api.CodeBadRequest, "body: "+err.Error())
		return
	}
	req.Author = strings.TrimSpace(author(c.Request, req.Author))
	if req.Author == "" || len(req.Author) > maxAuthorBytes || req.Change == "" || len(req.Change) > maxAuthorBytes {
		fail(c, http.StatusBadRequest, api.CodeBadRequest, "author and change must have 1 to 64 bytes")
		return
	}
	document, err := config.Parse([]byte(req.Text))
	if err != nil {
		failApply(c, err)
		return
	}
	s.apply(c, req, config.Edit{Document: document, Change: req.Change, Author: req.Author})
}

func (s *Server) apply(c *gin.Context, req api.ApplyRequest, edit config.Edit) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), applyTimeout)
	defer cancel()
	run := s.Applier.Apply
	if req.DryRun {
		run = s.Applier.DryRun
	}
	accepted, err := run(ctx, edit)
	if err != nil {
		failApply(c, err)
		return
	}
	answer := api.ApplyResponse{
		DryRun:    req.DryRun,
		Revision:  accepted.Document.Revision,
		Previous:  accepted.Previous.Revision,
		Rebased:   accepted.Rebased,
		Unchanged: accepted.Unchanged,
		Changes:   config.Changes(accepted.Previous, accepted.Document, time.Now()),
		Warnings:  s.warnings(ctx, accepted.Document),
	}
	if req.DryRun {
		answer.Revision = answer.Previous
	}
	c.JSON(http.StatusOK, answer)
}

// warnings names exceptions of regions that nobody has heard of, which are
// probably misspelt, and exceptions that have ended.
func (s *Server) warnings(ctx context.Context, d *config.Document) []string {
	known := make(map[model.Region]bool)
	for _, r := range s.regions(ctx) {
		known[r.Region] = true
	}
	var out []string
	for _, e := range d.Exceptions {
		if e.Scope.Region != "" && !known[e.Scope.Region] {
			out = append(out, "exception for "+e.Scope.String()+": no instance of region "+string(e.Scope.Region)+" is known")
		}
		if e.Expires != nil && !time.Now().Before(*e.Expires) {
			out = append(out, "exception for "+e.Scope.String()+": it has expired and can be removed")
		}
	}
	return out
}

// failApply turns an error of config.Parse or config.Applier into an answer.
func failApply(c *gin.Context, err error) {
	p := &api.Problem{Status: http.StatusConflict, Detail: err.Error()}
	var invalid *config.InvalidError
	var conflict *config.ConflictError
	var missing *config.BaseMissingError
	var gone *config.BaseGoneError
	var stale *config.StaleReadError
	var unknown *config.OutcomeUnknownError
	switch {
	case errors.As(err, &invalid):
		p.Status, p.Code, p.Mistakes = http.StatusUnprocessableEntity, api.CodeInvalid, invalid.Problems
	case errors.As(err, &conflict):
		p.Code, p.Conflict = api.CodeConflict, conflict
	case errors.As(err, &missing):
		p.Code = api.CodeBaseMissing
	case errors.As(err, &unknown):
		p.Status, p.Code, p.Change = http.StatusGatewayTimeout, api.CodeOutcomeUnknown, unknown.Change
	case errors.As(err, &gone):
		p.Code = api.CodeBaseGone
	case errors.As(err, &stale):
		p.Status, p.Code = http.StatusServiceUnavailable, api.CodeStaleRead
	default:
		p.Status, p.Code = http.StatusServiceUnavailable, api.CodeNotApplied
	}
	failWith(c, p)
}

func failStore(c *gin.Context, err error) {
	fail(c, http.StatusServiceUnavailable, api.CodeStoreDown, err.Error())
}

func (s *Server) getHistory(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	documents, err := s.Applier.History(ctx)
	if err != nil {
		failStore(c, err)
		return
	}
	answer := api.History{Revisions: []api.Revision{}}
	for _, d := range documents {
		answer.Revisions = append(answer.Revisions, api.Revision{
			Revision: d.Revision, Author: d.Author, Time: d.Time, Change: d.Change,
		})
	}
	c.JSON(http.StatusOK, answer)
}

func (s *Server) getRevision(c *gin.Context) {
	n, err := strconv.ParseUint(c.Param("revision"), 10, 64)
	if err != nil {
		fail(c, http.StatusBadRequest, api.CodeBadRequest, "a revision is a whole number")
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	document, err := s.revision(ctx, model.Revision(n))
	var gone *config.BaseGoneError
	switch {
	case errors.As(err, &gone):
		fail(c, http.StatusNotFound, api.CodeNotFound, "revision "+c.Param("revision")+" is not in the history")
	case err != nil:
		failStore(c, err)
	default:
		writeDocument(c, api.SourceStore, document)
	}
}

func (s *Server) revision(ctx context.Context, n model.Revision) (*config.Document, error) {
	current, err := s.Applier.Current(ctx)
	if err != nil || current.Revision == n {
		return current, err
	}
	return s.Applier.Revision(ctx, n)
}
