// Package integration runs the compiled programs against stand-ins for the
// platform and the targets, and through relays that inject network faults.
package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/standin"
)

// binDir is the directory of the compiled programs under test.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "arbutus-bin-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	binDir = dir
	gin.SetMode(gin.ReleaseMode)
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build programs: %v\n%s", err, out))
	}
	return m.Run()
}

// process is a program under test, which may be started more than once.
type process struct {
	t       *testing.T
	id      string
	path    string
	args    []string
	logPath string
	// env holds additional environment variables.
	env []string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
}

// start starts the program and appends its output to the log file.
func (p *process) start() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(p.t, err)
	p.cmd = exec.Command(p.path, p.args...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stderr = out
	p.cmd.Stdout = out
	must(p.t, p.cmd.Start())
	must(p.t, out.Close())
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		// The exit code is read from ProcessState where it matters.
		_ = cmd.Wait()
		close(exited)
	}()
}

// signal sends a signal. It has no effect on a process that has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// freezeLimit is how long a process may take to stop after SIGSTOP.
const freezeLimit = time.Second

// freeze sends SIGSTOP and waits until the process has stopped. kill returns
// earlier, and a busy machine delays the stop.
func (p *process) freeze() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	eventually(p.t, freezeLimit, p.id+" has stopped", func() error {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		if err != nil {
			return err
		}
		// The state follows the name of the program, which is in parentheses.
		state := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))[0]
		if state != "T" {
			return fmt.Errorf("state %s", state)
		}
		return nil
	})
}

// kill ends the process at once, like a power cut, and waits for its exit. A
// suspended process is resumed first.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(10 * time.Second)
}

// stop sends SIGTERM and waits until the process has shut down gracefully.
func (p *process) stop(limit time.Duration) {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	p.wait(limit)
}

func (p *process) wait(limit time.Duration) {
	p.t.Helper()
	if p.exited == nil {
		return
	}
	select {
	case <-p.exited:
	case <-time.After(limit):
		p.t.Errorf("%s did not exit within %s", p.id, limit)
	}
}

// deployment is a set of control processes and entries with their stand-ins.
type deployment struct {
	t   *testing.T
	dir string
	// document is the fleet document that apply submitted last.
	document string
	controls map[string]*controlProcess
	entries  map[string]*entryProcess
	platform *standin.Platform
	// platformServer serves the platform's API.
	platformServer *httptest.Server
	client         *adminclient.Client
}

type controlProcess struct {
	*process
	settings settings.Control
}

type entryProcess struct {
	*process
	settings settings.Entry
}

// url returns the base URL at which the entry serves callers.
func (e *entryProcess) url() string { return "http://" + e.settings.Callers }

// newDeployment creates the certificate authority and the platform stand-in.
// The test adds control processes and entries itself.
func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), controls: map[string]*controlProcess{}, entries: map[string]*entryProcess{},
		platform: standin.NewPlatform(300 * time.Millisecond)}
	must(t, keys.Init(d.dir+"/ca"))
	d.platformServer = httptest.NewServer(d.platform.Handler())
	t.Cleanup(d.platformServer.Close)
	t.Cleanup(d.dumpLogs)
	return d
}

