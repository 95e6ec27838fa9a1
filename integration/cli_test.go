package integration

import (
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
)

func TestCLIExitCodeOfEachCase(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	good := d.writeFile("good.jsonc", smallFleet)
	other := d.writeFile("other.jsonc", strings.Replace(smallFleet, `"promised_slots": 16`, `"promised_slots": 8`, 1))
	bad := d.writeFile("bad.jsonc", strings.Replace(smallFleet, `"pool": "booking", "path_prefix"`, `"pool": "bookings", "path_prefix"`, 1))
	moved := d.writeFile("moved.jsonc", strings.Replace(smallFleet, `"rack": "ra1"`, `"rack": "ra2"`, 1))
	d.waitControl()

	d.ctl(keys.Operator, "apply", "--base", "0", good).expect(t, 0, "accepted as version 1")
	d.ctl(keys.Operator, "apply", "--base", "0", good).expect(t, 0, "accepted before as version 1")
	d.ctl(keys.Viewer, "status", "-o", "json").expect(t, 0, `"accepted": 1`)
	d.ctl(keys.Viewer, "current").expect(t, 0, "version 1", `"deployment": "small"`)
	d.ctl(keys.Operator, "apply", "--base", "0", other).expect(t, 3, "conflict", "version 1")
	d.ctl(keys.Viewer, "apply", "--base", "1", other).expect(t, 5, "forbidden")
	d.ctl(keys.Operator, "apply", "--base", "1", moved).expect(t, 5, "refused", "rack")
	d.ctl(keys.Operator, "validate", bad).expect(t, 2, "bad.jsonc:", "/services/0/pool", `"bookings"`)
	d.ctl(keys.Operator, "apply", filepath.Join(d.dir, "none.jsonc")).expect(t, 2, "none.jsonc")
	d.ctl(keys.Operator, "no-such-command").expect(t, 2, "no-such-command")
	d.ctl(keys.Operator, "keys", "no-such-command").expect(t, 2, "no-such-command")
	d.ctl(keys.Operator, "status", "--no-such-flag").expect(t, 2, "no-such-flag")
	d.ctl(keys.Operator, "status", "-o", "xml").expect(t, 2, "xml")
	d.ctl(keys.Operator, "keys", "init").expect(t, 2, "ca-dir")
	d.ctl(keys.Operator, "timeline", "--from", "yesterday").expect(t, 2, "yesterday")
	d.ctl(keys.Operator, "report").expect(t, 2, "--from")
	for _, command := range []string{"wave start", "move only-a-vm", "entry remove", "job submit", "job submit none.jsonc", "job show", "job cancel", "plan"} {
		d.ctl(keys.Operator, strings.Fields(command)...).expect(t, 2)
	}
	runCLI(t, "status").expect(t, 2, "--control")
	runCLI(t, "--config", d.cliConfig(keys.Viewer, freePort(t)), "status").expect(t, 4, "could be reached")
	runCLI(t, "completion", "bash").expect(t, 0, "complete")
	runCLI(t, "apply", "--help").expect(t, 0, "Examples:", "--dry-run")
}

func TestCLIDryRunShowsTheDifferenceAndSubmitsNothing(t *testing.T) {
	t.Parallel()
	d := newSmallDeployment(t)
	changed := d.writeFile("changed.jsonc", strings.Replace(smallFleet, `"deadline_ms": 2000`, `"deadline_ms": 2500`, 1))
	d.ctl(keys.Operator, "apply", "--dry-run", changed).expect(t, 0, "services booking: deadline_ms from 2000 to 2500", "nothing was submitted")
	status, err := d.status()
	must(t, err)
	if status.Accepted != 1 {
		t.Errorf("version %d, expected 1", status.Accepted)
	}
}

// TestCLIResendAfterALostAnswerDoesNotOverwriteWhatOthersAppliedSince drops the
// answer to an accepted submission. Another operator then applies a change on
// top of it, and the first operator runs the same command again.
func TestCLIResendAfterALostAnswerDoesNotOverwriteWhatOthersAppliedSince(t *testing.T) {
	t.Parallel()
	d := newSmallDeployment(t)
	mine := d.writeFile("mine.jsonc", strings.Replace(smallFleet, `"deadline_ms": 2000`, `"deadline_ms": 2500`, 1))
	lossy, _ := d.newAnswerDropper(d.controls["control-1"].settings.Admin)
	lostAnswer := runCLI(t, "--config", d.cliConfig(keys.Operator, lossy), "apply", "--resend-for", "0s", mine)
	lostAnswer.expect(t, 4, "may or may not be accepted on base 1", "run the same command again")

	theirs := strings.Replace(smallFleet, `"deadline_ms": 3000`, `"deadline_ms": 3500`, 1)
	if version := d.apply(theirs); version != 3 {
		t.Fatalf("the other operator got version %d, expected 3", version)
	}
	d.ctl(keys.Operator, "apply", mine).expect(t, 0, "accepted before as version 2 on base 1")
	status, err := d.status()
	must(t, err)
	if status.Accepted != 3 {
		t.Errorf("newest version %d: the resend overwrote version 3", status.Accepted)
	}
}

func TestCLIApplyWaitNamesTheEntryThatIsNotInForce(t *testing.T) {
	t.Parallel()
	d, _, frozen := newZonePeers(t)
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	frozen.signal(syscall.SIGSTOP)
	changed := d.writeFile("changed.jsonc", strings.Replace(smallFleet, `"deadline_ms": 2000`, `"deadline_ms": 2500`, 1))
	waiting := d.ctl(keys.Operator, "apply", "--wait", "--timeout", "2s", changed)
	waiting.expect(t, 1, "accepted as version 2", "in force in 1 of 2 entries, not in entry-a2")
	frozen.signal(syscall.SIGCONT)
	d.ctl(keys.Operator, "apply", "--base", "1", "--wait", "--timeout", "10s", changed).expect(t, 0, "version 2 is in force in 2 entries")
}
