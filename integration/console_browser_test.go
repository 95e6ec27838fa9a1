package integration

import (
	"crypto/tls"
	"html"
	"io"
	"net/http"
	"net/http/cookiejar"
	"net/url"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/settings"
)

// addConsole starts a console and returns its base URL. Without addresses it
// connects to all control processes directly.
func (d *deployment) addConsole(control ...string) string {
	d.t.Helper()
	s := settings.Console{ID: "console-1", KeysDir: filepath.Join(d.dir, "console-1"), Listen: freePort(d.t), SampleSeconds: 1, Control: control}
	if len(control) > 0 {
		return d.startConsole(s)
	}
	for _, c := range d.controls {
		s.Control = append(s.Control, c.settings.Admin)
	}
	return d.startConsole(s)
}

func (d *deployment) startConsole(s settings.Console) string {
	d.t.Helper()
	must(d.t, keys.Issue(d.dir+"/ca", s.KeysDir, s.ID))
	d.newProcess("arbutus-console", s.ID, s).start()
	return "https://" + s.Listen
}

// browser is the HTTP client of one operator at the console. It keeps cookies and
// does not follow redirects.
type browser struct {
	t    *testing.T
	base string
	http *http.Client
	// csrf is the CSRF token of the latest page that had a form.
	csrf string
}

// browserPage is a page as received, with the HTML entities in it unescaped.
type browserPage struct {
	status int
	header http.Header
	body   string
}

func newBrowser(t *testing.T, base string) *browser {
	t.Helper()
	jar, err := cookiejar.New(nil)
	must(t, err)
	// The console's certificate is checked in TestConsolePresentsTheNodeCertificate.
	transport := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	return &browser{t: t, base: base, http: &http.Client{Jar: jar, Transport: transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

var csrfPattern = regexp.MustCompile(`name="csrf" value="([^"]+)"`)

func (b *browser) do(req *http.Request) browserPage {
	b.t.Helper()
	resp, err := b.http.Do(req)
	must(b.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must(b.t, err)
	if found := csrfPattern.FindSubmatch(body); found != nil {
		b.csrf = string(found[1])
	}
	return browserPage{status: resp.StatusCode, header: resp.Header, body: html.UnescapeString(string(body))}
}

func (b *browser) get(path string) browserPage {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodGet, b.base+path, nil)
	must(b.t, err)
	return b.do(req)
}

// post sends a form with the CSRF token of the session.
func (b *browser) post(path string, values url.Values) browserPage {
	b.t.Helper()
	form := url.Values{"csrf": {b.csrf}}
	for name, value := range values {
		form[name] = value
	}
	return b.postRaw(path, form, nil)
}

// postRaw sends a form as it is, with additional header fields.
func (b *browser) postRaw(path string, form url.Values, header http.Header) browserPage {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodPost, b.base+path, strings.NewReader(form.Encode()))
	must(b.t, err)
	req.Header = header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	return b.do(req)
}

// signIn signs in with a token of the role and opens a draft.
func (d *deployment) signIn(base string, role keys.Role) *browser {
	d.t.Helper()
	b := newBrowser(d.t, base)
	form := url.Values{"token": {d.token(role, "console-"+string(role))}}
	eventually(d.t, consoleLimit, "the console answers", func() error {
		resp, err := b.http.Get(base + "/sign-in")
		if err != nil {
			return err
		}
		return resp.Body.Close()
	})
	b.postRaw("/sign-in", form, nil).expect(d.t, http.StatusSeeOther)
	b.get("/draft").expect(d.t, http.StatusOK)
	b.post("/draft/open", nil).expect(d.t, http.StatusSeeOther)
	return b
}

// expect checks the status and that the page contains the texts.
func (p browserPage) expect(t *testing.T, status int, texts ...string) {
	t.Helper()
	if p.status != status {
		t.Errorf("status %d, expected %d\n%s", p.status, status, p.body)
	}
	for _, text := range texts {
		if !strings.Contains(p.body, text) {
			t.Errorf("the page does not contain %q\n%s", text, p.body)
		}
	}
}

// bookingForm returns the form that edits service booking of smallFleet.
func bookingForm(deadline string) url.Values {
	return url.Values{"element": {"booking"}, "name": {"booking"}, "pool": {"booking"}, "path_prefix": {"/booking/"}, "class": {"interactive"},
		"deadline_ms": {deadline}, "spill": {"yes"}, "echoes_request_id": {"yes"}, "budget/promised_slots": {"16"}}
}

// bookingPath is where bookingForm is posted to.
const bookingPath = "/draft/section/services/edit"

// editAndFinish edits service booking in the draft and finishes the draft.
func (b *browser) editAndFinish() {
	b.t.Helper()
	b.post(bookingPath, bookingForm("2500")).expect(b.t, http.StatusSeeOther)
	b.post("/draft/finish", nil).expect(b.t, http.StatusSeeOther)
}

// consoleLimit bounds the start of a console and other waits of its tests.
const consoleLimit = 10 * time.Second
