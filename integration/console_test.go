package integration

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

// TestConsoleSessionEndsInOneDocumentThatValidatesAndIsApplied goes through a
// whole session: it signs in, makes a mistake in an edit and corrects it, reviews
// and finishes the draft, downloads the document and applies it.
func TestConsoleSessionEndsInOneDocumentThatValidatesAndIsApplied(t *testing.T) {
	t.Parallel()
	d := newSmallDeployment(t)
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
	d := newSmallDeployment(t)
	b := d.signIn(d.addConsole(), keys.Operator)
	b.editAndFinish()
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

// TestConsoleLivePagesShowRefusalsPlotsAndAnUnreachableProcess kills an entry and
// checks the three pages that show the current state.
func TestConsoleLivePagesShowRefusalsPlotsAndAnUnreachableProcess(t *testing.T) {
	t.Parallel()
	d, entry, killed := newZonePeers(t)
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
	d := newSmallDeployment(t)
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
	d := newSmallDeployment(t)
	lossy, passAnswers := d.newAnswerDropper(d.controls["control-1"].settings.Admin)
	b := d.signIn(d.addConsole(lossy), keys.Operator)
	b.editAndFinish()
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
