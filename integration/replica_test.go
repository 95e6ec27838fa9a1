package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/control"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/state"
)

// electionLimit bounds the time to a new leader after a failure.
const electionLimit = 10 * time.Second

// waitLeader waits until a leader is confirmed and returns its id.
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

// statusAt asks one control process alone.
func (d *deployment) statusAt(id string) (control.Status, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var status control.Status
	err := d.client.DoAt(ctx, d.controls[id].settings.Admin, http.MethodGet, "/v1/status", nil, &status)
	return status, err
}

// submitter submits documents one after the other and remembers what was
// accepted.
type submitter struct {
	d      *deployment
	client *adminclient.Client
	// padding makes the documents longer.
	padding string
	stop    chan struct{}
	done    sync.WaitGroup

	mu       sync.Mutex
	accepted []state.Submission
	failures int
}

// newSubmitter begins to submit.
func (d *deployment) newSubmitter() *submitter { return d.newPaddedSubmitter("") }

func (d *deployment) newPaddedSubmitter(padding string) *submitter {
	s := &submitter{d: d, client: d.client, padding: padding, stop: make(chan struct{})}
	s.done.Go(s.run)
	return s
}

func (s *submitter) run() {
	for i := 0; ; i++ {
		select {
		case <-s.stop:
			return
		default:
		}
		if err := s.submitOne(fmt.Sprintf("%s// change %d %s", smallFleet, i, s.padding)); err != nil {
			s.mu.Lock()
			s.failures++
			s.mu.Unlock()
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (s *submitter) submitOne(document string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	status, err := s.client.Status(ctx)
	if err != nil {
		return err
	}
	answer, err := s.client.Submit(ctx, "test.jsonc", status.Accepted, []byte(document))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accepted = append(s.accepted, answer.Submission)
	return nil
}

// count returns the number of accepted submissions.
func (s *submitter) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.accepted)
}

// newest returns the newest accepted version.
func (s *submitter) newest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.accepted) == 0 {
		return 0
	}
	return s.accepted[len(s.accepted)-1].Version
}

// waitMore waits until n more submissions are accepted.
func (s *submitter) waitMore(n int) {
	s.d.t.Helper()
	goal := s.count() + n
	eventually(s.d.t, 60*time.Second, fmt.Sprintf("%d more submissions are accepted", n), func() error {
		if count := s.count(); count < goal {
			return fmt.Errorf("%d of %d", count, goal)
		}
		return nil
	})
}

// finish stops to submit and checks that versions only rose and that the
// last accepted one is still there.
func (s *submitter) finish() {
	s.d.t.Helper()
	s.close()
	s.check()
}

// close stops to submit.
func (s *submitter) close() {
	close(s.stop)
	s.done.Wait()
}

func (s *submitter) check() {
	s.d.t.Helper()
	s.d.waitLeader()
	status, err := s.d.status()
	must(s.d.t, err)
	last := uint64(0)
	for _, accepted := range s.accepted {
		if accepted.Version <= last {
			s.d.t.Errorf("version %d was accepted after %d", accepted.Version, last)
		}
		last = accepted.Version
	}
	if status.Accepted < last {
		s.d.t.Errorf("version %d was accepted, now the newest is %d", last, status.Accepted)
	}
	s.d.t.Logf("%d submissions accepted, %d failed; newest version %d", len(s.accepted), s.failures, status.Accepted)
}

// newReplicas starts three voters in three zones.
func newReplicas(t *testing.T) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.addControls("za", "zb", "zc")
	d.waitLeader()
	return d
}

