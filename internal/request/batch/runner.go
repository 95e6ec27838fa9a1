package batch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/request"
	"arbutusward.example/arbutusward/internal/request/claim"
)

const (
	// maxRuns is the number of batch requests that one entry runs at once.
	maxRuns = 16
	// pullTimeout bounds one pull.
	pullTimeout = 5 * time.Second
	// runnerPause is the time before a call that failed is made again.
	runnerPause = 200 * time.Millisecond
	// leaseMargin is how long before the end of its lease an idempotent
	// request is given up, since another entry may take it over then.
	leaseMargin = time.Second
	// renewInterval is the time between renewals while no more can be taken.
	renewInterval = time.Second
	// gatherTime is the time for which ends are gathered before a pull.
	gatherTime = 20 * time.Millisecond
	// restTime is the time for which no requests of a service are pulled
	// after one could not be run here.
	restTime = time.Second
)

// Dispatcher runs one request on a target.
type Dispatcher interface {
	Dispatch(ctx context.Context, d request.Dispatch) request.Result
}

// Runner runs the batch requests that the store leases to this entry.
type Runner struct {
	store    Store
	dispatch Dispatcher
	lookup   Lookup
	// runnable lists the services that can be run here now.
	runnable func() []string
	log      *slog.Logger

	mu   sync.Mutex
	runs map[string]*run
	// resting holds until when a service is not pulled.
	resting map[string]time.Time
	// freed is signalled when a run has ended.
	freed chan struct{}
	// stopping is closed by Stop; stopped once nothing runs any more.
	stopping, stopped chan struct{}
}

// run is one lease and its attempt.
type run struct {
	job    Job
	cancel context.CancelFunc
	// leaseEnd is on the monotonic clock.
	leaseEnd time.Time
}

// NewRunner returns a runner; Run makes it work.
func NewRunner(store Store, dispatch Dispatcher, lookup Lookup, runnable func() []string, log *slog.Logger) *Runner {
	return &Runner{store: store, dispatch: dispatch, lookup: lookup, runnable: runnable, log: log, runs: map[string]*run{},
		resting: map[string]time.Time{}, freed: make(chan struct{}, 1), stopping: make(chan struct{}), stopped: make(chan struct{})}
}

// Run pulls and runs batch requests until Stop, and then until those that
// run have ended.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.stopped)
	for ctx.Err() == nil {
		held := r.held()
		services := r.services()
		if r.isStopping() {
			if len(held) == 0 {
				return
			}
			services = nil
		}
		limit := maxRuns - len(held)
		if len(services) == 0 || limit == 0 {
			limit = 0
			r.awaitEnd(ctx)
			held = r.held()
		}
		if limit == 0 && len(held) == 0 {
			continue
		}
		if err := r.pull(ctx, held, limit, services); err != nil && ctx.Err() == nil {
			r.log.Warn("pull of batch requests failed", logging.Err(err))
			r.pause(ctx)
		}
		r.dropEnded()
	}
}

// awaitEnd returns shortly after a run has ended, or when the leases need a
// renewal.
func (r *Runner) awaitEnd(ctx context.Context) {
	select {
	case <-r.freed:
		time.Sleep(gatherTime)
	case <-time.After(renewInterval):
	case <-ctx.Done():
	}
}

// services lists the services that may be pulled now.
func (r *Runner) services() []string {
	now := time.Now()
	var services []string
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range r.runnable() {
		if now.After(r.resting[service]) {
			services = append(services, service)
		}
	}
	return services
}

// Stop takes no new requests and waits for those that run.
func (r *Runner) Stop(ctx context.Context) error {
	close(r.stopping)
	select {
	case <-r.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *Runner) isStopping() bool {
	select {
	case <-r.stopping:
		return true
	default:
		return false
	}
}

func (r *Runner) pause(ctx context.Context) {
	select {
	case <-time.After(runnerPause):
	case <-ctx.Done():
	}
}

func (r *Runner) held() []LeaseRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := make([]LeaseRef, 0, len(r.runs))
	for _, running := range r.runs {
		held = append(held, LeaseRef{ID: running.job.ID, Epoch: running.job.Epoch})
	}
	return held
}

