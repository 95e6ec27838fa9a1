package integration

import (
	"context"
	"fmt"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/adminclient"
	"arbutusward.example/arbutusward/internal/process/state"
)

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
