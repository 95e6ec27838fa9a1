package batch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/targetconn"
	"arbutusward.example/arbutusward/internal/request"
)

// fakeStore leases each of its jobs once and records their ends. The first
// failing calls of Finish return an error.
type fakeStore struct {
	mu      sync.Mutex
	jobs    []Job
	cancel  []string
	ends    map[string]End
	failing int
}

func (f *fakeStore) Accept(context.Context, Request) (string, error)  { return "", nil }
func (f *fakeStore) Get(context.Context, string) (Job, error)         { return Job{}, ErrNotFound }
func (f *fakeStore) Cancel(context.Context, []string) (States, error) { return States{}, nil }

func (f *fakeStore) Pull(_ context.Context, _ []LeaseRef, limit int, _ []string) (Leases, error) {
	time.Sleep(5 * time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	count := min(limit, len(f.jobs))
	leases := Leases{Jobs: f.jobs[:count], Cancelling: f.cancel}
	f.jobs = f.jobs[count:]
	return leases, nil
}

func (f *fakeStore) Finish(_ context.Context, end End) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing > 0 {
		f.failing--
		return errors.New("no leader")
	}
	f.ends[end.ID] = end
	return nil
}

func (f *fakeStore) end(id string) (End, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	end, ended := f.ends[id]
	return end, ended
}

// fakeDispatcher answers immediately, except for the request "slow", which ends
// only by cancellation.
type fakeDispatcher struct{}

func (fakeDispatcher) Dispatch(ctx context.Context, d request.Dispatch) request.Result {
	if d.ID != "slow" {
		return request.Result{Outcome: request.Ran, Answer: &targetconn.Answer{Status: 200}}
	}
	<-ctx.Done()
	return request.Result{Outcome: request.Unknown, Reason: "cancelled"}
}

func declared(string) (Service, bool) { return Service{Deadline: time.Minute}, true }

func runnable() []string { return []string{"cleanup"} }

func TestRunnerFinishesLeasedRequestsBeforeItStops(t *testing.T) {
	store := &fakeStore{jobs: []Job{{Request: Request{ID: "one"}}, {Request: Request{ID: "two"}}}, ends: map[string]End{}, failing: 3}
	runner := NewRunner(store, fakeDispatcher{}, declared, runnable, slog.New(slog.DiscardHandler))
	go runner.Run(context.Background())
	time.Sleep(50 * time.Millisecond)
	if err := runner.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"one", "two"} {
		if end, ended := store.end(id); !ended || !end.Ran {
			t.Errorf("%s: ended %t, %+v", id, ended, end)
		}
	}
}

func TestRunnerStopsACancelledRun(t *testing.T) {
	store := &fakeStore{jobs: []Job{{Request: Request{ID: "slow"}}}, cancel: []string{"slow"}, ends: map[string]End{}}
	runner := NewRunner(store, fakeDispatcher{}, declared, runnable, slog.New(slog.DiscardHandler))
	go runner.Run(context.Background())
	defer func() { _ = runner.Stop(context.Background()) }()
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if end, ended := store.end("slow"); ended {
			if end.Ran || end.NotRun {
				t.Errorf("ended as %+v", end)
			}
			return
		}
	}
	t.Error("the cancelled run has not ended")
}
