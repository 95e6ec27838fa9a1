package integration

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestPlannedStopOfAnEntryCutsNoKeptAliveConnectionNorQueuedRequest stops an
// entry while callers send POST requests, which an HTTP client never repeats by
// itself, over keep-alive connections. They send more at once than the targets
// have slots, so that some requests wait in the queue. The callers stop while the
// entry is not ready, as a load balancer would make them, and their last requests
// still run when the port closes.
func TestPlannedStopOfAnEntryCutsNoKeptAliveConnectionNorQueuedRequest(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za")
	entry := d.addEntry("entry-a1", "za")
	entry.kill()
	entry.settings.DrainMS = 1000
	entry.saveSettings()
	entry.start()
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitServed(entry.url() + "/office/1")
	var stopCallers atomic.Bool
	var answered atomic.Int64
	var group sync.WaitGroup
	const callers = 30
	for caller := range callers {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 20 * time.Second}
			for i := 0; !stopCallers.Load(); i++ {
				if err := post(client, fmt.Sprintf("%s/office/%d-%d?sleep_ms=600", entry.url(), caller, i)); err != nil {
					t.Error(err)
				}
				answered.Add(1)
			}
		})
	}
	time.Sleep(time.Second)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		entry.stop(20 * time.Second)
	}()
	time.Sleep(700 * time.Millisecond)
	stopCallers.Store(true)
	group.Wait()
	<-stopped
	if answered.Load() < callers {
		t.Errorf("only %d requests were made", answered.Load())
	}
}

// post sends one POST request. It returns an error if the connection is cut or
// the outcome is unknown; a refusal is no error.
func post(client *http.Client, url string) error {
	request, err := http.NewRequest(http.MethodPost, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.Header.Get("X-Arbutus-Outcome") == "unknown" {
		return fmt.Errorf("outcome unknown: %s", response.Status)
	}
	return nil
}

// TestPlannedStopOfAnEntryEndsTheBatchRequestsThatItRuns stops the entry that runs
// non-idempotent batch requests. The outcome of none may become unknown.
func TestPlannedStopOfAnEntryEndsTheBatchRequestsThatItRuns(t *testing.T) {
	t.Parallel()
	d, first, second := batchDeployment(t)
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/cleanup/1")
	var paths []string
	for i := range 24 {
		path, err := submitBatch(first, http.MethodPost, fmt.Sprintf("/cleanup/%d?sleep_ms=800", i))
		must(t, err)
		paths = append(paths, path)
	}
	first.stop(20 * time.Second)
	for _, path := range paths {
		if status := waitBatchEnd(t, second, path, 20*time.Second); status.State != "done" {
			t.Errorf("%s ended as %s: %s", path, status.State, status.Reason)
		}
	}
}
