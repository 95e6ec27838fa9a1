package integration

import (
	"net/http"
	"regexp"
	"strings"
	"testing"

	"arbutusward.example/arbutusward/internal/console/draft"
	"arbutusward.example/arbutusward/internal/process/keys"
)

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