// dumpLogs prints the last lines of every log if the test has failed.
func (d *deployment) dumpLogs() {
	if !d.t.Failed() {
		return
	}
	logs, err := filepath.Glob(d.dir + "/*.log")
	must(d.t, err)
	for _, path := range logs {
		data, err := os.ReadFile(path)
		must(d.t, err)
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		d.t.Logf("%s:\n%s", filepath.Base(path), strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
}

// addControls starts one voter for each zone given: control-1 in zones[0],
// control-2 in zones[1], and so on.
func (d *deployment) addControls(zones ...string) {
	d.t.Helper()
	var members []settings.Member
	for i := range zones {
		members = append(members, settings.Member{ID: fmt.Sprintf("control-%d", i+1), Link: freePort(d.t), Admin: freePort(d.t)})
	}
	for i, zone := range zones {
		d.startControl(settings.Control{ID: members[i].ID, Zone: zone, Link: members[i].Link, Admin: members[i].Admin, Members: members})
	}
	d.connect()
}

// startControl adds the directories and the platform's address to the settings
// and starts the control process.
func (d *deployment) startControl(s settings.Control) *controlProcess {
	d.t.Helper()
	s.KeysDir = filepath.Join(d.dir, s.ID)
	s.DataDir = filepath.Join(d.dir, s.ID, "data")
	s.Platform = d.platformServer.URL
	must(d.t, keys.Issue(d.dir+"/ca", s.KeysDir, s.ID))
	c := &controlProcess{process: d.newProcess("arbutus-control", s.ID, s), settings: s}
	d.controls[s.ID] = c
	c.start()
	return c
}

// addEntry starts an entry that reaches control at the given addresses. Without
// addresses it connects to all control processes directly.
func (d *deployment) addEntry(id, zone string, control ...string) *entryProcess {
	d.t.Helper()
	if len(control) == 0 {
		for _, c := range d.controls {
			control = append(control, c.settings.Link)
		}
	}
	s := settings.Entry{ID: id, Zone: zone, KeysDir: filepath.Join(d.dir, id), Callers: freePort(d.t), Announce: freePort(d.t),
		Link: freePort(d.t), Admin: freePort(d.t), Control: control, DrainMS: 300}
	must(d.t, keys.Issue(d.dir+"/ca", s.KeysDir, id))
	e := &entryProcess{process: d.newProcess("arbutus-entry", id, s), settings: s}
	d.entries[id] = e
	e.start()
	return e
}

// newProcess writes the settings file of a program. It does not start it.
func (d *deployment) newProcess(program, id string, s any) *process {
	d.t.Helper()
	path := filepath.Join(d.dir, id+".jsonc")
	text, err := json.Marshal(s)
	must(d.t, err)
	must(d.t, os.WriteFile(path, text, 0o600))
	p := &process{t: d.t, id: id, path: filepath.Join(binDir, program), args: []string{"--settings", path}, logPath: filepath.Join(d.dir, id+".log")}
	d.t.Cleanup(p.kill)
	return p
}

// connect creates the operators' client for the control processes of the
// deployment.
func (d *deployment) connect() {
	d.t.Helper()
	ring, err := keys.LoadCA(d.dir + "/ca")
	must(d.t, err)
	var addresses []string
	for _, c := range d.controls {
		addresses = append(addresses, c.settings.Admin)
	}
	d.client = adminclient.New(ring, addresses, d.token(keys.Admin, "tester"))
}

// token issues a token that is valid for an hour.
func (d *deployment) token(role keys.Role, subject string) string {
	d.t.Helper()
	token, err := keys.IssueToken(d.dir+"/ca", keys.Claims{Role: role, Subject: subject, Expires: time.Now().Add(time.Hour).Unix()})
	must(d.t, err)
	return token
}

// addTarget starts a stand-in VM whose target announces itself to all entries
// of the zone that have been started so far.
func (d *deployment) addTarget(vm, pool, zone string, services ...string) *standin.Target {
	d.t.Helper()
	config := standin.TargetConfig{VM: vm, Token: d.token(keys.Target, pool), Services: services}
	for _, e := range d.entries {
		if e.settings.Zone == zone {
			config.Entries = append(config.Entries, e.settings.Announce)
		}
	}
	target, err := d.platform.Add(config)
	must(d.t, err)
	d.t.Cleanup(target.Kill)
	return target
}

// apply submits the document, based on the newest version, until it is
// accepted, and returns its version.
func (d *deployment) apply(document string) uint64 {
	d.t.Helper()
	d.document = document
	var version uint64
	eventually(d.t, 15*time.Second, "the document is accepted", func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		status, err := d.client.Status(ctx)
		if err != nil {
			return err
		}
		answer, err := d.client.Submit(ctx, "test.jsonc", status.Accepted, []byte(document))
		version = answer.Submission.Version
		return err
	})
	return version
}

// waitInForce waits until the newest version is in force in all entries.
func (d *deployment) waitInForce(limit time.Duration) {
	d.t.Helper()
	eventually(d.t, limit, "the version is in force", func() error {
		status, err := d.status()
		if err != nil {
			return err
		}
		if !status.InForce || len(status.Entries) < len(d.entries) {
			return fmt.Errorf("accepted %d, entries %+v", status.Accepted, status.Entries)
		}
		return nil
	})
}

func (d *deployment) status() (control.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return d.client.Status(ctx)
}

// waitServed waits until a GET of the URL is answered with 200.
func (d *deployment) waitServed(url string) {
	d.t.Helper()
	eventually(d.t, 10*time.Second, "the entry serves "+url, func() error {
		resp, err := http.Get(url)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %s", resp.Status)
		}
		return nil
	})
}

