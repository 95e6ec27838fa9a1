package integration

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// hosted is a deployment on the platform, simulated on loopback addresses. Each
// process has an address of its own; the ports are the same on all addresses.
type hosted struct {
	// jobPaths holds the paths, by id, of the jobs that are not of the queue "/q/".
	jobPaths sync.Map
	t        *testing.T
	dir      string
	subnet   string
	// controls holds core-1, core-2, ...; entries holds edge-1, edge-2, ...
	controls, entries []*process
	ledger            *hostedLedger
	client            *http.Client
	version           int
	// entryGrant and controlGrant are what the settings file grants a process.
	entryGrant, controlGrant grant
	// limits replaces the limits of the configuration if it is not empty.
	limits string
	// env holds additional environment variables of all processes, controlArgs
	// additional arguments of the control processes.
	env, controlArgs []string
	// document returns the configuration with a version, key is the API key of the
	// requests, or "".
	document func(version int) string
	key      string
}

// reserveSubnet returns a range of loopback addresses that no deployment of this
// or of another test process uses, as 127.X.Y. with the last number left out. It
// holds a port of the range until the test ends.
func reserveSubnet(t *testing.T) string {
	t.Helper()
	for range 200 {
		number := (int64(os.Getpid())+subnets.Add(1))%200 + 20
		subnet := fmt.Sprintf("127.%d.%d.", number, (os.Getpid()/200)%250)
		listener, err := net.Listen("tcp", subnet+"250:"+fmt.Sprint(hostedFirstPort))
		if err == nil {
			t.Cleanup(func() { _ = listener.Close() })
			return subnet
		}
	}
	t.Fatal("no free range of loopback addresses")
	return ""
}

// grant is the memory and the number of descriptors of a process. Without
// descriptors the settings file does not name them.
type grant struct{ memoryMB, descriptors int }

// settings returns the grant as part of a settings file.
func (g grant) settings() string {
	if g.descriptors == 0 {
		return fmt.Sprintf("memory_mb = %d\n", g.memoryMB)
	}
	return fmt.Sprintf("memory_mb = %d\nmax_fds = %d\n", g.memoryMB, g.descriptors)
}

// hostedOption changes how the processes of a deployment are started.
type hostedOption func(*hosted)

// oneCore makes each process run like on a VM with one core.
func oneCore(h *hosted) { h.env = append(h.env, "GOMAXPROCS=1") }

// directWorkers sets the size of the largest fleet whose workers the leader calls
// itself.
func directWorkers(count int) hostedOption {
	return func(h *hosted) { h.controlArgs = append(h.controlArgs, fmt.Sprint("--direct-workers=", count)) }
}

// Ports of a hosted deployment.
const (
	hostedFirstPort = 7060
	hostedControl   = 8623
	hostedFront     = 8624
	hostedReady     = 8622
)

// subnets counts the deployments of this test run. Each uses its own range of
// loopback addresses.
var subnets atomic.Int64

func newHosted(t *testing.T, controls, entries int, options ...hostedOption) *hosted {
	t.Helper()
	h := &hosted{t: t, dir: t.TempDir(), subnet: reserveSubnet(t), ledger: newHostedLedger(t), client: &http.Client{Timeout: 3 * time.Second}, document: configurationOf}
	h.entryGrant, h.controlGrant = grant{memoryMB: 256}, grant{memoryMB: 256}
	for _, option := range options {
		option(h)
	}
	t.Cleanup(h.dumpLogs)
	for i := range controls {
		h.controls = append(h.controls, h.add("arbutus-control", fmt.Sprintf("core-%d", i+1), h.controlIP(i), min(controls, 3), true))
	}
	for i := range entries {
		h.entries = append(h.entries, h.add("arbutus-entry", fmt.Sprintf("edge-%d", i+1), h.entryIP(i), min(controls, 3), false))
	}
	return h
}

func (h *hosted) controlIP(i int) string { return h.subnet + fmt.Sprint(i+1) }
func (h *hosted) entryIP(i int) string   { return h.subnet + fmt.Sprint(i+101) }

func (h *hosted) controlAddresses() []string {
	var list []string
	for i := range h.controls {
		list = append(list, fmt.Sprintf("%s:%d", h.controlIP(i), hostedControl))
	}
	return list
}

// add writes the settings file of a process and starts it.
func (h *hosted) add(program, node, ip string, seeds int, control bool) *process {
	h.t.Helper()
	path := filepath.Join(h.dir, node+".toml")
	h.writeSettings(path, node, ip, seeds, control, true)
	return h.launch(program, node, path)
}

