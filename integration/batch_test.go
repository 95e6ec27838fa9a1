package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/request/batch"
)

// submitBatch submits a batch request and returns the path of its status.
func submitBatch(entry *entryProcess, method, uri string, headers ...string) (string, error) {
	got, err := call(method, entry.url()+uri, append(headers, "Prefer", "respond-async")...)
	if err != nil {
		return "", err
	}
	if got.status != http.StatusAccepted {
		return "", fmt.Errorf("status %d: %s", got.status, got.body)
	}
	return got.header.Get("Location"), nil
}

// batchStatus reads the status of a batch request through an entry.
func batchStatus(entry *entryProcess, path string) (batch.Status, error) {
	var status batch.Status
	got, err := call(http.MethodGet, entry.url()+path)
	if err != nil {
		return status, err
	}
	if got.status != http.StatusOK {
		return status, fmt.Errorf("status %d: %s", got.status, got.body)
	}
	return status, json.Unmarshal(got.body, &status)
}

// waitBatchEnd waits until a batch request has ended and returns its status.
func waitBatchEnd(t *testing.T, entry *entryProcess, path string, limit time.Duration) batch.Status {
	t.Helper()
	var status batch.Status
	eventually(t, limit, "the batch request ends", func() error {
		var err error
		status, err = batchStatus(entry, path)
		if err == nil && (status.State == batch.Queued || status.State == batch.Running) {
			return fmt.Errorf("state %s: %s", status.State, status.Reason)
		}
		return err
	})
	return status
}

// batchDeployment starts three voters and one entry in each zone, and returns
// the entries.
func batchDeployment(t *testing.T) (*deployment, *entryProcess, *entryProcess) {
	t.Helper()
	d := newDeployment(t)
	d.addControls("za", "za", "zb")
	first := d.addEntry("entry-a1", "za")
	second := d.addEntry("entry-b1", "zb")
	return d, first, second
}

// TestBatchRequestIsAnsweredLaterThroughAnyZone submits a batch request in one
// zone and reads its result in the other.
func TestBatchRequestIsAnsweredLaterThroughAnyZone(t *testing.T) {
	t.Parallel()
	d, first, second := batchDeployment(t)
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/cleanup/1")
	path, err := submitBatch(first, http.MethodPost, "/cleanup/sonar?sleep_ms=100", "Idempotency-Key", "sonar-1")
	must(t, err)
	again, err := submitBatch(second, http.MethodPost, "/cleanup/sonar?sleep_ms=100", "Idempotency-Key", "sonar-1")
	must(t, err)
	if again != path {
		t.Errorf("the same key was accepted as %s and as %s", path, again)
	}
	status := waitBatchEnd(t, second, path, 10*time.Second)
	if status.State != batch.Done {
		t.Fatalf("ended as %s: %s", status.State, status.Reason)
	}
	result := mustCall(t, http.MethodGet, second.url()+status.Result)
	if result.status != http.StatusOK || result.outcome != "ran" || !strings.Contains(string(result.body), "/cleanup/sonar") {
		t.Errorf("result: status %d, outcome %q: %s", result.status, result.outcome, result.body)
	}
	if runs := countRuns(targets, strings.TrimPrefix(path, batch.Prefix+"/")); runs != 1 {
		t.Errorf("the batch request ran %d times", runs)
	}
	if got := mustCall(t, http.MethodGet, first.url()+batch.Prefix+"/unknown"); got.status != http.StatusNotFound {
		t.Errorf("an unknown ID was answered with %d", got.status)
	}
}

