package integration

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/report"
)

func TestCLITimelineExplainsARequestAndNamesAnUnreachableProcess(t *testing.T) {
	t.Parallel()
	d, entry, killed := newZonePeers(t)
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	d.waitServedBy("booking", entry.url()+"/booking/1")
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
	d, entry, killed := newZonePeers(t)
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
	d, _, frozen := newZonePeers(t)
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