// addJoiningControl starts a control process that is not among the initial
// members and joins the running deployment.
func (h *hosted) addJoiningControl(node, ip string) *process {
	h.t.Helper()
	path := filepath.Join(h.dir, node+".toml")
	h.writeSettings(path, node, ip, 3, true, false)
	return h.launch("arbutus-control", node, path)
}

func (h *hosted) launch(program, node, settings string) *process {
	args := []string{"--platform"}
	if program == "arbutus-control" {
		args = append(args, h.controlArgs...)
	}
	p := &process{t: h.t, id: node, path: filepath.Join(binDir, program), args: args, logPath: filepath.Join(h.dir, node+".log"), env: append([]string{"ARBUTUSWARD_BOOT=" + settings}, h.env...)}
	h.t.Cleanup(p.kill)
	p.start()
	return p
}

func (h *hosted) writeSettings(path, node, ip string, seeds int, control, bootstrap bool) {
	h.t.Helper()
	var addresses []string
	for i := range seeds {
		addresses = append(addresses, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", h.controlIP(i), hostedControl)))
	}
	text := fmt.Sprintf("node = %q\nip = %q\nzone = \"z\"\nport_range = [%d,%d]\nseeds = [%s]\nbootstrap = %t\nheartbeat_ms = 500\n", node, ip, hostedFirstPort, hostedFirstPort+15, strings.Join(addresses, ","), bootstrap)
	granted := h.entryGrant
	if control {
		granted = h.controlGrant
		text += fmt.Sprintf("data_dir = %q\n[listen]\ncontrol = \"%s:%d\"\n", filepath.Join(h.dir, node), ip, hostedControl)
	} else {
		text += fmt.Sprintf("[listen]\nfront = \"%s:%d\"\nready = \"%s:%d\"\n", ip, hostedFront, ip, hostedReady)
	}
	text += "[limits]\n" + granted.settings() + "[bounds]\nlease_ms = 3000\nstop_timeout_ms = 200\nfencing_enforced = true\ncontact_ms = 3000\n"
	must(h.t, os.WriteFile(path, []byte(text), 0o600))
}

// wipeDisk empties the disk of a stopped control process and sets bootstrap to
// false in its settings, since the deployment exists already.
func (h *hosted) wipeDisk(i int) {
	h.t.Helper()
	node := h.controls[i].id
	must(h.t, os.RemoveAll(filepath.Join(h.dir, node)))
	h.writeSettings(filepath.Join(h.dir, node+".toml"), node, h.controlIP(i), min(len(h.controls), 3), true, false)
}

// dumpLogs prints the last lines of every log if the test has failed.
func (h *hosted) dumpLogs() {
	d := deployment{t: h.t, dir: h.dir}
	d.dumpLogs()
}

// configure sends the next version of the configuration until it is
// accepted.
func (h *hosted) configure() {
	h.t.Helper()
	h.version++
	eventually(h.t, 20*time.Second, "the configuration is accepted", func() error { return h.sendConfiguration(h.version) })
}

// configurationOf returns the configuration with the given version.
func configurationOf(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","host":"h.example","path_prefix":"/q/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"svc","max_attempts":3,"stretch":1.6},{"name":"o","host":"h.example","path_prefix":"/o/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":600,"priority":0,"service":"open","max_attempts":3,"stretch":1.6}],"services":[{"name":"svc","enforces_capacity":true},{"name":"open","enforces_capacity":false}],"limits":{}}`, version)
}

func (h *hosted) sendConfiguration(version int) error {
	var last error
	text := h.document(version)
	if h.limits != "" {
		text = strings.Replace(text, `"limits":{}`, h.limits, 1)
	}
	for _, address := range h.controlAddresses() {
		response, err := h.client.Post("http://"+address+"/config/replace", "application/json", strings.NewReader(text))
		if err != nil {
			last = err
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
		last = fmt.Errorf("%s: %s", address, response.Status)
	}
	return last
}

// addWorker starts a worker of service svc that is reached through a relay.
func (h *hosted) addWorker(id string, capacity int64) (*hostedWorker, *relay) {
	h.t.Helper()
	address := freePort(h.t)
	r := newTCPRelay(h.t, address)
	return startHostedWorker(h.t, h.ledger, id, "svc", address, r.address, capacity, h.controlAddresses()), r
}

// request sends a client's request to an entry and returns the status and the
// body. Status 0 means that there was no answer.
func (h *hosted) request(entry int, method, path, body string) (int, []byte) {
	return h.requestWith(h.key, entry, method, path, body)
}

// requestWith is request with an API key, or none if it is "".
func (h *hosted) requestWith(key string, entry int, method, path, body string) (int, []byte) {
	response, err := h.sendWith(key, entry, method, path, body)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var raw json.RawMessage
	if json.NewDecoder(response.Body).Decode(&raw) != nil {
		return response.StatusCode, nil
	}
	return response.StatusCode, raw
}

// send sends a client's request to an entry.
func (h *hosted) send(entry int, method, path, body string) (*http.Response, error) {
	return h.sendWith(h.key, entry, method, path, body)
}

// sendWith is send with an API key, or none if it is "".
func (h *hosted) sendWith(key string, entry int, method, path, body string) (*http.Response, error) {
	address := fmt.Sprintf("http://%s:%d%s", h.entryIP(entry), hostedFront, path)
	request, err := http.NewRequest(method, address, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = "h.example"
	request.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	return h.client.Do(request)
}

// submit submits a job until it is accepted. Its first step has the given number
// of tasks, its second step one task.
func (h *hosted) submit(id string, tasks int, each time.Duration) {
	h.t.Helper()
	body := fmt.Sprintf(`{"spec":%q,"steps":[{"count":%d,"cpu":1000,"mem_mb":1,"estimate_ms":%d},{"count":1,"cpu":1000,"mem_mb":1,"estimate_ms":%d,"depends_on":[0]}]}`, each, tasks, each.Milliseconds(), each.Milliseconds())
	attempt := 0
	eventually(h.t, 30*time.Second, "job "+id+" is accepted", func() error {
		attempt++
		status, _ := h.request(attempt%len(h.entries), http.MethodPost, "/q/"+id, body)
		if status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		return nil
	})
}

// state returns the state of a job, "gone" for an unknown job, and "" if there
// was no answer.
func (h *hosted) state(entry int, id string) string {
	status, body := h.request(entry, http.MethodGet, h.pathOf(id), "")
	var answer struct{ State string }
	if status == http.StatusGone {
		return "gone"
	}
	if status != http.StatusOK || json.Unmarshal(body, &answer) != nil {
		return ""
	}
	return answer.State
}

// pathOf returns the path at which a job was submitted.
func (h *hosted) pathOf(id string) string {
	if path, known := h.jobPaths.Load(id); known {
		return path.(string)
	}
	return "/q/" + id
}

// awaitState waits until a job is in the wanted state.
func (h *hosted) awaitState(id, wanted string, limit time.Duration) {
	h.t.Helper()
	attempt := 0
	eventually(h.t, limit, "job "+id+" is "+wanted, func() error {
		attempt++
		if got := h.state(attempt%len(h.entries), id); got != wanted {
			return fmt.Errorf("state %q", got)
		}
		return nil
	})
}

// leader returns the index of the leader: the control process that logged most
// recently that its scheduling loop started, which happens only on the leader.
func (h *hosted) leader() int {
	latest, at := 0, time.Time{}
	for i, p := range h.controls {
		content, err := os.ReadFile(p.logPath)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(content)) {
			var entry struct {
				Time time.Time `json:"time"`
				Msg  string    `json:"msg"`
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "scheduling loop started" && entry.Time.After(at) {
				latest, at = i, entry.Time
			}
		}
	}
	return latest
}

// awaitMemberChange waits until each of the given control processes has logged a
// change of a member. The change outlives the loss of any of them.
func (h *hosted) awaitMemberChange(member int, change string, limit time.Duration, loggedBy ...int) {
	h.t.Helper()
	address := fmt.Sprintf("%s:%d", h.controlIP(member), hostedFirstPort)
	eventually(h.t, limit, h.controls[member].id+" is "+change, func() error {
		for _, i := range loggedBy {
			if !h.controls[i].hasLoggedMemberChange(address, change) {
				return fmt.Errorf("not logged by %s", h.controls[i].id)
			}
		}
		return nil
	})
}

// hasLoggedMemberChange reports whether the process has logged a change of the
// member with the given link address.
func (p *process) hasLoggedMemberChange(address, change string) bool {
	content, err := os.ReadFile(p.logPath)
	must(p.t, err)
	for line := range strings.Lines(string(content)) {
		var entry struct{ Msg, Member, Change string }
		if json.Unmarshal([]byte(line), &entry) != nil || entry.Msg != "member changed" || entry.Change != change {
			continue
		}
		// A member that has joined later has a random part after its address.
		if link, _, _ := strings.Cut(entry.Member, "/"); link == address {
			return true
		}
	}
	return false
}
