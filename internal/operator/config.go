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
	// readTimeout is the timeout for reading the store in a request.
	readTimeout = 3 * time.Second
	// applyTimeout is the timeout for applying an edit.
	applyTimeout = 5 * time.Second
	// maxNameBytes is the maximum length of an operator's name and of a change ID.
	maxNameBytes = 64
)

// getConfig responds with the stored document or, if the store can't be read, with
// the one in force on this instance.
func (s *Server) getConfig(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	document, err := s.Applier.Current(ctx)
	source := api.SourceStore
	if snapshot := s.Config.Current(); err != nil && snapshot != nil {
		document, source, err = snapshot.Document, api.SourceInstance, nil
	}
	if err != nil {
		writeStoreError(c, err)
		return
	}
	writeDocument(c, source, document)
}

func writeDocument(c *gin.Context, source api.Source, document *config.Document) {
	text, err := document.Format()
	if err != nil {
		writeStoreError(c, err)
		return
	}
	c.JSON(http.StatusOK, api.Config{Source: source, Text: string(text), Document: document})
}

func (s *Server) applyConfig(c *gin.Context) {
	var req api.ApplyRequest
	body := http.MaxBytesReader(c.Writer, c.Request.Body, 2*store.MaxObjectBytes)
	c.Request.Body = body
	if err := c.ShouldBindJSON(&req); err != nil {
		writeError(c, http.StatusBadRequest, api.CodeBadRequest, "body: "+err.Error())
		return
	}
	req.Author = strings.TrimSpace(authorName(c.Request, req.Author))
	if req.Author == "" || len(req.Author) > maxNameBytes || req.ChangeID == "" || len(req.ChangeID) > maxNameBytes {
		writeError(c, http.StatusBadRequest, api.CodeBadRequest, "author and change must have 1 to 64 bytes")
		return
	}
	document, err := config.Parse([]byte(req.Text))
	if err != nil {
		writeApplyError(c, err)
		return
	}
	s.applyEdit(c, req, config.Edit{Document: document, ChangeID: req.ChangeID, Author: req.Author})
}

// applyEdit applies an edit, or does a dry run, and responds with the result.
func (s *Server) applyEdit(c *gin.Context, req api.ApplyRequest, edit config.Edit) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), applyTimeout)
	defer cancel()
	apply := s.Applier.Apply
	if req.DryRun {
		apply = s.Applier.DryRun
	}
	result, err := apply(ctx, edit)
	if err != nil {
		writeApplyError(c, err)
		return
	}
	response := api.ApplyResponse{
		DryRun:    req.DryRun,
		Revision:  result.Document.Revision,
		Previous:  result.Previous.Revision,
		Rebased:   result.Rebased,
		Unchanged: result.Unchanged,
		Changes:   config.Changes(result.Previous, result.Document, time.Now()),
		Warnings:  s.warnings(ctx, result.Document),
	}
	if req.DryRun {
		response.Revision = response.Previous
	}
	c.JSON(http.StatusOK, response)
}

// warnings returns one warning for each exception whose region has no known instance,
// which is probably misspelt, and for each that has expired.
func (s *Server) warnings(ctx context.Context, d *config.Document) []string {
	known := make(map[model.Region]bool)
	for _, r := range s.regionRevisions(ctx) {
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

// writeApplyError responds with the problem document for an error of config.Parse or
// config.Applier.
func writeApplyError(c *gin.Context, err error) {
	p := &api.Problem{Status: http.StatusConflict, Detail: err.Error()}
	var invalid *config.InvalidError
	var conflict *config.ConflictError
	var missing *config.BaseMissingError
	var notFound *config.RevisionNotFoundError
	var stale *config.StaleReadError
	var unknown *config.OutcomeUnknownError
	switch {
	case errors.As(err, &invalid):
		p.Status, p.Code, p.Errors = http.StatusUnprocessableEntity, api.CodeInvalid, invalid.Errors
	case errors.As(err, &conflict):
		p.Code, p.Conflict = api.CodeConflict, conflict
	case errors.As(err, &missing):
		p.Code = api.CodeBaseMissing
	case errors.As(err, &unknown):
		p.Status, p.Code, p.ChangeID = http.StatusGatewayTimeout, api.CodeOutcomeUnknown, unknown.ChangeID
	case errors.As(err, &notFound):
		p.Code = api.CodeBaseGone
	case errors.As(err, &stale):
		p.Status, p.Code = http.StatusServiceUnavailable, api.CodeStaleRead
	default:
		p.Status, p.Code = http.StatusServiceUnavailable, api.CodeNotApplied
	}
	writeProblem(c, p)
}

func writeStoreError(c *gin.Context, err error) {
	writeError(c, http.StatusServiceUnavailable, api.CodeStoreDown, err.Error())
}

func (s *Server) getHistory(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	documents, err := s.Applier.History(ctx)
	if err != nil {
		writeStoreError(c, err)
		return
	}
	response := api.History{Revisions: []api.Revision{}}
	for _, d := range documents {
		response.Revisions = append(response.Revisions, api.Revision{
			Revision: d.Revision, Author: d.Author, Time: d.Time, ChangeID: d.ChangeID,
		})
	}
	c.JSON(http.StatusOK, response)
}

func (s *Server) getRevision(c *gin.Context) {
	n, err := strconv.ParseUint(c.Param("revision"), 10, 64)
	if err != nil {
		writeError(c, http.StatusBadRequest, api.CodeBadRequest, "a revision is a whole number")
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), readTimeout)
	defer cancel()
	document, err := s.documentAt(ctx, model.Revision(n))
	var notFound *config.RevisionNotFoundError
	switch {
	case errors.As(err, &notFound):
		writeError(c, http.StatusNotFound, api.CodeNotFound, "revision "+c.Param("revision")+" is not in the history")
	case err != nil:
		writeStoreError(c, err)
	default:
		writeDocument(c, api.SourceStore, document)
	}
}

// documentAt returns the stored document if it has the given revision, otherwise the
// superseded document of that revision.
func (s *Server) documentAt(ctx context.Context, revision model.Revision) (*config.Document, error) {
	current, err := s.Applier.Current(ctx)
	if err != nil || current.Revision == revision {
		return current, err
	}
	return s.Applier.Revision(ctx, revision)
}
