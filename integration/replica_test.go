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
	"arbutusward.example/arbutusward/internal/process/keys"
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
	stop   chan struct{}
	done   sync.WaitGroup

	mu       sync.Mutex
	accepted []state.Submission
	failures int
}

// newSubmitter begins to submit.
func (d *deployment) newSubmitter() *submitter {
	s := &submitter{d: d, client: d.client, stop: make(chan struct{})}
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
		if err := s.submitOne(fmt.Sprintf("%s// change %d", smallFleet, i)); err != nil {
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
	close(s.stop)
	s.done.Wait()
	s.check()
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

var _ = []any{errors.Is, os.Remove, filepath.Join, strings.Contains, syscall.SIGSTOP, keys.Admin, settings.Control{}}
