package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/settings"
)

// electionLimit bounds the time to a new leader after a failure.
const electionLimit = 10 * time.Second

// waitLeader waits until a leader is confirmed and returns its ID.
func (d *deployment) waitLeader() string {
	d.t.Helper()
	var leader string
	eventually(d.t, electionLimit, "a leader is confirmed", func() error {
		status, err := d.status()
		leader = status.Replica.Leader
		return err
	})
	return leader
}

// statusAt asks one control process for the status, without trying others.
func (d *deployment) statusAt(id string) (control.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var status control.Status
	err := d.client.DoAt(ctx, d.controls[id].settings.Admin, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// newReplicaDeployment starts three voters in three zones and waits for a leader.
func newReplicaDeployment(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.addControls("za", "zb", "zc")
	d.waitLeader()
	return d
}

// TestReplicaLeaderKilledUnderSubmissions kills the leader five times.
func TestReplicaLeaderKilledUnderSubmissions(t *testing.T) {
	t.Parallel()
	d := newReplicaDeployment(t)
	s := d.newSubmitter()
	for range 5 {
		s.waitMore(5)
		leader := d.waitLeader()
		d.controls[leader].kill()
		s.waitMore(5)
		d.controls[leader].start()
	}
	s.finish()
}

// connectWithout creates a client that does not use one control process. A client
// would wait for a frozen process until its own timeout.
func (d *deployment) connectWithout(id string) {
	d.t.Helper()
	excluded := d.controls[id]
	delete(d.controls, id)
	d.connect()
	d.controls[id] = excluded
}

// TestReplicaFrozenLeaderServesNoStaleReads suspends the leader for longer than
// every timeout. When it resumes, it must not answer reads from its outdated state.
func TestReplicaFrozenLeaderServesNoStaleReads(t *testing.T) {
	t.Parallel()
	d := newReplicaDeployment(t)
	s := d.newSubmitter()
	s.waitMore(5)
	s.finish()
	leader := d.waitLeader()
	d.connectWithout(leader)
	s = d.newSubmitter()
	d.controls[leader].signal(syscall.SIGSTOP)
	s.waitMore(10)
	time.Sleep(4 * time.Second)
	stopReads := d.watchReads(leader, s)
	time.Sleep(200 * time.Millisecond)
	d.controls[leader].signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	stopReads()
	s.finish()
}

// addRelayedControls starts voters that reach each other only through relays. It
// returns the relays by the sending and then by the receiving voter.
func (d *deployment) addRelayedControls(zones ...string) map[string]map[string]*relay {
	d.t.Helper()
	members := newMembers(d.t, len(zones))
	relays := map[string]map[string]*relay{}
	for i, zone := range zones {
		self := members[i]
		relays[self.ID] = map[string]*relay{}
		proxied := append([]settings.Member{}, members...)
		for j := range proxied {
			if j != i {
				r := newUDPRelay(d.t, proxied[j].Link)
				relays[self.ID][proxied[j].ID] = r
				proxied[j].Link = r.address
			}
		}
		d.startControl(settings.Control{ID: self.ID, Zone: zone, Link: self.Link, Admin: self.Admin, Members: proxied})
	}
	d.connect()
	return relays
}

// cutOff sets whether all relays from and to a process drop their packets.
func cutOff(relays map[string]map[string]*relay, id string, silent bool) {
	for from, table := range relays {
		for to, r := range table {
			if from == id || to == id {
				r.setSilent(silent)
			}
		}
	}
}

// cutOffTime is how long a former leader stays cut off after it stepped down.
const cutOffTime = 5 * time.Second

// checkNotLeader returns an error unless the process answers that it is not the
// leader.
func checkNotLeader(d *deployment, id string) error {
	status, err := d.statusAt(id)
	if err == nil {
		return fmt.Errorf("%s answers version %d", id, status.Accepted)
	}
	var refused *adminclient.StatusError
	if errors.As(err, &refused) && refused.Fault.Code == "not_leader" {
		return nil
	}
	return err
}

// watchReads reads from one process without pause until the returned function is
// called. The version read must not be older than the newest one that was accepted
// before the read.
func (d *deployment) watchReads(id string, s *submitter) (stop func()) {
	ended := make(chan struct{})
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			for {
				select {
				case <-ended:
					return
				default:
				}
				floor := s.newest()
				if status, err := d.statusAt(id); err == nil && status.Accepted < floor {
					d.t.Errorf("%s answers version %d, but %d was accepted before", id, status.Accepted, floor)
				}
			}
		})
	}
	return func() { close(ended); group.Wait() }
}

// TestReplicaLeaderCutOffSilently cuts the leader off from the other voters but
// not from operators. It must stop answering reads, the others must accept
// changes, and its return must neither disturb them nor raise the term.
func TestReplicaLeaderCutOffSilently(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	relays := d.addRelayedControls("za", "zb", "zc")
	d.waitLeader()
	d.apply(smallFleet)
	old := d.waitLeader()
	cutOff(relays, old, true)
	s := d.newSubmitter()
	stopReads := d.watchReads(old, s)
	s.waitMore(10)
	stopReads()
	eventually(t, electionLimit, "the cut-off leader steps down", func() error { return checkNotLeader(d, old) })
	// This is long enough for the voter to try several elections, none of which
	// it can win.
	time.Sleep(cutOffTime)
	status, err := d.status()
	must(t, err)
	cutOff(relays, old, false)
	eventually(t, electionLimit, "the returned voter follows the new leader", func() error {
		_, err := d.statusAt(old)
		var refused *adminclient.StatusError
		if errors.As(err, &refused) && refused.Fault.Leader == d.controls[status.Replica.Leader].settings.Admin {
			return nil
		}
		return fmt.Errorf("%w", err)
	})
	s.waitMore(5)
	after, err := d.status()
	must(t, err)
	if after.Replica.Term != status.Replica.Term {
		t.Errorf("the return of the voter raised the term from %d to %d", status.Replica.Term, after.Replica.Term)
	}
	s.finish()
}

// otherThan returns the ID of some control process other than the given one.
func otherThan(d *deployment, id string) string {
	for other := range d.controls {
		if other != id {
			return other
		}
	}
	return ""
}

// TestReplicaLeaderHandsOverAtStop stops the leader gracefully. It must transfer
// its leadership, so that the next leader answers sooner than an election timeout
// would allow.
func TestReplicaLeaderHandsOverAtStop(t *testing.T) {
	t.Parallel()
	d := newReplicaDeployment(t)
	d.apply(smallFleet)
	leader := d.waitLeader()
	d.controls[leader].stop(electionLimit)
	start := time.Now()
	delete(d.controls, leader)
	d.connect()
	d.waitLeader()
	if took := time.Since(start); took > 500*time.Millisecond {
		t.Errorf("the next leader answers after %s", took)
	}
}
