// Package integration runs the real programs against stand-ins and through
// relays that inject faults.
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

// binDir holds the programs under test.
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

// process is one running program.
type process struct {
	t    *testing.T
	id   string
	path string
	args []string
	log  string
	// env is added to the environment.
	env []string

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed once the process has ended.
	exited chan struct{}
}

// start runs the program; its log is appended to a file.
func (p *process) start() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// signal sends a signal; the process may be gone.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process at once, like a power cut, and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.wait(10 * time.Second)
}

// stop ends the process gracefully.
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
		p.t.Errorf("%s has not ended within %s", p.id, limit)
	}
}

// deployment is a set of running programs with their stand-ins.
type deployment struct {
	t   *testing.T
	dir string
	// document is the text applied by apply.
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

// url is the callers' base URL of the entry.
func (e *entryProcess) url() string { return "http://" + e.settings.Callers }

// newDeployment makes keys; controls and entries are added after.
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

// dumpLogs shows the ends of all logs after a failure.
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

// addControls starts voters control-1..n, voter i in zone zones[i].
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

// startControl fills in the folders and starts one control process.
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

// addEntry starts an entry that reaches control at the addresses given;
// none means the controls' own.
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

func (d *deployment) newProcess(program, id string, s any) *process {
	d.t.Helper()
	path := filepath.Join(d.dir, id+".jsonc")
	text, err := json.Marshal(s)
	must(d.t, err)
	must(d.t, os.WriteFile(path, text, 0o600))
	p := &process{t: d.t, id: id, path: filepath.Join(binDir, program), args: []string{"--settings", path}, log: filepath.Join(d.dir, id+".log")}
	d.t.Cleanup(p.kill)
	return p
}

// connect makes the operators' client.
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

// token mints a token.
func (d *deployment) token(role keys.Role, subject string) string {
	d.t.Helper()
	token, err := keys.IssueToken(d.dir+"/ca", keys.Claims{Role: role, Subject: subject, Expires: time.Now().Add(time.Hour).Unix()})
	must(d.t, err)
	return token
}

// addTarget starts a stand-in VM whose target announces itself to all
// entries of the zone that run so far.
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

// apply submits the document on the newest version until a leader takes it.
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

// waitInForce waits until all entries work by the newest version.
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

// eventually repeats a check until it passes or the limit is over.
func eventually(t *testing.T, limit time.Duration, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("not within %s: %s: %v", limit, what, err)
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

// smallFleet is a document of two zones with two pools and two services.
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

// addSmallTargets starts the eight VMs of smallFleet.
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
