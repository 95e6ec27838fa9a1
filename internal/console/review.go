package console

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// reviewPage is the data of the page that shows the draft's changes and their cost.
type reviewPage struct {
	Problems problemList
	Changes  []fleet.Change
	Plan     *adminclient.Comparison
	// NoPlan is the reason why control returned no plan, or "".
	NoPlan string
}

func (s *Server) getReview(c *gin.Context) {
	sess := currentSession(c)
	if sess.draft.Final() != nil {
		c.Redirect(http.StatusSeeOther, "/draft/document")
		return
	}
	page := reviewPage{Problems: listProblems(sess.draft.Problems()), Changes: sess.draft.Changes()}
	if document := sess.draft.Document(); document != nil {
		page.fetchPlan(c, sess.client, document)
	}
	s.render(c, http.StatusOK, "review", "Review", page)
}

// fetchPlan asks control for the plan and the cost of the document.
func (p *reviewPage) fetchPlan(c *gin.Context, client *adminclient.Client, document *fleet.Document) {
	text, err := fleet.Encode(document)
	if err == nil {
		p.Plan, err = client.Compare(c.Request.Context(), text)
	}
	if err != nil {
		p.NoPlan = err.Error()
	}
}

// postFinish finishes the draft and redirects to its document.
func (s *Server) postFinish(c *gin.Context) {
	sess := currentSession(c)
	if _, err := sess.draft.Finish(); err != nil {
		sess.notice = "The draft does not validate yet."
		c.Redirect(http.StatusSeeOther, "/draft/review")
		return
	}
	c.Redirect(http.StatusSeeOther, "/draft/document")
}

// documentPage is the data of the page that shows the finished document.
type documentPage struct {
	Base   uint64
	Digest string
	Text   string
	// Unanswered is the error of a submission whose outcome is unknown, or "".
	Unanswered string
	// Accepted is the answer to an accepted submission, or nil.
	Accepted *state.DocumentSubmissionAnswer
	Behind   string
}

func (s *Server) getDocument(c *gin.Context) {
	s.showDocument(c, http.StatusOK, documentPage{})
}

// showDocument renders the finished document with the outcome of a submission, if
// there was one.
func (s *Server) showDocument(c *gin.Context, status int, page documentPage) {
	d := currentSession(c).draft
	if d.Final() == nil {
		c.Redirect(http.StatusSeeOther, "/draft/review")
		return
	}
	page.Base = d.Base
	page.Digest = d.Document().Digest()
	page.Text = string(d.Final())
	s.render(c, status, "document", "Document", page)
}

func (s *Server) getDownload(c *gin.Context) {
	d := currentSession(c).draft
	if d.Final() == nil {
		c.Redirect(http.StatusSeeOther, "/draft/review")
		return
	}
	c.Header("Content-Disposition", fmt.Sprintf("attachment; filename=%q", d.Deployment()+".jsonc"))
	c.Data(http.StatusOK, "application/json", d.Final())
}

// postApply submits the document with the draft's base version. A repeated
// request is the same submission, so it can't overwrite what others applied since.
func (s *Server) postApply(c *gin.Context) {
	sess := currentSession(c)
	if sess.draft.Final() == nil {
		c.Redirect(http.StatusSeeOther, "/draft/review")
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.OperatorAction, Cause: fmt.Sprintf("console: %s applies a document on base %d", sess.claims.Subject, sess.draft.Base)})
	answer, err := sess.client.Submit(c.Request.Context(), sess.draft.Deployment()+".jsonc", sess.draft.Base, sess.draft.Final())
	if err == nil {
		s.showDocument(c, http.StatusOK, documentPage{Accepted: &answer})
		return
	}
	s.renderApplyError(c, err)
}

// renderApplyError responds to a submission that was refused or whose outcome is
// unknown.
func (s *Server) renderApplyError(c *gin.Context, err error) {
	var statusErr *adminclient.StatusError
	if !errors.As(err, &statusErr) || statusErr.Status >= http.StatusInternalServerError {
		s.showDocument(c, http.StatusBadGateway, documentPage{Unanswered: err.Error()})
		return
	}
	if winner, conflict := statusErr.Conflict(); conflict {
		s.showConflict(c, winner)
		return
	}
	s.renderError(c, statusErr.Status, "Control refused the document: "+statusErr.Fault.Message)
}

// conflictPage is the data of the page that compares the draft's changes with those
// that others applied since its base version.
type conflictPage struct {
	Base uint64
	// Winner is the submission that was accepted on the same base version.
	Winner state.Submission
	// Newest is the newest accepted version.
	Newest uint64
	// Theirs are the changes from Base to Newest, Mine those of the draft.
	Theirs []fleet.Change
	Mine   []fleet.Change
	// Both names the elements that are in Theirs and in Mine.
	Both []string
	// NoDiffs is the reason why the newest version could not be read, or "".
	NoDiffs string
}

// showConflict renders the conflict page with both sets of changes.
func (s *Server) showConflict(c *gin.Context, winner state.Submission) {
	sess := currentSession(c)
	page := conflictPage{Base: sess.draft.Base, Winner: winner, Mine: sess.draft.Changes()}
	accepted, err := sess.client.CurrentDocument(c.Request.Context())
	if err != nil {
		page.NoDiffs = err.Error()
	} else {
		page.Newest = accepted.Version
		page.Theirs = fleet.Diff(sess.draft.BaseDocument(), accepted.Document)
		page.Both = changedByBoth(page.Theirs, page.Mine)
	}
	s.render(c, http.StatusConflict, "conflict", "Conflict", page)
}

// changedByBoth returns the names of the elements that both sides changed.
func changedByBoth(theirs, mine []fleet.Change) []string {
	changed := map[string]bool{}
	for _, change := range theirs {
		changed[change.Section+" "+change.Name] = true
	}
	both := []string{}
	for _, change := range mine {
		element := change.Section + " " + change.Name
		if changed[element] {
			both = append(both, element)
			delete(changed, element)
		}
	}
	return both
}
