package console

import (
	"net/http"
	"strconv"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/console/draft"
)

// pageRows is the number of table rows on one page.
const pageRows = 100

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

// findSection returns the section named in the URL path, or renders a page with
// status 404.
func (s *Server) findSection(c *gin.Context) (draft.Section, bool) {
	section, known := draft.FindSection(c.Param("section"))
	if !known {
		s.renderError(c, http.StatusNotFound, "There is no such section.")
	}
	return section, known
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

// sectionLink returns the page to show after a change in the section.
func sectionLink(section draft.Section) string {
	if section.Single {
		return "/draft"
	}
	return "/draft/section/" + section.Name
}
