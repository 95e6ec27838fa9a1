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

// submitter submits documents one after the other and records the accepted
// submissions.
type submitter struct {
	d      *deployment
	client *adminclient.Client
	// padding is added to the documents to make them longer.
	padding string
	stop    chan struct{}
	done    sync.WaitGroup

	mu       sync.Mutex
	accepted []state.Submission
	failures int
}

// newSubmitter starts to submit documents.
func (d *deployment) newSubmitter() *submitter { return d.newPaddedSubmitter("") }

// newPaddedSubmitter starts to submit documents that are made longer by padding.
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

// newest returns the newest version that the submitter saw accepted.
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

// finish stops submitting and checks the accepted submissions.
func (s *submitter) finish() {
	s.d.t.Helper()
	s.close()
	s.check()
}

// close stops submitting.
func (s *submitter) close() {
	close(s.stop)
	s.done.Wait()
}

// check checks that the accepted versions only increased and that the last one was
// not lost.
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
		s.d.t.Errorf("version %d was accepted, but the newest is now %d", last, status.Accepted)
	}
	s.d.t.Logf("%d submissions accepted, %d failed; newest version %d", len(s.accepted), s.failures, status.Accepted)
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
	var members []settings.Member
	for i := range zones {
		members = append(members, settings.Member{ID: fmt.Sprintf("control-%d", i+1), Link: freePort(d.t), Admin: freePort(d.t)})
	}
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

// loseDisk kills a control process and deletes its data directory.
func (d *deployment) loseDisk(id string) {
	d.t.Helper()
	d.controls[id].kill()
	must(d.t, os.RemoveAll(d.controls[id].settings.DataDir))
}

// replace replaces a lost control process by a new one and waits until the new one
// is a voter.
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

// changeMember sends a membership change until it is accepted.
func (d *deployment) changeMember(method, path, body string) {
	d.t.Helper()
	eventually(d.t, 20*time.Second, method+" "+path, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		err := d.client.Do(ctx, method, path, []byte(body), nil)
		var refused *adminclient.StatusError
		if errors.As(err, &refused) && (refused.Fault.Code == "not_found" || refused.Fault.Code == "member_exists") {
			// An earlier attempt was accepted, but its answer was lost.
			return nil
		}
		return err
	})
}

// TestReplicaLostDiskReplacedThenSecondLoss replaces a voter that lost its disk by
// one with a new ID, and loses the disk of a second voter right after.
func TestReplicaLostDiskReplacedThenSecondLoss(t *testing.T) {
	t.Parallel()
	d := newReplicaDeployment(t)
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

// otherThan returns the ID of some control process other than the given one.
func otherThan(d *deployment, id string) string {
	for other := range d.controls {
		if other != id {
			return other
		}
	}
	return ""
}

// TestReplicaEmptiedDiskUnderKnownIDIsRefused restarts a voter with an empty data
// directory, once as an initial member and once as a joining one. It must refuse to
// run, because it may have forgotten a vote or an entry that it acknowledged.
func TestReplicaEmptiedDiskUnderKnownIDIsRefused(t *testing.T) {
	t.Parallel()
	d := newReplicaDeployment(t)
	d.apply(smallFleet)
	leader := d.waitLeader()
	follower := otherThan(d, leader)
	for _, join := range []bool{false, true} {
		d.loseDisk(follower)
		s := d.controls[follower].settings
		s.Join = join
		restarted := d.newProcess("arbutus-control", follower, s)
		restarted.start()
		select {
		case <-restarted.exited:
		case <-time.After(electionLimit):
			t.Fatalf("join %v: a voter with an emptied data directory does not exit", join)
		}
		text, err := os.ReadFile(restarted.logPath)
		must(t, err)
		if !strings.Contains(string(text), "a replaced disk needs a new id") {
			t.Errorf("join %v: the log does not name the cause of the refusal", join)
		}
	}
}

// TestReplicaAllKilledAndRestarted kills all voters at once, three times.
func TestReplicaAllKilledAndRestarted(t *testing.T) {
	t.Parallel()
	d := newReplicaDeployment(t)
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

// TestReplicaRestartAfterHundredsOfChanges stops a follower, submits more changes
// than the logs of the others keep, and starts the follower again. It must catch up
// by a snapshot.
func TestReplicaRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	d := newReplicaDeployment(t)
	d.apply(smallFleet)
	follower := otherThan(d, d.waitLeader())
	d.controls[follower].kill()
	s := d.newPaddedSubmitter(strings.Repeat("x", 8<<10))
	s.waitMore(300)
	s.finish()
	d.controls[follower].start()
	snapshotPath := filepath.Join(d.controls[follower].settings.DataDir, "replica.snapshot")
	info, err := os.Stat(snapshotPath)
	must(t, err)
	eventually(t, electionLimit, "the follower installs a snapshot", func() error {
		now, err := os.Stat(snapshotPath)
		if err == nil && now.Size() <= info.Size() {
			err = fmt.Errorf("still %d bytes", now.Size())
		}
		return err
	})
	// Without the leader, the accepted changes are kept only if the follower has
	// them.
	leader := d.waitLeader()
	d.controls[leader].kill()
	s.check()
}

// TestReplicaTornTail appends a part of a frame to a log, as a power cut during a
// write leaves it. The process must start with this log. The test then damages a
// frame in the middle of the log, which must be refused.
func TestReplicaTornTail(t *testing.T) {
	t.Parallel()
	d := newReplicaDeployment(t)
	d.apply(smallFleet)
	d.apply(smallFleet + "// 2")
	follower := otherThan(d, d.waitLeader())
	c := d.controls[follower]
	c.kill()
	path := filepath.Join(c.settings.DataDir, "replica.log")
	data, err := os.ReadFile(path)
	must(t, err)
	must(t, os.WriteFile(path, append(data, data[:20]...), 0o600))
	c.start()
	d.waitFollows(follower)
	// Another frame must follow, since only damage before the last frame can be
	// distinguished from a torn tail.
	size := len(data)
	d.apply(smallFleet + "// 3")
	eventually(t, electionLimit, "the follower has stored the third document", func() error {
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
	text, err := os.ReadFile(c.logPath)
	must(t, err)
	if !strings.Contains(string(text), "damaged before its end") {
		t.Error("the log does not name the cause of the refusal")
	}
}

// waitFollows waits until a control process leads or names a leader.
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
