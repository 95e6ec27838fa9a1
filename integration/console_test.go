package integration

import (
	"crypto/tls"
	"encoding/json"
	"errors"
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

	"arbutusward.example/arbutusward/internal/console/draft"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/version/fleet"
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

// consoleLimit bounds the start of a console and other waits of its tests.
const consoleLimit = 10 * time.Second

// TestConsoleSessionEndsInOneDocumentThatValidatesAndIsApplied goes through a
// whole session: it signs in, makes a mistake in an edit and corrects it, reviews
// and finishes the draft, downloads the document and applies it.
func TestConsoleSessionEndsInOneDocumentThatValidatesAndIsApplied(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	b := d.signIn(d.addConsole(), keys.Operator)

	b.post(bookingPath, bookingForm("soon")).expect(t, http.StatusUnprocessableEntity,
		`href="#f-deadline-ms"`, `found "soon", expected a whole number`, `aria-describedby=" f-deadline-ms-error"`, `value="soon"`)
	b.get("/draft/review").expect(t, http.StatusOK, "No change.")
	b.post(bookingPath, bookingForm("2500")).expect(t, http.StatusSeeOther)
	b.post("/draft/moves", url.Values{"vm": {"office-a-1"}, "pool": {"booking"}}).expect(t, http.StatusSeeOther)
	b.get("/draft/review").expect(t, http.StatusOK, "2500", "vms office-a-1", "Plan and cost")
	b.get("/draft/download").expect(t, http.StatusSeeOther)
	b.post("/draft/finish", nil).expect(t, http.StatusSeeOther)
	b.post(bookingPath, bookingForm("2600")).expect(t, http.StatusConflict, "can't be changed")

	downloaded := b.get("/draft/download")
	downloaded.expect(t, http.StatusOK)
	if disposition := downloaded.header.Get("Content-Disposition"); disposition != `attachment; filename="small.jsonc"` {
		t.Errorf("disposition %q", disposition)
	}
	document, err := fleet.Parse("small.jsonc", []byte(downloaded.body))
	must(t, err)
	d.ctl(keys.Viewer, "validate", d.writeFile("downloaded.jsonc", downloaded.body)).expect(t, 0, document.Digest())
	b.post("/draft/apply", nil).expect(t, http.StatusOK, "Accepted as version 2")
	b.post("/draft/apply", nil).expect(t, http.StatusOK, "accepted before as version 2")
	status, err := d.status()
	must(t, err)
	if status.Accepted != 2 || status.Digest != document.Digest() {
		t.Errorf("version %d, digest %s, downloaded %s", status.Accepted, status.Digest, document.Digest())
	}
}

// TestConsoleConflictIsShownAsADifferenceAndOverwritesNothing applies a draft
// after another operator has changed the document.
func TestConsoleConflictIsShownAsADifferenceAndOverwritesNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	b := d.signIn(d.addConsole(), keys.Operator)
	b.post(bookingPath, bookingForm("2500")).expect(t, http.StatusSeeOther)
	b.post("/draft/finish", nil).expect(t, http.StatusSeeOther)
	d.apply(strings.Replace(smallFleet, `"deadline_ms": 2000`, `"deadline_ms": 2200`, 1))
	b.post("/draft/apply", nil).expect(t, http.StatusConflict,
		"Nothing was overwritten", "version 2 by tester", "Changed by both", "services booking", "2200", "2500")
	status, err := d.status()
	must(t, err)
	if status.Accepted != 2 {
		t.Errorf("version %d, expected 2", status.Accepted)
	}
	b.post("/draft/open", nil).expect(t, http.StatusSeeOther)
	b.get("/draft").expect(t, http.StatusOK, "Draft on version 2")
}

func TestConsoleRefusesAPostWithoutTheSessionsCSRFToken(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	base := d.addConsole()
	b := d.signIn(base, keys.Operator)
	other := d.signIn(base, keys.Operator)
	b.postRaw(bookingPath, bookingForm("2500"), nil).expect(t, http.StatusForbidden, "was not carried out")
	otherSession := bookingForm("2500")
	otherSession.Set("csrf", other.csrf)
	b.postRaw(bookingPath, otherSession, nil).expect(t, http.StatusForbidden)
	crossSite := bookingForm("2500")
	crossSite.Set("csrf", b.csrf)
	b.postRaw(bookingPath, crossSite, http.Header{"Sec-Fetch-Site": {"cross-site"}}).expect(t, http.StatusForbidden, "another site")
	b.get("/draft/review").expect(t, http.StatusOK, "No change.")
}