// TestReplicaLeaderKilledUnderSubmissions kills the leader five times.
func TestReplicaLeaderKilledUnderSubmissions(t *testing.T) {
	t.Parallel()
	d := newReplicas(t)
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

// connectWithout makes the client leave out one control process: it waits
// for a frozen one until its own time is over.
func (d *deployment) connectWithout(id string) {
	d.t.Helper()
	left := d.controls[id]
	delete(d.controls, id)
	d.connect()
	d.controls[id] = left
}

// TestReplicaFrozenLeaderWakes suspends the leader for longer than every
// timeout. When it wakes it must not answer from what it held.
func TestReplicaFrozenLeaderWakes(t *testing.T) {
	t.Parallel()
	d := newReplicas(t)
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

// addRelayedControls starts voters that reach each other only through
// relays; the result holds the relay from each to each.
func (d *deployment) addRelayedControls(zones ...string) map[string]map[string]*relay {
	d.t.Helper()
	var members []settings.Member
	for i := range zones {
		members = append(members, settings.Member{ID: fmt.Sprintf("control-%d", i+1), Link: freePort(d.t), Admin: freePort(d.t)})
	}
	relays := map[string]map[string]*relay{}
	for i, zone := range zones {
		self := members[i]
		relays[self.ID] = map[string]*relay{}
		seen := append([]settings.Member{}, members...)
		for j := range seen {
			if j != i {
				r := newUDPRelay(d.t, seen[j].Link)
				relays[self.ID][seen[j].ID] = r
				seen[j].Link = r.address
			}
		}
		d.startControl(settings.Control{ID: self.ID, Zone: zone, Link: self.Link, Admin: self.Admin, Members: seen})
	}
	d.connect()
	return relays
}

// cutOff silences all relays from and to a process, or lets them pass.
func cutOff(relays map[string]map[string]*relay, id string, silent bool) {
	for from, table := range relays {
		for to, r := range table {
			if from == id || to == id {
				r.setSilent(silent)
			}
		}
	}
}

// cutOffTime is how long a voter stays cut off after another one leads.
const cutOffTime = 5 * time.Second

// wantRefusal expects that a process says at once that it does not lead.
func wantRefusal(d *deployment, id string) error {
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

// watchReads reads from one process without a pause until the returned
// function is called. An answer must not be older than what was accepted
// before the question.
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
					d.t.Errorf("%s answers version %d, %d was accepted", id, status.Accepted, floor)
				}
			}
		})
	}
	return func() { close(ended); group.Wait() }
}

// TestReplicaLeaderCutOffSilently cuts the leader off from the other voters
// but not from operators. It must stop to answer, the others must go on,
// and its return must not disturb them.
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
	eventually(t, electionLimit, "the cut-off leader steps down", func() error { return wantRefusal(d, old) })
	// Long enough for several elections that nobody can win.
	time.Sleep(cutOffTime)
	status, err := d.status()
	must(t, err)
	cutOff(relays, old, false)
	eventually(t, electionLimit, "the returned voter follows", func() error {
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
		t.Errorf("the return raised the term from %d to %d", status.Replica.Term, after.Replica.Term)
	}
	s.finish()
}

// loseDisk kills a control process and empties its data folder.
func (d *deployment) loseDisk(id string) {
	d.t.Helper()
	d.controls[id].kill()
	must(d.t, os.RemoveAll(d.controls[id].settings.DataDir))
}

// replace puts a new control process in the place of a lost one.
func (d *deployment) replace(lost, id, zone string) {
	d.t.Helper()
	delete(d.controls, lost)
	d.connect()
	c := d.startControl(settings.Control{ID: id, Zone: zone, Link: freePort(d.t), Admin: freePort(d.t), Join: true})
	d.connect()
	d.changeMember(http.MethodDelete, "/v1/members/"+lost, "")
	d.changeMember(http.MethodPost, "/v1/members", fmt.Sprintf(`{"id":%q,"link":%q,"admin":%q}`, id, c.settings.Link, c.settings.Admin))
	eventually(d.t, 20*time.Second, "the learner is promoted", func() error {
		status, err := d.status()
		if err != nil {
			return err
		}
		for _, m := range status.Replica.Members {
			if m.ID == id && !m.Learner {
				return nil
			}
		}
		return fmt.Errorf("members %+v", status.Replica.Members)
	})
}

// changeMember repeats a membership change until it is answered.
func (d *deployment) changeMember(method, path, body string) {
	d.t.Helper()
	eventually(d.t, 20*time.Second, method+" "+path, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		err := d.client.Do(ctx, method, path, []byte(body), nil)
		var refused *adminclient.StatusError
		if errors.As(err, &refused) && (refused.Fault.Code == "not_found" || refused.Fault.Code == "member_exists") {
			// An earlier try was accepted and its answer lost.
			return nil
		}
		return err
	})
}

// TestReplicaLostDiskReplacedThenSecondLoss replaces a lost disk under a new
// id and loses a second one right after.
func TestReplicaLostDiskReplacedThenSecondLoss(t *testing.T) {
	t.Parallel()
	d := newReplicas(t)
	s := d.newSubmitter()
	s.waitMore(10)
	lost := d.waitLeader()
	d.loseDisk(lost)
	s.waitMore(5)
	s.close()
	d.replace(lost, "control-4", "za")
	second := d.waitLeader()
	if second == "control-4" {
		second = otherThan(d, "control-4")
	}
	d.loseDisk(second)
	s.check()
	d.replace(second, "control-5", "zb")
	s.check()
}

func otherThan(d *deployment, id string) string {
	for other := range d.controls {
		if other != id {
			return other
		}
	}
	return ""
}

