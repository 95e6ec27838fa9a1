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

// pageRows is the number of rows on one page of a table.
const pageRows = 100

func canApply(live *session) bool { return live.claims.Role.Allows(keys.Operator) }

// requireDraft lets only sessions with an open draft pass.
func (s *Server) requireDraft(c *gin.Context) {
	if current(c).draft == nil {
		c.Redirect(http.StatusSeeOther, "/draft")
		c.Abort()
	}
}

// draftPage is the overview of a draft.
type draftPage struct {
	Open       bool
	Deployment string
	Sections   []sectionCount
	Problems   problemList
}

// maxProblems bounds the problems that a page lists.
const maxProblems = 50

// problemList is the problems of a draft as far as a page lists them.
type problemList struct {
	Shown []draft.Problem
	More  int
}

func listProblems(problems []draft.Problem) problemList {
	shown := problems[:min(len(problems), maxProblems)]
	return problemList{Shown: shown, More: len(problems) - len(shown)}
}

type sectionCount struct {
	draft.Section
	Count int
}

func (s *Server) getDraft(c *gin.Context) {
	page := draftPage{}
	if d := current(c).draft; d != nil {
		page.Open = true
		page.Deployment = d.Deployment()
		page.Problems = listProblems(d.Problems())
		for _, section := range draft.Sections() {
			page.Sections = append(page.Sections, sectionCount{Section: section, Count: len(d.Names(section.Name))})
		}
	}
	s.render(c, http.StatusOK, "draft", "Draft", page)
}

// postOpen opens a draft on the newest accepted version; an older draft of
// the session is given up.
func (s *Server) postOpen(c *gin.Context) {
	live := current(c)
	accepted, err := live.client.CurrentDocument(c.Request.Context())
	if err != nil {
		s.fail(c, http.StatusBadGateway, "The accepted document could not be read: "+err.Error())
		return
	}
	opened, err := draft.New(accepted.Version, accepted.Document)
	if err != nil {
		s.fail(c, http.StatusInternalServerError, err.Error())
		return
	}
	live.draft = opened
	live.notice = "A draft on version " + strconv.FormatUint(accepted.Version, 10) + " is open."
	c.Redirect(http.StatusSeeOther, "/draft")
}

func (s *Server) postDeployment(c *gin.Context) {
	live := current(c)
	if err := live.draft.SetDeployment(c.Request.PostForm.Get("deployment")); err != nil {
		s.failDraft(c, err)
		return
	}
	live.notice = "The name was stored."
	c.Redirect(http.StatusSeeOther, "/draft")
}

// failDraft answers a change that the draft does not take.
func (s *Server) failDraft(c *gin.Context, err error) {
	switch {
	case errors.Is(err, draft.ErrFinished):
		s.fail(c, http.StatusConflict, err.Error())
	case errors.Is(err, draft.ErrUnknownElement):
		s.fail(c, http.StatusNotFound, err.Error())
	default:
		s.fail(c, http.StatusInternalServerError, err.Error())
	}
}

// section returns the section that the path names, or answers with 404.
func (s *Server) section(c *gin.Context) (draft.Section, bool) {
	section, known := draft.FindSection(c.Param("section"))
	if !known {
		s.fail(c, http.StatusNotFound, "There is no such section.")
	}
	return section, known
}

// sectionPage is the table of a section.
type sectionPage struct {
	Section draft.Section
	// Labels are the headings of the columns.
	Labels []string
	Rows   []draft.Row
	Search string
	// Total counts all rows found; Page is the page shown, from 1.
	Total, Page, Pages int
}

// PageNumbers lists the pages of the table.
func (p sectionPage) PageNumbers() []int {
	var numbers []int
	for n := 1; n <= p.Pages; n++ {
		numbers = append(numbers, n)
	}
	return numbers
}

func (s *Server) getSection(c *gin.Context) {
	section, known := s.section(c)
	if !known {
		return
	}
	if section.Single {
		c.Redirect(http.StatusSeeOther, "/draft/section/"+section.Name+"/edit")
		return
	}
	page := sectionPage{Section: section, Search: c.Query("search")}
	rows := current(c).draft.Rows(section, page.Search)
	page.Total = len(rows)
	page.Pages = max(1, (len(rows)+pageRows-1)/pageRows)
	number, _ := strconv.Atoi(c.DefaultQuery("page", "1"))
	page.Page = min(max(number, 1), page.Pages)
	page.Rows = rows[(page.Page-1)*pageRows : min(page.Page*pageRows, len(rows))]
	for _, path := range section.Columns {
		page.Labels = append(page.Labels, labelOf(section, path))
	}
	s.render(c, http.StatusOK, "section", section.Title, page)
}

