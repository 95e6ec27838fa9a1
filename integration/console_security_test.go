package integration

import (
	"net/http"
	"net/url"
	"strings"
	"testing"

	"arbutusward.example/arbutusward/internal/process/keys"
)

func TestConsoleRefusesAPostWithoutTheSessionsCSRFToken(t *testing.T) {
	t.Parallel()
	d := newSmallDeployment(t)
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
	d := newSmallDeployment(t)
	b := d.signIn(d.addConsole(), keys.Viewer)
	b.editAndFinish()
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
	d := newSmallDeployment(t)
	b := d.signIn(d.addConsole(), keys.Operator)
	form := bookingForm("2500")
	form.Set("path_prefix", "/"+strings.Repeat("x", 70<<10))
	b.post(bookingPath, form).expect(t, http.StatusRequestEntityTooLarge, "larger")
}

func TestConsoleRequiresAValidOperatorToken(t *testing.T) {
	t.Parallel()
	d := newSmallDeployment(t)
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
	d := newSmallDeployment(t)
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
	d := newSmallDeployment(t)
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