func (r *Runner) pull(ctx context.Context, held []LeaseRef, limit int, services []string) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	askedAt := time.Now()
	leases, err := r.store.Pull(ctx, held, limit, services)
	if err != nil {
		return err
	}
	r.renew(held, leases, askedAt.Add(LeaseTime))
	for _, job := range leases.Jobs {
		r.begin(job, askedAt.Add(LeaseTime))
	}
	return nil
}

// renew extends the leases that were held when the pull was made, and ends
// the runs that should not go on.
func (r *Runner) renew(held []LeaseRef, leases Leases, leaseEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, hold := range held {
		if running := r.runs[hold.ID]; running != nil {
			running.leaseEnd = leaseEnd
		}
	}
	for _, id := range leases.Lost {
		// Another entry may run an idempotent request now. A non-idempotent
		// one is run by nobody else, and its answer is still welcome.
		if running := r.runs[id]; running != nil && running.job.Idempotent {
			running.cancel()
		}
	}
	for _, id := range leases.Cancelling {
		if running := r.runs[id]; running != nil {
			running.cancel()
		}
	}
}

// dropEnded gives up idempotent runs whose lease could not be renewed.
func (r *Runner) dropEnded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := time.Now().Add(leaseMargin)
	for _, running := range r.runs {
		if running.job.Idempotent && running.leaseEnd.Before(limit) {
			running.cancel()
		}
	}
}

func (r *Runner) begin(job Job, leaseEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[job.ID] != nil {
		return
	}
	// Runs outlive the pull; they end by their deadline or by cancellation.
	ctx, cancel := context.WithCancel(context.Background())
	r.runs[job.ID] = &run{job: job, cancel: cancel, leaseEnd: leaseEnd}
	go func() {
		defer cancel()
		r.finish(r.attempt(ctx, job, leaseEnd))
	}()
}

// attempt runs a request once and returns its end.
func (r *Runner) attempt(ctx context.Context, job Job, leaseEnd time.Time) End {
	end := End{LeaseRef: LeaseRef{ID: job.ID, Epoch: job.Epoch}}
	service, declared := r.lookup(job.Service)
	switch {
	case r.isStopping():
		end.NotRun, end.Reason = true, "the entry is stopping"
		return end
	case !declared:
		end.NotRun, end.Reason = true, "the service is not declared"
		return end
	case time.Now().After(leaseEnd.Add(-leaseMargin)):
		end.NotRun, end.Reason = true, "the lease ended before the attempt"
		return end
	}
	ctx, cancel := context.WithTimeout(ctx, service.Deadline)
	defer cancel()
	result := r.dispatch.Dispatch(ctx, request.Dispatch{ID: job.ID, Service: job.Service, Method: job.Method, URI: job.URI, Header: job.Header.Clone(), Body: job.Body, Caller: job.Caller})
	end.Reason = result.Reason
	switch {
	case result.Outcome == request.Ran && result.Answer != nil:
		end.Ran = true
		end.Answer = keptAnswer(&claim.Answer{Status: result.Answer.Status, Header: result.Answer.Header, Body: result.Answer.Body})
	case result.Outcome == request.NotRun:
		end.NotRun = true
		r.rest(job.Service)
	}
	return end
}

// rest keeps a service from being pulled for a while.
func (r *Runner) rest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resting[service] = time.Now().Add(restTime)
}

// keptAnswer drops an answer that the store would not keep.
func keptAnswer(answer *claim.Answer) *claim.Answer {
	if answer.Size() > MaxBodyBytes {
		return nil
	}
	return answer
}

// finish tells the end of an attempt until the store has answered. The
// lease is renewed until then. A stopping entry gives up after LeaseTime;
// the store then ends the lease by itself.
func (r *Runner) finish(end End) {
	begun := time.Now()
	for !r.isStopping() || time.Since(begun) < LeaseTime {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		err := r.store.Finish(ctx, end)
		cancel()
		if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrRefused) {
			break
		}
		r.log.Warn("end of a batch request was not stored", "request", end.ID, logging.Err(err))
		r.pause(context.Background())
	}
	r.mu.Lock()
	delete(r.runs, end.ID)
	r.mu.Unlock()
	select {
	case r.freed <- struct{}{}:
	default:
	}
}
