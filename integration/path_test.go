package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/standin"
)

// TestRequestFromCallerToTarget sends requests through two entries of separate
// processes to their targets.
func TestRequestFromCallerToTarget(t *testing.T) {
	t.Parallel()
	d, first, second := newZonePeers(t)
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	for _, entry := range []*entryProcess{first, second} {
		d.waitServed(entry.url() + "/booking/1")
		resp, err := http.Get(entry.url() + "/booking/dock?bytes=")
		must(t, err)
		var reply standin.Reply
		must(t, json.NewDecoder(resp.Body).Decode(&reply))
		must(t, resp.Body.Close())
		if reply.Path != "/booking/dock" || resp.Header.Get("X-Arbutus-Outcome") != "ran" {
			t.Errorf("reply %+v, headers %v", reply, resp.Header)
		}
	}
}

// TestLinkSilentForGoodWhileNewConnectionsWork silences the entry's open connection
// to control. The next change must come in force over a new connection.
func TestLinkSilentForGoodWhileNewConnectionsWork(t *testing.T) {
	t.Parallel()
	d, relay := newRelayedDeployment(t)
	d.addEntry("entry-a1", "za", relay.address)
	d.apply(smallFleet)
	d.waitInForce(5 * time.Second)
	relay.setSilent(true)
	time.Sleep(3 * time.Second)
	relay.setSilent(false)
	d.apply(smallFleet + "// changed")
	d.waitInForce(3 * time.Second)
}

// TestPlannedStopOfAnEntryUnderLoadCutsNoRequest stops an entry with SIGTERM while
// requests run. Each request must get its whole answer.
func TestPlannedStopOfAnEntryUnderLoadCutsNoRequest(t *testing.T) {
	t.Parallel()
	_, entry, _ := newServingDeployment(t)
	const requests = 12
	var group sync.WaitGroup
	failures := make(chan error, requests)
	for i := range requests {
		group.Go(func() {
			resp, err := http.Get(fmt.Sprintf("%s/booking/%d?sleep_ms=800", entry.url(), i))
			if err != nil {
				failures <- err
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				failures <- fmt.Errorf("status %s", resp.Status)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	entry.stop(10 * time.Second)
	group.Wait()
	close(failures)
	for err := range failures {
		t.Error(err)
	}
}

// TestTargetAnswersLateThroughARelay delays the answers of a target by a relay. A
// long answer must still arrive whole.
func TestTargetAnswersLateThroughARelay(t *testing.T) {
	t.Parallel()
	_, _, targets := newServingDeployment(t)
	relay := newTCPRelay(t, targets["booking-a-1"].Address())
	relay.toClient.delayNS.Store(int64(300 * time.Millisecond))
	resp, err := http.Get("http://" + relay.address + "/booking/late?bytes=100000")
	must(t, err)
	defer resp.Body.Close()
	if resp.ContentLength != 100000 {
		t.Errorf("content length %d", resp.ContentLength)
	}
}
