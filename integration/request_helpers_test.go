package integration

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/standin"
)

// requestFleet is a deployment of one zone with one entry, which reaches the targets
// through relays.
type requestFleet struct {
	*deployment
	entry   *entryProcess
	targets map[string]*standin.Target
	relays  map[string]*relay
}

// newRequestFleet starts zone za of smallFleet and waits until its services are
// served.
func newRequestFleet(t *testing.T) *requestFleet {
	t.Helper()
	d := newDeployment(t)
	d.addControls("za")
	f := &requestFleet{deployment: d, targets: map[string]*standin.Target{}, relays: map[string]*relay{}}
	f.entry = d.addEntry("entry-a1", "za")
	for _, vm := range []string{"booking-a-1", "booking-a-2", "office-a-1", "office-a-2"} {
		f.addRelayed(vm, vm[:strings.Index(vm, "-")])
	}
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	d.waitServed(f.entry.url() + "/booking/ready")
	d.waitServed(f.entry.url() + "/office/ready")
	time.Sleep(time.Second)
	return f
}

// addRelayed starts a target that announces the address of its relay.
func (f *requestFleet) addRelayed(vm, pool string) {
	f.t.Helper()
	r := newTCPRelay(f.t, "")
	target, err := f.platform.Add(standin.TargetConfig{VM: vm, Token: f.token(keys.Target, pool), Services: smallServices,
		Entries: []string{f.entry.settings.Announce}, Advertise: r.address})
	must(f.t, err)
	r.upstream = target.Address()
	f.t.Cleanup(target.Kill)
	f.targets[vm], f.relays[vm] = target, r
}

// callerReply is an answer as the caller receives it, or the error instead.
type callerReply struct {
	id      string
	status  int
	outcome string
	header  http.Header
	body    []byte
	took    time.Duration
	err     error
}

// callerClient keeps a connection for each of the requests that are sent at once, as
// if they came from as many callers.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}

// send sends one request with a unique request ID.
func (f *requestFleet) send(method, uri string, headers ...string) callerReply {
	return f.sendContext(context.Background(), method, uri, headers...)
}

func (f *requestFleet) sendContext(ctx context.Context, method, uri string, headers ...string) callerReply {
	request, err := http.NewRequestWithContext(ctx, method, f.entry.url()+uri, nil)
	must(f.t, err)
	out := callerReply{id: fmt.Sprintf("test-%d", nextPort.Add(1))}
	request.Header.Set("X-Request-Id", out.id)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	start := time.Now()
	response, err := callerClient.Do(request)
	if err != nil {
		out.err = err
		return out
	}
	defer response.Body.Close()
	out.body, out.err = io.ReadAll(response.Body)
	out.took, out.status, out.header = time.Since(start), response.StatusCode, response.Header
	out.outcome = response.Header.Get("X-Arbutus-Outcome")
	return out
}

// sendMany sends n requests at once.
func (f *requestFleet) sendMany(n int, method, uri string, headers ...string) []callerReply {
	replies := make([]callerReply, n)
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() { replies[i] = f.send(method, uri, headers...) })
	}
	group.Wait()
	return replies
}

// runs returns how often all targets together have run a request.
func (f *requestFleet) runs(id string) int {
	count := 0
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			if run == id {
				count++
			}
		}
	}
	return count
}

// expectRuns checks how often all targets together have run an answered request.
func (f *requestFleet) expectRuns(t *testing.T, answer callerReply, expected int) {
	t.Helper()
	if runs := f.runs(answer.id); runs != expected {
		t.Errorf("request %s ran %d times, expected %d", answer.id, runs, expected)
	}
}

// running waits until a target of the pool runs a request and returns its VM.
func (f *requestFleet) running(pool string) string {
	f.t.Helper()
	var found string
	eventually(f.t, 3*time.Second, "a target of "+pool+" runs", func() error {
		for vm, target := range f.targets {
			if strings.HasPrefix(vm, pool) && target.InFlight() > 0 {
				found = vm
				return nil
			}
		}
		return fmt.Errorf("no request runs")
	})
	return found
}

// expect checks the status and the outcome.
func (r callerReply) expect(t *testing.T, status int, outcome string) {
	t.Helper()
	if r.err != nil || r.status != status || r.outcome != outcome {
		t.Errorf("request %s: status %d, outcome %q, error %v, body %.200q; expected %d, %q", r.id, r.status, r.outcome, r.err, r.body, status, outcome)
	}
}
