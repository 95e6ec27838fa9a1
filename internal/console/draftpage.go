package console

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/console/draft"
	"arbutusward.example/arbutusward/internal/process/keys"
)

// canApply reports whether the session's role may apply documents.
func canApply(sess *session) bool { return sess.claims.Role.Allows(keys.Operator) }

// requireDraft is the middleware that redirects to the draft page if the session
// has no open draft.
func (s *Server) requireDraft(c *gin.Context) {
	if currentSession(c).draft == nil {
		c.Redirect(http.StatusSeeOther, "/draft")
		c.Abort()
	}
}

// draftPage is the data of the overview of a draft.
type draftPage struct {
	Open       bool
	Deployment string
	Sections   []sectionCount
	Problems   problemList
}

// maxProblems is the largest number of problems that a page lists.
const maxProblems = 50

// problemList is a list of problems that is cut to maxProblems; More is the number
// of problems left out.
type problemList struct {
	Shown []draft.Problem
	More  int
}

// listProblems returns the first problems and the number of the others.
func listProblems(problems []draft.Problem) problemList {
	shown := problems[:min(len(problems), maxProblems)]
	return problemList{Shown: shown, More: len(problems) - len(shown)}
}

// sectionCount is a section with the number of its elements.
type sectionCount struct {
	draft.Section
	Count int
}

func (s *Server) getDraft(c *gin.Context) {
	page := draftPage{}
	if d := currentSession(c).draft; d != nil {
		page.Open = true
		page.Deployment = d.Deployment()
		page.Problems = listProblems(d.Problems())
		for _, section := range draft.Sections() {
			page.Sections = append(page.Sections, sectionCount{Section: section, Count: len(d.Names(section.Name))})
		}
	}
	s.render(c, http.StatusOK, "draft", "Draft", page)
}

// postOpen opens a draft on the newest accepted version and discards the session's
// previous draft.
func (s *Server) postOpen(c *gin.Context) {
	sess := currentSession(c)
	accepted, err := sess.client.CurrentDocument(c.Request.Context())
	if err != nil {
		s.renderError(c, http.StatusBadGateway, "The accepted document could not be read: "+err.Error())
		return
	}
	newDraft, err := draft.New(accepted.Version, accepted.Document)
	if err != nil {
		s.renderError(c, http.StatusInternalServerError, err.Error())
		return
	}
	sess.draft = newDraft
	sess.notice = "A draft on version " + strconv.FormatUint(accepted.Version, 10) + " is open."
	c.Redirect(http.StatusSeeOther, "/draft")
}

func (s *Server) postDeployment(c *gin.Context) {
	sess := currentSession(c)
	if err := sess.draft.SetDeployment(c.Request.PostForm.Get("deployment")); err != nil {
		s.renderDraftError(c, err)
		return
	}
	sess.notice = "The name was stored."
	c.Redirect(http.StatusSeeOther, "/draft")
}

// renderDraftError responds to an error of a draft with the matching status.
func (s *Server) renderDraftError(c *gin.Context, err error) {
	switch {
	case errors.Is(err, draft.ErrFinished):
		s.renderError(c, http.StatusConflict, err.Error())
	case errors.Is(err, draft.ErrUnknownElement):
		s.renderError(c, http.StatusNotFound, err.Error())
	default:
		s.renderError(c, http.StatusInternalServerError, err.Error())
	}
}
