package integration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/report"
	"arbutusward.example/arbutusward/internal/standin"
)

const (
	// reportWaveLimit bounds a wave over the four VMs of a pool.
	reportWaveLimit = 90 * time.Second
	// slowReboot is longer than the lease of a target, so that the lease
	// expires while a VM reboots.
	slowReboot = 4 * time.Second
)

// TestReportShowsAWaveAsLowerMarginsAndNotAsInterruptions runs a whole maintenance
// wave, in which every VM is unresponsive while it reboots. The report must show
// lower capacity with the wave as the cause and promised slots that were always
// available, and no interruption.
func TestReportShowsAWaveAsLowerMarginsAndNotAsInterruptions(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.platform = standin.NewPlatform(slowReboot)
	d.platformServer.Config.Handler = d.platform.Handler()
	d.addControls("za")
	first := d.addEntry("entry-a1", "za")
	second := d.addEntry("entry-b1", "zb")
	d.addSmallTargets()
	d.apply(strings.Replace(smallFleet, `"pools": ["booking", "office"]`, `"pools": ["booking"]`, 1))
	d.waitInForce(consoleLimit)
	d.waitServed(first.url() + "/booking/1")
	d.waitServed(second.url() + "/booking/1")
	from := time.Now().UTC().Format(time.RFC3339Nano)
	b := d.signIn(d.addConsole(), keys.Operator)
	d.ctl(keys.Operator, "wave", "start", "kernel").expect(t, 0)
	b.get("/waves").expect(t, http.StatusOK, "kernel: running", "VMs by step")
	eventually(t, reportWaveLimit, "the wave has ended", func() error { return checkWaveEnded(d.client) })

	result := d.ctl(keys.Viewer, "report", "--from", from, "-o", "json")
	result.expect(t, 0)
	var built report.Report
	must(t, json.Unmarshal([]byte(result.stdout), &built))
	if len(built.Interruptions) > 0 {
		t.Errorf("interruptions %+v", built.Interruptions)
	}
	pool := built.Pools[0]
	full := pool.Capacity[0].Value
	lowest := float64(pool.Lowest + pool.Promised)
	if lowest >= full || pool.Lowest < 0 || !strings.Contains(strings.Join(pool.Causes, " "), "booking-") {
		t.Errorf("pool %s: lowest margin %d of %g slots, causes %v", pool.Pool, pool.Lowest, full, pool.Causes)
	}
	if office := built.Pools[1]; len(office.Capacity) != 1 {
		t.Errorf("the wave touches no VM of %s, capacity %v", office.Pool, office.Capacity)
	}
}

// checkWaveEnded returns an error unless the newest run of a wave has ended.
func checkWaveEnded(client *adminclient.Client) error {
	waves, err := client.Waves(context.Background())
	if err != nil {
		return err
	}
	if len(waves.Runs) == 0 {
		return errors.New("no run of a wave")
	}
	if run := waves.Runs[0]; run.EndedMS == 0 {
		return fmt.Errorf("run %s is %s: %v %v", run.ID, run.Status, run.Count, run.Blocked)
	}
	return nil
}

// TestReportNamesAKilledLeaderItsSuccessorAndTheGap kills the leader of
// three control processes.
func TestReportNamesAKilledLeaderItsSuccessorAndTheGap(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.addControls("za", "zb", "zc")
	d.addEntry("entry-a1", "za")
	d.apply(smallFleet)
	d.waitInForce(consoleLimit)
	from := time.Now().Add(-time.Minute).UTC().Format(time.RFC3339Nano)
	before, err := d.status()
	must(t, err)
	killed := before.Replica.Leader
	d.controls[killed].kill()
	var successor string
	eventually(t, consoleLimit, "another control process leads", func() error {
		now, err := d.status()
		successor = now.Replica.Leader
		return err
	})
	result := d.ctl(keys.Viewer, "report", "--from", from, "-o", "json")
	result.expect(t, 0)
	var built report.Report
	must(t, json.Unmarshal([]byte(result.stdout), &built))
	var lost []report.Interruption
	for _, found := range built.Interruptions {
		if found.Kind == timeline.LeaderLost {
			lost = append(lost, found)
		}
	}
	if len(lost) == 0 || !strings.Contains(lost[len(lost)-1].SeenBy[0], successor) {
		t.Errorf("killed %s, successor %s, interruptions %+v", killed, successor, built.Interruptions)
	}
	if len(built.Unreachable) != 1 || built.Unreachable[0].Process != killed {
		t.Errorf("unreachable %+v, expected %s", built.Unreachable, killed)
	}
	if built.Complete {
		t.Error("the report is marked as complete")
	}
}
