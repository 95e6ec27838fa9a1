package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/standin"
)

// callReply is the answer to a request.
type callReply struct {
	status  int
	outcome string
	header  http.Header
	body    []byte
}

// vm returns the name of the VM that answered, or "" if none did.
func (r callReply) vm() string {
	var answer standin.Reply
	if json.Unmarshal(r.body, &answer) != nil {
		return ""
	}
	return answer.VM
}

// testClient has a timeout, so that a request that hangs fails.
var testClient = &http.Client{Timeout: 20 * time.Second}

// call sends one request. Headers are given as name, value, name, value, ...
func call(method, url string, headers ...string) (callReply, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = bytes.NewReader([]byte(`{}`))
	}
	request, err := http.NewRequest(method, url, body)
	if err != nil {
		return callReply{}, err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return do(request)
}

func do(request *http.Request) (callReply, error) {
	response, err := testClient.Do(request)
	if err != nil {
		return callReply{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return callReply{status: response.StatusCode, outcome: response.Header.Get("X-Arbutus-Outcome"), header: response.Header, body: content}, err
}

func mustCall(t *testing.T, method, url string, headers ...string) callReply {
	t.Helper()
	got, err := call(method, url, headers...)
	must(t, err)
	return got
}

// saveSettings writes changed settings, which the next start of the entry reads.
func (e *entryProcess) saveSettings() {
	e.t.Helper()
	text, err := json.Marshal(e.settings)
	must(e.t, err)
	must(e.t, os.WriteFile(e.args[1], text, 0o600))
}

// countRuns counts the runs of requests whose ID has the prefix, on all targets.
func countRuns(targets map[string]*standin.Target, prefix string) int {
	runs := 0
	for _, target := range targets {
		for _, id := range target.Runs() {
			if strings.HasPrefix(id, prefix) {
				runs++
			}
		}
	}
	return runs
}

// addTargetAt starts a target that announces itself to the given addresses only.
func (d *deployment) addTargetAt(vm, pool string, announce ...string) *standin.Target {
	d.t.Helper()
	target, err := d.platform.Add(standin.TargetConfig{VM: vm, Token: d.token("target", pool), Services: smallServices, Entries: announce})
	must(d.t, err)
	d.t.Cleanup(target.Kill)
	return target
}

// waitEntriesServe waits until every entry serves the path.
func (d *deployment) waitEntriesServe(path string) {
	d.t.Helper()
	for _, entry := range d.entries {
		d.waitServed(entry.url() + path)
	}
}

// waitNotServed waits until a GET of the URL is not answered by a target.
func waitNotServed(t *testing.T, url string, limit time.Duration) {
	t.Helper()
	eventually(t, limit, "no target runs "+url, func() error {
		got, err := call(http.MethodGet, url)
		if err == nil && got.outcome == "ran" {
			return fmt.Errorf("%s ran it", got.vm())
		}
		return nil
	})
}

// announceOnce sends one announcement and returns the status of the answer.
func announceOnce(t *testing.T, entry *entryProcess, token, vm string, startedMS int) int {
	t.Helper()
	body := fmt.Sprintf(`{"vm": %q, "address": "127.0.0.1:9", "services": ["booking"], "incarnation": "other", "started_ms": %d}`, vm, startedMS)
	request, err := http.NewRequest(http.MethodPost, "http://"+entry.settings.Announce+"/v1/targets", strings.NewReader(body))
	must(t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Content-Type", "application/json")
	got, err := do(request)
	must(t, err)
	return got.status
}

// replaceOnce returns the text with the first occurrence replaced. It fails the
// test if there is none.
func replaceOnce(t *testing.T, text, old, replacement string) string {
	t.Helper()
	if !strings.Contains(text, old) {
		t.Fatalf("%q is not in the document", old)
	}
	return strings.Replace(text, old, replacement, 1)
}
