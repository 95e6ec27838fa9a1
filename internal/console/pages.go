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

// templates holds each page together with the layout.
var templates = parseTemplates()

func parseTemplates() map[string]*template.Template {
	functions := template.FuncMap{
		"time":     func(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05 UTC") },
		"ms":       formatMS,
		"join":     func(words []string) string { return strings.Join(words, ", ") },
		"args":     func(values ...string) []string { return values },
		"under":    under,
		"editLink": editLink,
		"waits":    groupWaits,
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

// under says whether a page stands below the address of a link.
func under(path, link string) bool {
	return path == link || strings.HasPrefix(path, link+"/")
}

// formatMS formats Unix milliseconds; 0 is never.
func formatMS(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05 UTC")
}

// fieldID makes the element identifier of a form field.
func fieldID(field string) string {
	return "f-" + strings.NewReplacer("/", "-", "_", "-", ":", "-").Replace(field)
}

// editLink links to the form, and the field, that mends a problem.
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

// errorPrefix begins the title of a page whose form is to be mended.
const errorPrefix = "Error: "

// layout is what every page is shown in.
type layout struct {
	Title string
	// Page is the data of the page itself.
	Page any
	// Session is nil before the sign-in.
	Session *sessionView
	Notice  string
	Refresh int
	// Path is the address of the page.
	Path string
}

// Heading is the title without the word that warns screen readers first.
func (l layout) Heading() string { return strings.TrimPrefix(l.Title, errorPrefix) }

// sessionView is what pages show of a session.
type sessionView struct {
	Subject, Role, CSRF string
	CanApply            bool
	Draft               *draftState
}

// draftState is the state of the draft, shown on each of its pages.
type draftState struct {
	Base     uint64
	Changes  int
	Problems int
	Finished bool
}

// render sends a page.
func (s *Server) render(c *gin.Context, status int, name, title string, page any) {
	data := layout{Title: title, Page: page, Refresh: refreshSeconds(c), Path: c.Request.URL.Path}
	if found, signedIn := c.Get(sessionKey); signedIn {
		live, _ := found.(*session)
		data.Session = viewOf(live)
		data.Notice = live.takeNotice()
	}
	var out bytes.Buffer
	if err := templates[name].Execute(&out, data); err != nil {
		s.log.Error("page failed", "page", name, logging.Err(err))
		c.String(http.StatusInternalServerError, "This page could not be made; see the log of the console.\n")
		return
	}
	c.Data(status, "text/html; charset=utf-8", out.Bytes())
}

func viewOf(live *session) *sessionView {
	shown := &sessionView{Subject: live.claims.Subject, Role: string(live.claims.Role), CSRF: live.csrf, CanApply: canApply(live)}
	if d := live.draft; d != nil {
		shown.Draft = &draftState{Base: d.Base, Changes: len(d.Changes()), Problems: len(d.Problems()), Finished: d.Final() != nil}
	}
	return shown
}

// fail ends a request with a page that says why.
func (s *Server) fail(c *gin.Context, status int, message string) {
	c.Abort()
	s.render(c, status, "error", fmt.Sprintf("%d %s", status, http.StatusText(status)), message)
}

func getStyle(c *gin.Context) {
	text, err := assets.ReadFile("assets/style.css")
	if err != nil {
		c.Status(http.StatusNotFound)
		return
	}
	c.Data(http.StatusOK, "text/css; charset=utf-8", text)
}