// TestReplicaEmptiedDiskUnderKnownIDIsRefused starts a voter again with an
// empty folder, as a first member and as a joining one.
func TestReplicaEmptiedDiskUnderKnownIDIsRefused(t *testing.T) {
	t.Parallel()
	d := newReplicas(t)
	d.apply(smallFleet)
	leader := d.waitLeader()
	victim := otherThan(d, leader)
	for _, join := range []bool{false, true} {
		d.loseDisk(victim)
		s := d.controls[victim].settings
		s.Join = join
		again := d.newProcess("arbutus-control", victim, s)
		again.start()
		select {
		case <-again.exited:
		case <-time.After(electionLimit):
			t.Fatalf("join %v: a voter with an emptied folder goes on", join)
		}
		text, err := os.ReadFile(again.log)
		must(t, err)
		if !strings.Contains(string(text), "a replaced disk needs a new id") {
			t.Errorf("join %v: the refusal is not clear", join)
		}
	}
}

// TestReplicaAllKilledAndRestarted kills all voters at once, three times.
func TestReplicaAllKilledAndRestarted(t *testing.T) {
	t.Parallel()
	d := newReplicas(t)
	s := d.newSubmitter()
	for range 3 {
		s.waitMore(8)
		for _, c := range d.controls {
			c.signal(syscall.SIGKILL)
		}
		for _, c := range d.controls {
			c.kill()
			c.start()
		}
	}
	s.waitMore(3)
	s.finish()
}

// TestReplicaRestartAfterHundredsOfChanges stops a follower, lets the others
// go past it by more than their logs keep, and starts it again.
func TestReplicaRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	d := newReplicas(t)
	d.apply(smallFleet)
	follower := otherThan(d, d.waitLeader())
	d.controls[follower].kill()
	s := d.newPaddedSubmitter(strings.Repeat("x", 8<<10))
	s.waitMore(300)
	s.finish()
	d.controls[follower].start()
	log := filepath.Join(d.controls[follower].settings.DataDir, "replica.snapshot")
	info, err := os.Stat(log)
	must(t, err)
	eventually(t, electionLimit, "the follower takes a snapshot", func() error {
		now, err := os.Stat(log)
		if err == nil && now.Size() <= info.Size() {
			err = fmt.Errorf("%d bytes as before", now.Size())
		}
		return err
	})
	// The follower must hold what was accepted: the leader goes.
	leader := d.waitLeader()
	d.controls[leader].kill()
	s.check()
}

// TestReplicaTornTail appends a part of a frame to a log, as a power cut
// does, and then damages the middle of it, which must be refused.
func TestReplicaTornTail(t *testing.T) {
	t.Parallel()
	d := newReplicas(t)
	d.apply(smallFleet)
	d.apply(smallFleet + "// 2")
	victim := otherThan(d, d.waitLeader())
	c := d.controls[victim]
	c.kill()
	path := filepath.Join(c.settings.DataDir, "replica.log")
	data, err := os.ReadFile(path)
	must(t, err)
	must(t, os.WriteFile(path, append(data, data[:20]...), 0o600))
	c.start()
	d.waitFollows(victim)
	// A frame of its own follows, since only damage before the last one can
	// be told from a torn tail.
	size := len(data)
	d.apply(smallFleet + "// 3")
	eventually(t, electionLimit, "the follower holds the third document", func() error {
		now, err := os.ReadFile(path)
		if err == nil && len(now) < size+len(smallFleet) {
			err = fmt.Errorf("%d bytes, %d before", len(now), size)
		}
		return err
	})
	c.kill()
	data, err = os.ReadFile(path)
	must(t, err)
	data[len(data)/3] ^= 1
	must(t, os.WriteFile(path, data, 0o600))
	c.start()
	select {
	case <-c.exited:
	case <-time.After(electionLimit):
		t.Fatal("a damaged log is not refused")
	}
	text, err := os.ReadFile(c.log)
	must(t, err)
	if !strings.Contains(string(text), "damaged before its end") {
		t.Error("the refusal is not clear")
	}
}

// waitFollows waits until a control process names a leader.
func (d *deployment) waitFollows(id string) {
	d.t.Helper()
	eventually(d.t, electionLimit, id+" follows", func() error {
		_, err := d.statusAt(id)
		var refused *adminclient.StatusError
		if err == nil || errors.As(err, &refused) && refused.Fault.Leader != "" {
			return nil
		}
		return err
	})
}

// TestReplicaLeaderHandsOverAtStop stops the leader gracefully; the next one
// must lead sooner than any election timeout allows.
func TestReplicaLeaderHandsOverAtStop(t *testing.T) {
	t.Parallel()
	d := newReplicas(t)
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
