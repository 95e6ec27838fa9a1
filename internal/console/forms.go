package console

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/console/draft"
)

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
