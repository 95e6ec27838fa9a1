package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/report"
)

// cliLimit bounds one run of the command line.
const cliLimit = 30 * time.Second

// cliResult is the exit code and output of a run of the command line.
type cliResult struct {
	code           int
	stdout, stderr string
}

// runCLI runs arbutusctl with the given arguments and no others.
func runCLI(t *testing.T, args ...string) cliResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), cliLimit)
	defer cancel()
	command := exec.CommandContext(ctx, filepath.Join(binDir, "arbutusctl"), args...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	result := cliResult{code: command.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
	if strings.Contains(result.stderr, "goroutine ") {
		t.Errorf("arbutusctl %v printed a stack trace:\n%s", args, result.stderr)
	}
	return result
}

// ctl runs arbutusctl against the deployment with a token of the role.
func (d *deployment) ctl(role keys.Role, args ...string) cliResult {
	d.t.Helper()
	return runCLI(d.t, append([]string{"--config", d.cliConfig(role, "")}, args...)...)
}

// cliConfig writes a settings file for the command line and returns its path. With
// an empty address the file names all control processes.
func (d *deployment) cliConfig(role keys.Role, address string) string {
	d.t.Helper()
	token := string(role) + ".token"
	must(d.t, os.WriteFile(filepath.Join(d.dir, token), []byte(d.token(role, "cli-"+string(role))+"\n"), 0o600))
	addresses := []string{address}
	if address == "" {
		addresses = nil
		for _, c := range d.controls {
			addresses = append(addresses, c.settings.Admin)
		}
	}
	list, err := json.Marshal(addresses)
	must(d.t, err)
	path := filepath.Join(d.dir, "cli.jsonc")
	text := "// for the tests\n{\"control\": " + string(list) + ", \"ca\": \"ca\", \"token\": \"" + token + "\"}"
	must(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// writeFile stores a text in the deployment's directory and returns its path.
func (d *deployment) writeFile(name, text string) string {
	d.t.Helper()
	path := filepath.Join(d.dir, name)
	must(d.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// expect checks the exit code and that the output contains the texts.
func (r cliResult) expect(t *testing.T, code int, texts ...string) {
	t.Helper()
	if r.code != code {
		t.Errorf("exit code %d, expected %d\nstdout: %s\nstderr: %s", r.code, code, r.stdout, r.stderr)
	}
	for _, text := range texts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Errorf("the output does not contain %q\nstdout: %s\nstderr: %s", text, r.stdout, r.stderr)
		}
	}
}

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

// newAnswerDropper starts a proxy for the administrative API of a control process.
// Until passAnswers is set, it closes the connection instead of passing on the
// answer to a submission.
func (d *deployment) newAnswerDropper(upstream string) (address string, passAnswers *atomic.Bool) {
	d.t.Helper()
	must(d.t, keys.Issue(d.dir+"/ca", d.dir+"/dropper", "dropper"))
	ring, err := keys.Load(d.dir + "/dropper")
	must(d.t, err)
	passAnswers = new(atomic.Bool)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: ring.ClientTLS()}}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		forward, err := http.NewRequest(r.Method, "https://"+upstream+r.URL.RequestURI(), r.Body)
		must(d.t, err)
		forward.Header = r.Header
		resp, err := client.Do(forward)
		must(d.t, err)
		defer resp.Body.Close()
		if r.URL.Path == "/v1/documents" && !passAnswers.Load() {
			panic(http.ErrAbortHandler)
		}
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	server.TLS = ring.ServerTLS()
	server.StartTLS()
	d.t.Cleanup(server.Close)
	return server.Listener.Addr().String(), passAnswers
}

// waitControl waits until a control process answers.
func (d *deployment) waitControl() {
	d.t.Helper()
	eventually(d.t, 15*time.Second, "control answers", func() error {
		_, err := d.status()
		return err
	})
}

func TestCLIApplyWaitNamesTheEntryThatIsNotInForce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.addEntry("entry-a1", "za")
	frozen := d.addEntry("entry-a2", "za")
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	frozen.signal(syscall.SIGSTOP)
	changed := d.writeFile("changed.jsonc", strings.Replace(smallFleet, `"deadline_ms": 2000`, `"deadline_ms": 2500`, 1))
	waiting := d.ctl(keys.Operator, "apply", "--wait", "--timeout", "2s", changed)
	waiting.expect(t, 1, "accepted as version 2", "in force in 1 of 2 entries, not in entry-a2")
	frozen.signal(syscall.SIGCONT)
	d.ctl(keys.Operator, "apply", "--base", "1", "--wait", "--timeout", "10s", changed).expect(t, 0, "version 2 is in force in 2 entries")
}