func labelOf(section draft.Section, path string) string {
	for _, field := range section.Fields {
		if field.Path == path {
			return field.Label
		}
	}
	return path
}

// formPage is the form of one element.
type formPage struct {
	Section draft.Section
	// Name is the element's name before the change, "" for a new one.
	Name   string
	Groups []fieldGroup
	// Wrong lists the fields to be mended, in the order of the form.
	Wrong []wrongField
}

type fieldGroup struct {
	Legend string
	Fields []formField
}

type wrongField struct {
	ID, Label, Message string
}

// formField is one field with its value.
type formField struct {
	draft.Field
	ID      string
	Value   string
	Choices []choice
	Error   string
}

// DescribedBy lists the identifiers of the hint and the error.
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

type choice struct {
	ID, Value string
	Chosen    bool
}

func (s *Server) getForm(c *gin.Context) {
	section, known := s.section(c)
	if !known {
		return
	}
	name := c.Query("name")
	values, err := current(c).draft.Values(section, name)
	if err != nil {
		s.failDraft(c, err)
		return
	}
	s.showForm(c, http.StatusOK, section, name, values, nil)
}

func (s *Server) showForm(c *gin.Context, status int, section draft.Section, name string, values url.Values, wrong draft.FieldProblems) {
	page := formPage{Section: section, Name: name}
	for _, field := range section.Fields {
		filled := fillField(current(c).draft, field, values, wrong[field.Path])
		page.add(filled)
	}
	title := section.Title
	if !section.Single {
		title = "Change " + section.Singular + " " + name
		if name == "" {
			title = "New " + section.Singular
		}
	}
	if len(wrong) > 0 {
		title = errorPrefix + title
	}
	s.render(c, status, "form", title, page)
}

// add puts a field into the fieldset of its group.
func (p *formPage) add(field formField) {
	place := slices.IndexFunc(p.Groups, func(g fieldGroup) bool { return g.Legend == field.Group })
	if place < 0 {
		place = len(p.Groups)
		p.Groups = append(p.Groups, fieldGroup{Legend: field.Group})
	}
	p.Groups[place].Fields = append(p.Groups[place].Fields, field)
	if field.Error != "" {
		p.Wrong = append(p.Wrong, wrongField{ID: field.ID, Label: field.Label, Message: field.Error})
	}
}

func fillField(d *draft.Draft, field draft.Field, values url.Values, wrong string) formField {
	filled := formField{Field: field, ID: fieldID(field.Path), Value: values.Get(field.Path), Error: wrong}
	if field.Options == "" {
		return filled
	}
	for i, option := range d.Options(field.Options) {
		id := filled.ID
		if field.Kind == draft.Several && i > 0 {
			id += "-" + strconv.Itoa(i)
		}
		filled.Choices = append(filled.Choices, choice{ID: id, Value: option, Chosen: slices.Contains(values[field.Path], option)})
	}
	return filled
}

func (s *Server) postForm(c *gin.Context) {
	section, known := s.section(c)
	if !known {
		return
	}
	live := current(c)
	form := c.Request.PostForm
	name := form.Get("element")
	wrong, err := live.draft.Put(section, name, form)
	switch {
	case err != nil:
		s.failDraft(c, err)
	case len(wrong) > 0:
		s.showForm(c, http.StatusUnprocessableEntity, section, name, form, wrong)
	default:
		live.notice = "Stored in the draft."
		c.Redirect(http.StatusSeeOther, sectionLink(section))
	}
}

func sectionLink(section draft.Section) string {
	if section.Single {
		return "/draft"
	}
	return "/draft/section/" + section.Name
}

func (s *Server) postRemove(c *gin.Context) {
	section, known := s.section(c)
	if !known {
		return
	}
	live := current(c)
	name := c.Request.PostForm.Get("element")
	if err := live.draft.Remove(section, name); err != nil {
		s.failDraft(c, err)
		return
	}
	live.notice = "Removed " + section.Singular + " " + name + " from the draft."
	c.Redirect(http.StatusSeeOther, sectionLink(section))
}