func TestConsoleViewerMayDownloadButNotApply(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	b := d.signIn(d.addConsole(), keys.Viewer)
	b.post(bookingPath, bookingForm("2500")).expect(t, http.StatusSeeOther)
	b.post("/draft/finish", nil).expect(t, http.StatusSeeOther)
	b.get("/draft/document").expect(t, http.StatusOK, "Your role may not apply it")
	b.get("/draft/download").expect(t, http.StatusOK)
	b.post("/draft/apply", nil).expect(t, http.StatusForbidden, "needs the role operator")
	status, err := d.status()
	must(t, err)
	if status.Accepted != 1 {
		t.Errorf("version %d, expected 1", status.Accepted)
	}
}

func TestConsoleRefusesAnOverLargeForm(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	b := d.signIn(d.addConsole(), keys.Operator)
	form := bookingForm("2500")
	form.Set("path_prefix", "/"+strings.Repeat("x", 70<<10))
	b.post(bookingPath, form).expect(t, http.StatusRequestEntityTooLarge, "larger")
}

func TestConsoleRequiresAValidOperatorToken(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	base := d.addConsole()
	b := d.signIn(base, keys.Operator)
	signedOut := newBrowser(t, base)
	for _, path := range []string{"/fleet", "/draft", "/draft/download", "/refusals", "/"} {
		page := signedOut.get(path)
		if page.status != http.StatusSeeOther || page.header.Get("Location") != "/sign-in" {
			t.Errorf("%s: status %d to %q", path, page.status, page.header.Get("Location"))
		}
	}
	for _, token := range []string{"", "forged.token", d.token(keys.Target, "booking")} {
		signedOut.postRaw("/sign-in", url.Values{"token": {token}}, nil).expect(t, http.StatusForbidden, "not valid here")
	}
	b.post("/sign-out", nil).expect(t, http.StatusSeeOther)
	if page := b.get("/fleet"); page.status != http.StatusSeeOther {
		t.Errorf("status %d after the sign-out", page.status)
	}
}

func TestConsoleRotatesTheSessionAtSignInAndHardensItsCookieAndPages(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	base := d.addConsole()
	b := d.signIn(base, keys.Operator)
	address, err := url.Parse(base)
	must(t, err)
	before := b.http.Jar.Cookies(address)[0].Value
	again := b.postRaw("/sign-in", url.Values{"token": {d.token(keys.Operator, "again")}}, nil)
	cookie := again.header.Get("Set-Cookie")
	for _, attribute := range []string{"__Host-", "Secure", "HttpOnly", "SameSite=Strict", "Path=/"} {
		if !strings.Contains(cookie, attribute) {
			t.Errorf("cookie %q lacks %s", cookie, attribute)
		}
	}
	old := newBrowser(t, base)
	old.http.Jar.SetCookies(address, []*http.Cookie{{Name: "__Host-arbutus-session", Value: before, Path: "/", Secure: true}})
	if page := old.get("/fleet"); page.status != http.StatusSeeOther {
		t.Errorf("the session from before the sign-in is still valid: status %d", page.status)
	}
	policy := b.get("/fleet").header.Get("Content-Security-Policy")
	if !strings.Contains(policy, "default-src 'none'") || strings.Contains(policy, "unsafe-inline") {
		t.Errorf("policy %q", policy)
	}
}

func TestConsolePresentsTheNodeCertificate(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	base := d.addConsole()
	d.signIn(base, keys.Viewer)
	ring, err := keys.LoadCA(d.dir + "/ca")
	must(t, err)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: ring.ClientTLS()}}
	resp, err := client.Get(base + "/sign-in")
	must(t, err)
	must(t, resp.Body.Close())
	if name := resp.TLS.PeerCertificates[0].Subject.CommonName; name != "console-1" {
		t.Errorf("certificate of %q", name)
	}
}

// TestConsoleLivePagesShowRefusalsPlotsAndAnUnreachableProcess kills an entry and
// checks the three pages that show the current state.
func TestConsoleLivePagesShowRefusalsPlotsAndAnUnreachableProcess(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	killed := d.addEntry("entry-a2", "za")
	d.apply(smallFleet)
	d.waitInForce(consoleLimit)
	b := d.signIn(d.addConsole(), keys.Viewer)
	sendWithID(t, entry.url()+"/nowhere", "ask-refused")
	killed.kill()
	b.get("/refusals").expect(t, http.StatusOK, "ask-refused", "entry-a2 at")
	b.get("/waves").expect(t, http.StatusOK, "kernel", "as the budgets allow")
	eventually(t, consoleLimit, "the fleet page has a plot", func() error {
		page := b.get("/fleet")
		if page.status != http.StatusOK || !strings.Contains(page.body, "<svg") || !strings.Contains(page.body, "Slots of service booking") {
			return errors.New("no plot yet")
		}
		return nil
	})
}

