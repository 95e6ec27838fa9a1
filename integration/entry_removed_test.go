package integration

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/control"
)

// TestRemovedEntrySendsNoWorkUntilItsRestart removes an entry on an operator's
// statement that it is powered off, although it still runs.
func TestRemovedEntrySendsNoWorkUntilItsRestart(t *testing.T) {
	t.Parallel()
	d, removed, stays := newZonePeers(t)
	d.addSmallTargets()
	d.apply(smallFleet)
	d.waitEntriesServe("/booking/1")
	order, err := json.Marshal(control.EntryRemovalRequest{Attestation: "powered off by hand"})
	must(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	must(t, d.client.Do(ctx, http.MethodPost, "/v1/entries/"+removed.id+"/remove", order, nil))
	waitNotServed(t, removed.url()+"/booking/1", inForceLimit)
	eventually(t, inForceLimit, "the removed entry is not ready", func() error { return checkReadiness(removed, http.StatusServiceUnavailable) })
	for until := time.Now().Add(4 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if checkServing(removed) == nil {
			t.Fatal("the removed entry sends work again without a restart")
		}
		must(t, checkServing(stays))
	}
	removed.stop(10 * time.Second)
	removed.start()
	d.waitServed(removed.url() + "/booking/1")
}

// checkReadiness returns an error unless the entry's readiness check has the
// expected status.
func checkReadiness(entry *entryProcess, expected int) error {
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}, Timeout: time.Second}
	response, err := client.Get("https://" + entry.settings.Admin + "/readyz")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != expected {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return nil
}
