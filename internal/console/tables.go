package console

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/console/draft"
)

// promisedPrefix begins the names of the fields of the budgets form; the
// name of the service follows.
const promisedPrefix = "promised:"

// budgetsPage is the form of all promises.
type budgetsPage struct {
	Budgets []budgetRow
	Wrong   []wrongField
}

type budgetRow struct {
	draft.Budget
	ID, Field, Error string
}

func (s *Server) getBudgets(c *gin.Context) {
	s.showBudgets(c, http.StatusOK, nil, nil)
}

// showBudgets shows the form with the values typed, if there are any.
func (s *Server) showBudgets(c *gin.Context, status int, typed map[string]string, wrong draft.FieldProblems) {
	var page budgetsPage
	for _, budget := range current(c).draft.Budgets() {
		row := budgetRow{Budget: budget, Field: promisedPrefix + budget.Service, Error: wrong[budget.Service]}
		row.ID = fieldID(row.Field)
		if value, given := typed[budget.Service]; given {
			row.Promised = value
		}
		if row.Error != "" {
			page.Wrong = append(page.Wrong, wrongField{ID: row.ID, Label: budget.Service, Message: row.Error})
		}
		page.Budgets = append(page.Budgets, row)
	}
	title := "Availability budgets"
	if len(wrong) > 0 {
		title = errorPrefix + title
	}
	s.render(c, status, "budgets", title, page)
}

func (s *Server) postBudgets(c *gin.Context) {
	live := current(c)
	promised := map[string]string{}
	for name, values := range c.Request.PostForm {
		if service, is := strings.CutPrefix(name, promisedPrefix); is {
			promised[service] = values[0]
		}
	}
	wrong, err := live.draft.PutBudgets(promised)
	switch {
	case err != nil:
		s.failDraft(c, err)
	case len(wrong) > 0:
		s.showBudgets(c, http.StatusUnprocessableEntity, promised, wrong)
	default:
		live.notice = "The budgets were stored in the draft."
		c.Redirect(http.StatusSeeOther, "/draft/budgets")
	}
}

// movesPage lists the moves of the draft and takes further ones.
type movesPage struct {
	Moves    []draft.Move
	VMs      []draft.PoolVMs
	VM, Pool string
	Errors   draft.FieldProblems
	Wrong    []wrongField
}

func (s *Server) getMoves(c *gin.Context) {
	s.showMoves(c, http.StatusOK, movesPage{})
}

func (s *Server) showMoves(c *gin.Context, status int, page movesPage) {
	d := current(c).draft
	page.Moves = d.Moves()
	page.VMs = d.VMsByPool()
	for _, field := range []struct{ name, label string }{{"vm", "VM"}, {"pool", "New pool"}} {
		if message := page.Errors[field.name]; message != "" {
			page.Wrong = append(page.Wrong, wrongField{ID: fieldID(field.name), Label: field.label, Message: message})
		}
	}
	title := "Moves"
	if len(page.Wrong) > 0 {
		title = errorPrefix + title
	}
	s.render(c, status, "moves", title, page)
}

func (s *Server) postMoves(c *gin.Context) {
	live := current(c)
	vm, pool := c.Request.PostForm.Get("vm"), c.Request.PostForm.Get("pool")
	wrong, err := live.draft.MoveVM(vm, pool)
	switch {
	case err != nil:
		s.failDraft(c, err)
	case len(wrong) > 0:
		s.showMoves(c, http.StatusUnprocessableEntity, movesPage{VM: vm, Pool: pool, Errors: wrong})
	default:
		live.notice = "VM " + vm + " is declared in pool " + pool + "."
		c.Redirect(http.StatusSeeOther, "/draft/moves")
	}
}