// eventually repeats a check until it passes, and fails the test if it has not
// passed within the limit.
func eventually(t *testing.T, limit time.Duration, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s: %v", limit, what, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// smallFleet is a fleet document with two zones, two pools and three services,
// of which "cleanup" is for batch requests.
const smallFleet = `{
  "schema": 1, "deployment": "small",
  "zones": [{"name": "za", "racks": ["ra1", "ra2"]}, {"name": "zb", "racks": ["rb1", "rb2"]}],
  "pools": [
    {"name": "booking", "tolerate": {"racks": 0, "vms": 1}},
    {"name": "office", "spare": true, "job_share": 0.5, "tolerate": {"racks": 0, "vms": 1}}
  ],
  "vms": [
    {"name": "booking-a", "count": 2, "pool": "booking", "zone": "za", "rack": "ra1", "cpu_cores": 4, "memory_gib": 8},
    {"name": "booking-b", "count": 2, "pool": "booking", "zone": "zb", "rack": "rb1", "cpu_cores": 4, "memory_gib": 8},
    {"name": "office-a", "count": 2, "pool": "office", "zone": "za", "rack": "ra2", "cpu_cores": 4, "memory_gib": 8},
    {"name": "office-b", "count": 2, "pool": "office", "zone": "zb", "rack": "rb2", "cpu_cores": 4, "memory_gib": 8}
  ],
  "services": [
    {"name": "booking", "pool": "booking", "path_prefix": "/booking/", "class": "interactive", "deadline_ms": 2000, "spill": true, "echoes_request_id": true, "budget": {"promised_slots": 16}},
    {"name": "office", "pool": "office", "path_prefix": "/office/", "class": "interactive", "deadline_ms": 3000, "budget": {"promised_slots": 16}},
    {"name": "cleanup", "pool": "office", "path_prefix": "/cleanup/", "class": "batch", "deadline_ms": 30000, "budget": {"promised_slots": 0}}
  ],
  "teams": [{"name": "divers", "quota": {"cpu_cores": 16, "memory_gib": 32}}],
  "waves": [{"name": "kernel", "pools": ["booking", "office"], "settle_s": 1}],
  "weights": {"buffer": 1, "rollout": 1, "moves": 1}
}`

// smallServices lists the services of smallFleet.
var smallServices = []string{"booking", "office", "cleanup"}

// addSmallTargets starts the targets of the eight VMs of smallFleet and returns
// them by the name of the VM.
func (d *deployment) addSmallTargets() map[string]*standin.Target {
	d.t.Helper()
	targets := map[string]*standin.Target{}
	for _, pool := range []string{"booking", "office"} {
		for _, zone := range []string{"a", "b"} {
			for i := 1; i <= 2; i++ {
				name := fmt.Sprintf("%s-%s-%d", pool, zone, i)
				targets[name] = d.addTarget(name, pool, "z"+zone, smallServices...)
			}
		}
	}
	return targets
}