// TestConsoleSurvivesControlOutOfReach kills control in the middle of a session.
// The draft is kept and can be applied later.
func TestConsoleSurvivesControlOutOfReach(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	b := d.signIn(d.addConsole(), keys.Operator)
	b.post(bookingPath, bookingForm("2500")).expect(t, http.StatusSeeOther)
	d.controls["control-1"].kill()
	b.get("/fleet").expect(t, http.StatusOK, "Control gave no status")
	b.post("/draft/finish", nil).expect(t, http.StatusSeeOther)
	b.post("/draft/apply", nil).expect(t, http.StatusBadGateway, "may or may not be accepted", "Apply it again")
	var document fleet.Document
	must(t, json.Unmarshal([]byte(b.get("/draft/download").body), &document))
	if document.Services[0].DeadlineMS != 2500 {
		t.Errorf("the draft was lost: %+v", document.Services[0])
	}
}

// TestConsoleResendAfterALostAnswerIsTheSameSubmission drops the answer to an
// accepted draft. Another operator then applies a change on top of it, and the
// first operator applies the draft again.
func TestConsoleResendAfterALostAnswerIsTheSameSubmission(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.apply(smallFleet)
	lossy, passAnswers := d.newAnswerDropper(d.controls["control-1"].settings.Admin)
	b := d.signIn(d.addConsole(lossy), keys.Operator)
	b.post(bookingPath, bookingForm("2500")).expect(t, http.StatusSeeOther)
	b.post("/draft/finish", nil).expect(t, http.StatusSeeOther)
	b.post("/draft/apply", nil).expect(t, http.StatusBadGateway, "Apply it again")
	if version := d.apply(strings.Replace(smallFleet, `"deadline_ms": 3000`, `"deadline_ms": 3500`, 1)); version != 3 {
		t.Fatalf("the other operator got version %d, expected 3", version)
	}
	passAnswers.Store(true)
	b.post("/draft/apply", nil).expect(t, http.StatusOK, "accepted before as version 2")
	status, err := d.status()
	must(t, err)
	if status.Accepted != 3 {
		t.Errorf("newest version %d: the resend overwrote version 3", status.Accepted)
	}
}

var (
	fieldPattern  = regexp.MustCompile(`<(?:input|select|textarea)\b[^>]*>`)
	idPattern     = regexp.MustCompile(`\bid="([^"]+)"`)
	headerPattern = regexp.MustCompile(`<h1\b`)
	scriptPattern = regexp.MustCompile(`<script|<style|\sstyle=|\son[a-z]+=`)
)

// TestConsolePagesAreAccessibleAndContainNoScript checks that on each page every
// field has a label, IDs are unique, there are one main heading, a language and a
// skip link, and nothing that the content security policy forbids.
func TestConsolePagesAreAccessibleAndContainNoScript(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.addEntry("entry-a1", "za")
	d.apply(smallFleet)
	b := d.signIn(d.addConsole(), keys.Operator)
	paths := []string{"/sign-in", "/fleet", "/waves", "/refusals", "/draft", "/draft/budgets", "/draft/moves", "/draft/review", "/no-such-page"}
	for _, section := range draft.Sections() {
		paths = append(paths, "/draft/section/"+section.Name, "/draft/section/"+section.Name+"/edit")
	}
	for _, path := range paths {
		checkAccessible(t, path, b.get(path))
	}
	checkAccessible(t, "a form with faults", b.post(bookingPath, bookingForm("soon")))
}

// checkAccessible checks one page, unless it is a redirect.
func checkAccessible(t *testing.T, path string, page browserPage) {
	t.Helper()
	if page.status == http.StatusSeeOther {
		return
	}
	for _, field := range fieldPattern.FindAllString(page.body, -1) {
		if strings.Contains(field, `type="hidden"`) {
			continue
		}
		id := idPattern.FindStringSubmatch(field)
		if id == nil || !strings.Contains(page.body, `for="`+id[1]+`"`) {
			t.Errorf("%s: no label for %s", path, field)
		}
	}
	seen := map[string]bool{}
	for _, id := range idPattern.FindAllStringSubmatch(page.body, -1) {
		if seen[id[1]] {
			t.Errorf("%s: ID %s is used twice", path, id[1])
		}
		seen[id[1]] = true
	}
	if len(headerPattern.FindAllString(page.body, -1)) != 1 || !strings.Contains(page.body, `<html lang="en">`) || !strings.Contains(page.body, `href="#main"`) {
		t.Errorf("%s: expected one main heading, a language and a skip link", path)
	}
	if found := scriptPattern.FindString(page.body); found != "" {
		t.Errorf("%s: contains %q", path, found)
	}
}
