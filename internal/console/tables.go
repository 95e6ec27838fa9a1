package console

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/console/draft"
)

// promisedPrefix is the prefix of the field names of the budgets form. The name of
// the service follows.
const promisedPrefix = "promised:"

// budgetsPage is the data of the form that edits the budgets of all services.
type budgetsPage struct {
	Budgets []budgetRow
	// Wrong lists the invalid fields, in the order of the form.
	Wrong []invalidField
}

// budgetRow is the form field of one service.
type budgetRow struct {
	draft.Budget
	ID, Field, Error string
}

func (s *Server) getBudgets(c *gin.Context) {
	s.showBudgets(c, http.StatusOK, nil, nil)
}

// showBudgets renders the form. Values in submitted, by service name, replace those
// of the draft.
func (s *Server) showBudgets(c *gin.Context, status int, submitted map[string]string, problems draft.FieldProblems) {
	var page budgetsPage
	for _, budget := range currentSession(c).draft.Budgets() {
		row := budgetRow{Budget: budget, Field: promisedPrefix + budget.Service, Error: problems[budget.Service]}
		row.ID = fieldID(row.Field)
		if value, given := submitted[budget.Service]; given {
			row.Promised = value
		}
		if row.Error != "" {
			page.Wrong = append(page.Wrong, invalidField{ID: row.ID, Label: budget.Service, Message: row.Error})
		}
		page.Budgets = append(page.Budgets, row)
	}
	title := "Availability budgets"
	if len(problems) > 0 {
		title = errorPrefix + title
	}
	s.render(c, status, "budgets", title, page)
}

func (s *Server) postBudgets(c *gin.Context) {
	sess := currentSession(c)
	promised := map[string]string{}
	for name, values := range c.Request.PostForm {
		if service, ok := strings.CutPrefix(name, promisedPrefix); ok {
			promised[service] = values[0]
		}
	}
	problems, err := sess.draft.PutBudgets(promised)
	switch {
	case err != nil:
		s.renderDraftError(c, err)
	case len(problems) > 0:
		s.showBudgets(c, http.StatusUnprocessableEntity, promised, problems)
	default:
		sess.notice = "The budgets were stored in the draft."
		c.Redirect(http.StatusSeeOther, "/draft/budgets")
	}
}

// movesPage is the data of the page that lists the moves of the draft and has a
// form for another one.
type movesPage struct {
	Moves []draft.Move
	VMs   []draft.PoolVMs
	// VM and Pool are the submitted values if they were invalid. Errors holds
	// their problems and Wrong lists the invalid fields.
	VM, Pool string
	Errors   draft.FieldProblems
	Wrong    []invalidField
}

func (s *Server) getMoves(c *gin.Context) {
	s.showMoves(c, http.StatusOK, movesPage{})
}

// showMoves renders the page and fills in what it shows of the draft.
func (s *Server) showMoves(c *gin.Context, status int, page movesPage) {
	d := currentSession(c).draft
	page.Moves = d.Moves()
	page.VMs = d.VMsByPool()
	for _, field := range []struct{ name, label string }{{"vm", "VM"}, {"pool", "New pool"}} {
		if message := page.Errors[field.name]; message != "" {
			page.Wrong = append(page.Wrong, invalidField{ID: fieldID(field.name), Label: field.label, Message: message})
		}
	}
	title := "Moves"
	if len(page.Wrong) > 0 {
		title = errorPrefix + title
	}
	s.render(c, status, "moves", title, page)
}

func (s *Server) postMoves(c *gin.Context) {
	sess := currentSession(c)
	vm, pool := c.Request.PostForm.Get("vm"), c.Request.PostForm.Get("pool")
	problems, err := sess.draft.MoveVM(vm, pool)
	switch {
	case err != nil:
		s.renderDraftError(c, err)
	case len(problems) > 0:
		s.showMoves(c, http.StatusUnprocessableEntity, movesPage{VM: vm, Pool: pool, Errors: problems})
	default:
		sess.notice = "VM " + vm + " is declared in pool " + pool + "."
		c.Redirect(http.StatusSeeOther, "/draft/moves")
	}
}