func TestCLITimelineExplainsARequestAndNamesAnUnreachableProcess(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	killed := d.addEntry("entry-a2", "za")
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	d.waitServed(entry.url() + "/booking/1")
	// The timeline keeps every success of a non-idempotent request.
	sendMethodWithID(t, http.MethodPost, entry.url()+"/booking/2", "ask-ran")
	sendWithID(t, entry.url()+"/nowhere", "ask-refused")
	killed.kill()
	ran := d.ctl(keys.Viewer, "timeline", "--request", "ask-ran")
	ran.expect(t, 0, "request ask-ran: ran", "version in force 1", "target booking-a-", "not collected: entry-a2")
	d.ctl(keys.Viewer, "timeline", "--request", "ask-refused").expect(t, 0, "request ask-refused: not-run", "reason: ")
	lines := d.ctl(keys.Viewer, "timeline", "--kind", "request-ran", "-o", "json")
	lines.expect(t, 0, `"request":"ask-ran"`)
	if strings.Contains(lines.stdout, "ask-refused") {
		t.Error("the filter by kind shows an event of another kind")
	}
}

// sendWithID sends a GET request with the given request ID.
func sendWithID(t *testing.T, url, id string) {
	t.Helper()
	sendMethodWithID(t, http.MethodGet, url, id)
}

// sendMethodWithID sends a request of the given method with the given request ID.
func sendMethodWithID(t *testing.T, method, url, id string) {
	t.Helper()
	req, err := http.NewRequest(method, url, nil)
	must(t, err)
	req.Header.Set("X-Request-Id", id)
	resp, err := http.DefaultClient.Do(req)
	must(t, err)
	must(t, resp.Body.Close())
}

// TestReportNamesTheKilledTargetTheRefusalAndTheUnreachableProcess has a request
// refused and kills a target and an entry within the time span of the report.
func TestReportNamesTheKilledTargetTheRefusalAndTheUnreachableProcess(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	killed := d.addEntry("entry-a2", "za")
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	d.waitServed(entry.url() + "/booking/1")
	time.Sleep(100 * time.Millisecond)
	from := time.Now().UTC().Format(time.RFC3339Nano)
	sendWithID(t, entry.url()+"/nowhere", "ask-refused")
	targets["booking-a-2"].Kill()
	killed.kill()
	var built report.Report
	eventually(t, 10*time.Second, "the report names the target", func() error {
		result := d.ctl(keys.Viewer, "report", "--from", from, "-o", "json")
		must(t, json.Unmarshal([]byte(result.stdout), &built))
		if len(built.Interruptions) == 0 {
			return errors.New("no interruption yet")
		}
		return nil
	})
	if lost := built.Interruptions[0]; lost.Subject != "booking-a-2" || lost.To != nil {
		t.Errorf("interruption %+v", lost)
	}
	if len(built.Unreachable) != 1 || built.Unreachable[0].Process != "entry-a2" || built.Complete {
		t.Errorf("unreachable %+v, complete %v", built.Unreachable, built.Complete)
	}
	if len(built.RefusedRequests) != 1 || built.RefusedRequests[0].Request != "ask-refused" {
		t.Errorf("refused %+v", built.RefusedRequests)
	}
	if pool := built.Pools[0]; pool.Lowest != 8 || len(pool.Causes) != 1 || !strings.Contains(pool.Causes[0], "booking-a-2") {
		t.Errorf("pool %+v", pool)
	}
	page := d.ctl(keys.Viewer, "report", "--from", from, "-o", "html")
	page.expect(t, 0, "<svg", "booking-a-2", "entry-a2 at", "ask-refused")
	d.ctl(keys.Viewer, "report", "--from", from).expect(t, 0, "entry-a2 at", "booking-a-2")
}

func TestMetricsNameTheLagOfAnEntryThatIsNotInForce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	d.addEntry("entry-a1", "za")
	frozen := d.addEntry("entry-a2", "za")
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	frozen.signal(syscall.SIGSTOP)
	d.apply(strings.Replace(smallFleet, `"deadline_ms": 2000`, `"deadline_ms": 2500`, 1))
	time.Sleep(1200 * time.Millisecond)
	var raw adminclient.Raw
	must(t, d.client.Do(context.Background(), http.MethodGet, "/metrics", nil, &raw))
	text := string(raw.Body)
	if !strings.Contains(text, `arbutus_in_force_lag_seconds{entry="entry-a1"} 0`) ||
		strings.Contains(text, `arbutus_in_force_lag_seconds{entry="entry-a2"} 0`+"\n") {
		t.Errorf("lag metrics:\n%s", text)
	}
	if !strings.Contains(text, "arbutus_build_info{") {
		t.Error("no build info")
	}
}

// readLog returns the log that a process has written so far.
func (d *deployment) readLog(id string) string {
	d.t.Helper()
	data, err := os.ReadFile(filepath.Join(d.dir, id+".log"))
	must(d.t, err)
	return string(data)
}
