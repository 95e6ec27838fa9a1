package console

import (
	"bytes"
	"embed"
	"fmt"
	"html/template"
	"io/fs"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/console/draft"
	"arbutusward.example/arbutusward/internal/process/logging"
)

//go:embed assets
var assets embed.FS

// templates holds the template of each page, parsed together with the layout, by
// page name.
var templates = parseTemplates()

// parseTemplates parses the embedded templates. It panics if one is malformed.
func parseTemplates() map[string]*template.Template {
	functions := template.FuncMap{
		"time":     func(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05 UTC") },
		"ms":       formatMS,
		"join":     func(words []string) string { return strings.Join(words, ", ") },
		"args":     func(values ...string) []string { return values },
		"under":    isUnder,
		"editLink": editLink,
		"waits":    groupByReason,
	}
	parsed := map[string]*template.Template{}
	paths, err := fs.Glob(assets, "assets/*.html")
	if err != nil {
		panic(err)
	}
	for _, file := range paths {
		name := strings.TrimSuffix(path.Base(file), ".html")
		if name == "layout" || name == "parts" {
			continue
		}
		parsed[name] = template.Must(template.New("layout.html").Funcs(functions).ParseFS(assets, "assets/layout.html", "assets/parts.html", file))
	}
	return parsed
}

// isUnder reports whether the path is that of the link or below it.
func isUnder(path, link string) bool {
	return path == link || strings.HasPrefix(path, link+"/")
}

// formatMS formats a Unix time in milliseconds; 0 means never.
func formatMS(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05 UTC")
}

// fieldID returns the HTML id of a form field.
func fieldID(field string) string {
	return "f-" + strings.NewReplacer("/", "-", "_", "-", ":", "-").Replace(field)
}

// editLink returns the link to the form, and if known the field, in which the
// problem can be fixed.
func editLink(p draft.Problem) string {
	section, known := draft.FindSection(p.Section)
	if !known {
		return "/draft#" + p.Section
	}
	if !section.Single && p.Name == "" {
		return "/draft/section/" + section.Name
	}
	link := "/draft/section/" + section.Name + "/edit?name=" + url.QueryEscape(p.Name)
	if p.Field != "" {
		link += "#" + fieldID(p.Field)
	}
	return link
}

// errorPrefix is the prefix of a page title if the form has invalid fields.
const errorPrefix = "Error: "

// layout is the data of the layout that encloses every page.
type layout struct {
	Title string
	// Page is the data of the page itself.
	Page any
	// Session is nil if nobody is signed in.
	Session *sessionView
	Notice  string
	// Refresh is the reload interval in seconds, or 0.
	Refresh int
	// Path is the URL path of the page.
	Path string
}

// Heading returns the title without errorPrefix, which only the title element needs
// for screen readers.
func (l layout) Heading() string { return strings.TrimPrefix(l.Title, errorPrefix) }

// sessionView is the part of a session that the layout shows.
type sessionView struct {
	Subject, Role, CSRF string
	CanApply            bool
	Draft               *draftState
}

// draftState is the state of the draft, which the layout shows.
type draftState struct {
	Base     uint64
	Changes  int
	Problems int
	Finished bool
}

// render executes the template with the name and sends the page. It shows the
// session's notice once.
func (s *Server) render(c *gin.Context, status int, name, title string, page any) {
	data := layout{Title: title, Page: page, Refresh: refreshSeconds(c), Path: c.Request.URL.Path}
	if value, signedIn := c.Get(sessionKey); signedIn {
		sess, _ := value.(*session)
		data.Session = newSessionView(sess)
		data.Notice = sess.takeNotice()
	}
	var out bytes.Buffer
	if err := templates[name].Execute(&out, data); err != nil {
		s.log.Error("page rendering failed", "page", name, logging.Err(err))
		c.String(http.StatusInternalServerError, "This page could not be made; see the log of the console.\n")
		return
	}
	c.Data(status, "text/html; charset=utf-8", out.Bytes())
}

// newSessionView returns the view of a session.
func newSessionView(sess *session) *sessionView {
	view := &sessionView{Subject: sess.claims.Subject, Role: string(sess.claims.Role), CSRF: sess.csrf, CanApply: canApply(sess)}
	if d := sess.draft; d != nil {
		view.Draft = &draftState{Base: d.Base, Changes: len(d.Changes()), Problems: len(d.Problems()), Finished: d.Final() != nil}
	}
	return view
}

// renderError aborts the request with an error page.
func (s *Server) renderError(c *gin.Context, status int, message string) {
	c.Abort()
	s.render(c, status, "error", fmt.Sprintf("%d %s", status, http.StatusText(status)), message)
}

// getStyle serves the style sheet.
func getStyle(c *gin.Context) {
	text, err := assets.ReadFile("assets/style.css")
	if err != nil {
		c.Status(http.StatusNotFound)
		return
	}
	c.Data(http.StatusOK, "text/css; charset=utf-8", text)
}
