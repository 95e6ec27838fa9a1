package batch

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"testing"
	"time"
)

// resendingStore leases its jobs again while the entry does not report them as
// held, since their leases seem not to have arrived. It stores no end of job one.
type resendingStore struct {
	*fakeStore
	leased []Job
	// notRun is the number of ends of job one that say it was not run.
	notRun int
}

func (s *resendingStore) Pull(_ context.Context, held []LeaseRef, _ int, _ []string) (Leases, error) {
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var leases Leases
	for _, job := range s.leased {
		_, ended := s.ends[job.ID]
		if !ended && !slices.Contains(held, LeaseRef{ID: job.ID, Epoch: job.Epoch}) {
			leases.Jobs = append(leases.Jobs, job)
		}
	}
	return leases, nil
}

func (s *resendingStore) Finish(ctx context.Context, end End) error {
	if end.ID != "one" {
		return s.fakeStore.Finish(ctx, end)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if end.NotRun {
		s.notRun++
	}
	return errors.New("no leader")
}

// TestStoppingEntryDoesNotReportARequestThatRanAsNotRun guards against a request that runs twice: a stopping entry gives up storing its end, gets the lease again and answers that it was not run.
func TestStoppingEntryDoesNotReportARequestThatRanAsNotRun(t *testing.T) {
	t.Parallel()
	store := &resendingStore{fakeStore: &fakeStore{ends: map[string]End{}}, leased: []Job{{Request: Request{ID: "one"}}, {Request: Request{ID: "slow"}}}}
	runner := NewRunner(store, fakeDispatcher{}, declared, runnable, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go runner.Run(ctx)
	time.Sleep(100 * time.Millisecond)
	stopping, cancelStop := context.WithTimeout(t.Context(), LeaseTime+2*renewInterval)
	defer cancelStop()
	_ = runner.Stop(stopping)
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.notRun > 0 {
		t.Errorf("a request that ran was reported as not run %d times", store.notRun)
	}
}
