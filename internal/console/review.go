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

// reviewPage shows what the draft changes and what that costs.
type reviewPage struct {
	Problems problemList
	Changes  []fleet.Change
	Plan     *adminclient.Comparison
	// NoPlan says why there is no plan.
	NoPlan string
}

func (s *Server) getReview(c *gin.Context) {
	live := current(c)
	if live.draft.Final() != nil {
		c.Redirect(http.StatusSeeOther, "/draft/document")
		return
	}
	page := reviewPage{Problems: listProblems(live.draft.Problems()), Changes: live.draft.Changes()}
	if document := live.draft.Document(); document != nil {
		page.plan(c, live.client, document)
	}
	s.render(c, http.StatusOK, "review", "Review", page)
}

// plan asks control for the cost of the document.
func (p *reviewPage) plan(c *gin.Context, client *adminclient.Client, document *fleet.Document) {
	text, err := fleet.Encode(document)
	if err == nil {
		p.Plan, err = client.Compare(c.Request.Context(), text)
	}
	if err != nil {
		p.NoPlan = err.Error()
	}
}

// postFinish ends the draft in its one document.
func (s *Server) postFinish(c *gin.Context) {
	live := current(c)
	if _, err := live.draft.Finish(); err != nil {
		live.notice = "The draft does not validate yet."
		c.Redirect(http.StatusSeeOther, "/draft/review")
		return
	}
	c.Redirect(http.StatusSeeOther, "/draft/document")
}

// documentPage shows the document that the draft ended in.
type documentPage struct {
	Base   uint64
	Digest string
	Text   string
	// Unanswered says that an application got no definite answer.
	Unanswered string
	Accepted   *state.DocumentSubmissionAnswer
	Behind     string
}

func (s *Server) getDocument(c *gin.Context) {
	s.showDocument(c, http.StatusOK, documentPage{})
}

func (s *Server) showDocument(c *gin.Context, status int, page documentPage) {
	d := current(c).draft
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
	d := current(c).draft
	if d.Final() == nil {
		c.Redirect(http.StatusSeeOther, "/draft/review")
		return
	}
	c.Header("Content-Disposition", fmt.Sprintf("attachment; filename=%q", d.Deployment()+".jsonc"))
	c.Data(http.StatusOK, "application/json", d.Final())
}

// postApply submits the document on the draft's base. Sent again, it is
// the same submission.
func (s *Server) postApply(c *gin.Context) {
	live := current(c)
	if live.draft.Final() == nil {
		c.Redirect(http.StatusSeeOther, "/draft/review")
		return
	}
	s.recorder.Record(timeline.Event{Kind: timeline.OperatorAction, Cause: fmt.Sprintf("console: %s applies a document on base %d", live.claims.Subject, live.draft.Base)})
	answer, err := live.client.Submit(c.Request.Context(), live.draft.Deployment()+".jsonc", live.draft.Base, live.draft.Final())
	if err == nil {
		s.showDocument(c, http.StatusOK, documentPage{Accepted: &answer})
		return
	}
	s.failApply(c, err)
}

// failApply answers a submission that was not accepted, or perhaps not.
func (s *Server) failApply(c *gin.Context, err error) {
	var refused *adminclient.StatusError
	if !errors.As(err, &refused) || refused.Status >= http.StatusInternalServerError {
		s.showDocument(c, http.StatusBadGateway, documentPage{Unanswered: err.Error()})
		return
	}
	if winner, conflict := refused.Conflict(); conflict {
		s.showConflict(c, winner)
		return
	}
	s.fail(c, refused.Status, "Control refused the document: "+refused.Fault.Message)
}

// conflictPage shows what others changed since the base.
type conflictPage struct {
	Base    uint64
	Winner  state.Submission
	Newest  uint64
	Theirs  []fleet.Change
	Mine    []fleet.Change
	Both    []string
	NoDiffs string
}

// showConflict shows the difference; nothing was overwritten.
func (s *Server) showConflict(c *gin.Context, winner state.Submission) {
	live := current(c)
	page := conflictPage{Base: live.draft.Base, Winner: winner, Mine: live.draft.Changes()}
	accepted, err := live.client.CurrentDocument(c.Request.Context())
	if err != nil {
		page.NoDiffs = err.Error()
	} else {
		page.Newest = accepted.Version
		page.Theirs = fleet.Diff(live.draft.BaseDocument(), accepted.Document)
		page.Both = changedByBoth(page.Theirs, page.Mine)
	}
	s.render(c, http.StatusConflict, "conflict", "Conflict", page)
}

// changedByBoth names the elements that both sides changed.
func changedByBoth(theirs, mine []fleet.Change) []string {
	changed := map[string]bool{}
	for _, change := range theirs {
		changed[change.Section+" "+change.Name] = true
	}
	both := []string{}
	for _, change := range mine {
		place := change.Section + " " + change.Name
		if changed[place] {
			both = append(both, place)
			delete(changed, place)
		}
	}
	return both
}
