package console

import (
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/console/draft"
	"arbutusward.example/arbutusward/internal/process/keys"
)

// pageRows is the number of table rows on one page.
const pageRows = 100

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

// findSection returns the section named in the URL path, or renders a page with
// status 404.
func (s *Server) findSection(c *gin.Context) (draft.Section, bool) {
	section, known := draft.FindSection(c.Param("section"))
	if !known {
		s.renderError(c, http.StatusNotFound, "There is no such section.")
	}
	return section, known
}

// sectionPage is the data of the page that shows a section as a table.
type sectionPage struct {
	Section draft.Section
	// Labels are the column headings.
	Labels []string
	Rows   []draft.Row
	Search string
	// Total is the number of matching rows, Pages the number of pages and Page
	// the page that is shown, counted from 1.
	Total, Page, Pages int
}

// PageNumbers returns the numbers of all pages of the table.
func (p sectionPage) PageNumbers() []int {
	var numbers []int
	for n := 1; n <= p.Pages; n++ {
		numbers = append(numbers, n)
	}
	return numbers
}

func (s *Server) getSection(c *gin.Context) {
	section, known := s.findSection(c)
	if !known {
		return
	}
	if section.Single {
		c.Redirect(http.StatusSeeOther, "/draft/section/"+section.Name+"/edit")
		return
	}
	page := sectionPage{Section: section, Search: c.Query("search")}
	rows := currentSession(c).draft.Rows(section, page.Search)
	page.Total = len(rows)
	page.Pages = max(1, (len(rows)+pageRows-1)/pageRows)
	number, _ := strconv.Atoi(c.DefaultQuery("page", "1"))
	page.Page = min(max(number, 1), page.Pages)
	page.Rows = rows[(page.Page-1)*pageRows : min(page.Page*pageRows, len(rows))]
	for _, path := range section.Columns {
		page.Labels = append(page.Labels, columnLabel(section, path))
	}
	s.render(c, http.StatusOK, "section", section.Title, page)
}

// columnLabel returns the label of the field with the path, or the path if there is
// no such field.
func columnLabel(section draft.Section, path string) string {
	for _, field := range section.Fields {
		if field.Path == path {
			return field.Label
		}
	}
	return path
}

// formPage is the data of the form of one element.
type formPage struct {
	Section draft.Section
	// Name is the element's stored name, or "" for a new element.
	Name   string
	Groups []fieldGroup
	// Wrong lists the invalid fields, in the order of the form.
	Wrong []invalidField
}

// fieldGroup is one fieldset of a form.
type fieldGroup struct {
	Legend string
	Fields []formField
}

// invalidField is an entry of the error summary above a form.
type invalidField struct {
	ID, Label, Message string
}

// formField is one field with its value, its options and its problem, if any.
type formField struct {
	draft.Field
	ID      string
	Value   string
	Choices []choice
	Error   string
}

// DescribedBy returns the value of aria-describedby: the ids of the hint and the
// error.
func (f formField) DescribedBy() string {
	ids := ""
	if f.Hint != "" {
		ids = f.ID + "-hint"
	}
	if f.Error != "" {
		ids += " " + f.ID + "-error"
	}
	return ids
}

// choice is one option of a field and whether it is selected.
type choice struct {
	ID, Value string
	Chosen    bool
}

func (s *Server) getForm(c *gin.Context) {
	section, known := s.findSection(c)
	if !known {
		return
	}
	name := c.Query("name")
	values, err := currentSession(c).draft.Values(section, name)
	if err != nil {
		s.renderDraftError(c, err)
		return
	}
	s.showForm(c, http.StatusOK, section, name, values, nil)
}

// showForm renders the form of an element with the values and their problems.
func (s *Server) showForm(c *gin.Context, status int, section draft.Section, name string, values url.Values, problems draft.FieldProblems) {
	page := formPage{Section: section, Name: name}
	for _, field := range section.Fields {
		result := newFormField(currentSession(c).draft, field, values, problems[field.Path])
		page.add(result)
	}
	title := section.Title
	if !section.Single {
		title = "Change " + section.Singular + " " + name
		if name == "" {
			title = "New " + section.Singular
		}
	}
	if len(problems) > 0 {
		title = errorPrefix + title
	}
	s.render(c, status, "form", title, page)
}

// add appends a field to the fieldset of its group.
func (p *formPage) add(field formField) {
	index := slices.IndexFunc(p.Groups, func(g fieldGroup) bool { return g.Legend == field.Group })
	if index < 0 {
		index = len(p.Groups)
		p.Groups = append(p.Groups, fieldGroup{Legend: field.Group})
	}
	p.Groups[index].Fields = append(p.Groups[index].Fields, field)
	if field.Error != "" {
		p.Wrong = append(p.Wrong, invalidField{ID: field.ID, Label: field.Label, Message: field.Error})
	}
}

// newFormField returns the field with its submitted or stored value, its options
// from the draft, and its problem.
func newFormField(d *draft.Draft, field draft.Field, values url.Values, problem string) formField {
	result := formField{Field: field, ID: fieldID(field.Path), Value: values.Get(field.Path), Error: problem}
	if field.Options == "" {
		return result
	}
	for i, option := range d.Options(field.Options) {
		id := result.ID
		if field.Kind == draft.MultipleChoice && i > 0 {
			id += "-" + strconv.Itoa(i)
		}
		result.Choices = append(result.Choices, choice{ID: id, Value: option, Chosen: slices.Contains(values[field.Path], option)})
	}
	return result
}

func (s *Server) postForm(c *gin.Context) {
	section, known := s.findSection(c)
	if !known {
		return
	}
	sess := currentSession(c)
	form := c.Request.PostForm
	name := form.Get("element")
	problems, err := sess.draft.Put(section, name, form)
	switch {
	case err != nil:
		s.renderDraftError(c, err)
	case len(problems) > 0:
		s.showForm(c, http.StatusUnprocessableEntity, section, name, form, problems)
	default:
		sess.notice = "Stored in the draft."
		c.Redirect(http.StatusSeeOther, sectionLink(section))
	}
}

// sectionLink returns the page to show after a change in the section.
func sectionLink(section draft.Section) string {
	if section.Single {
		return "/draft"
	}
	return "/draft/section/" + section.Name
}

func (s *Server) postRemove(c *gin.Context) {
	section, known := s.findSection(c)
	if !known {
		return
	}
	sess := currentSession(c)
	name := c.Request.PostForm.Get("element")
	if err := sess.draft.Remove(section, name); err != nil {
		s.renderDraftError(c, err)
		return
	}
	sess.notice = "Removed " + section.Singular + " " + name + " from the draft."
	c.Redirect(http.StatusSeeOther, sectionLink(section))
}
