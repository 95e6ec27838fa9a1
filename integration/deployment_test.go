package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/standin"
)

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
	members := newMembers(d.t, len(zones))
	for i, zone := range zones {
		d.startControl(settings.Control{ID: members[i].ID, Zone: zone, Link: members[i].Link, Admin: members[i].Admin, Members: members})
	}
	d.connect()
}

// newMembers returns the given number of voters, control-1 and so on, on free
// ports.
func newMembers(t *testing.T, count int) []settings.Member {
	t.Helper()
	var members []settings.Member
	for i := range count {
		members = append(members, settings.Member{ID: fmt.Sprintf("control-%d", i+1), Link: freePort(t), Admin: freePort(t)})
	}
	return members
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

// waitServedBy waits until a GET of the URL is answered by a VM of the pool. Until
// the pool's targets have announced themselves, requests spill onto the spare pool.
func (d *deployment) waitServedBy(pool, url string) {
	d.t.Helper()
	eventually(d.t, 10*time.Second, "pool "+pool+" serves "+url, func() error {
		got, err := call(http.MethodGet, url)
		if err != nil {
			return err
		}
		if got.status != http.StatusOK || !strings.HasPrefix(got.vm(), pool+"-") {
			return fmt.Errorf("status %d from VM %q", got.status, got.vm())
		}
		return nil
	})
}
