package integration

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/settings"
)

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