// TestAcceptedBatchRequestsEndThoughAnEntryAndTheLeaderAreLost kills the entry
// that accepted the batch requests and the leader while some of them run.
func TestAcceptedBatchRequestsEndThoughAnEntryAndTheLeaderAreLost(t *testing.T) {
	t.Parallel()
	d, first, second := batchDeployment(t)
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/cleanup/1")
	idempotent := map[string]bool{}
	for i := range 40 {
		method := http.MethodPost
		if i%2 == 0 {
			method = http.MethodPut
		}
		path, err := submitBatch(first, method, fmt.Sprintf("/cleanup/%d?sleep_ms=700", i))
		must(t, err)
		idempotent[path] = method == http.MethodPut
	}
	first.kill()
	status, err := d.status()
	must(t, err)
	d.controls[status.Replica.Leader].kill()
	ended := map[batch.State]int{}
	for path, repeatable := range idempotent {
		status := waitBatchEnd(t, second, path, 60*time.Second)
		ended[status.State]++
		runs := countRuns(targets, strings.TrimPrefix(path, batch.Prefix+"/"))
		switch {
		case repeatable && status.State != batch.Done:
			t.Errorf("idempotent %s ended as %s: %s", path, status.State, status.Reason)
		case !repeatable && status.State != batch.Done && status.State != batch.Unknown:
			t.Errorf("non-idempotent %s ended as %s: %s", path, status.State, status.Reason)
		case !repeatable && runs > 1:
			t.Errorf("non-idempotent %s ran %d times", path, runs)
		}
	}
	t.Logf("ended as %v", ended)
}

// TestBatchRequestsAreCancelledInAWave cancels many batch requests by one call
// while a few of them run.
func TestBatchRequestsAreCancelledInAWave(t *testing.T) {
	t.Parallel()
	d, first, second := batchDeployment(t)
	targets := d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/cleanup/1")
	var mu sync.Mutex
	var ids []string
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 25 {
				path, err := submitBatch(first, http.MethodPost, "/cleanup/wave?sleep_ms=2000")
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				ids = append(ids, strings.TrimPrefix(path, batch.Prefix+"/"))
				mu.Unlock()
			}
		})
	}
	group.Wait()
	start := time.Now()
	states := cancelBatchRequests(t, second, ids)
	t.Logf("%d of %d requests cancelled in %s", len(states), len(ids), time.Since(start))
	cancelled := 0
	for _, id := range ids {
		status := waitBatchEnd(t, second, batch.Prefix+"/"+id, 20*time.Second)
		runs := countRuns(targets, id)
		if status.State == batch.Cancelled {
			cancelled++
		}
		if status.State == batch.Cancelled && runs > 0 || status.State == batch.Queued {
			t.Errorf("%s ended as %s and ran %d times", id, status.State, runs)
		}
	}
	if cancelled < len(ids)/2 {
		t.Errorf("only %d of %d ended as cancelled", cancelled, len(ids))
	}
	if got := mustCall(t, http.MethodDelete, first.url()+batch.Prefix+"/"+ids[0]); got.status != http.StatusOK {
		t.Errorf("cancelling an ended request was answered with %d", got.status)
	}
}

// cancelBatchRequests cancels batch requests by one call and returns their states.
func cancelBatchRequests(t *testing.T, entry *entryProcess, ids []string) map[string]batch.State {
	t.Helper()
	body, err := json.Marshal(map[string][]string{"ids": ids})
	must(t, err)
	request, err := http.NewRequest(http.MethodPost, entry.url()+batch.Prefix+"/cancel", bytes.NewReader(body))
	must(t, err)
	got, err := do(request)
	must(t, err)
	var states map[string]batch.State
	must(t, json.Unmarshal(got.body, &states))
	return states
}

// TestBatchRequestThatCannotRunYetWaits submits a batch request while no target
// is live. It must wait and run once there are targets.
func TestBatchRequestThatCannotRunYetWaits(t *testing.T) {
	t.Parallel()
	d, first, second := batchDeployment(t)
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	path, err := submitBatch(first, http.MethodPost, "/cleanup/early")
	must(t, err)
	time.Sleep(3 * time.Second)
	status, err := batchStatus(second, path)
	must(t, err)
	if status.State != batch.Queued && status.State != batch.Running {
		t.Errorf("state %s without live targets: %s", status.State, status.Reason)
	}
	d.addSmallTargets()
	if status := waitBatchEnd(t, second, path, 15*time.Second); status.State != batch.Done {
		t.Errorf("ended as %s: %s", status.State, status.Reason)
	}
}
