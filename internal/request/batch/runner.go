package batch

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/request"
)

const (
	// maxRuns is the number of batch requests that one entry runs concurrently.
	maxRuns = 16
	// pullTimeout bounds one call to the store.
	pullTimeout = 5 * time.Second
	// retryInterval is the time before a failed call to the store is retried.
	retryInterval = 200 * time.Millisecond
	// leaseMargin is how long before its lease expires an idempotent request is
	// cancelled, because another entry may run it once the lease has expired.
	leaseMargin = time.Second
	// renewInterval is the time between pulls that only renew leases.
	renewInterval = time.Second
	// pullDelay is the time from the end of a run to the next pull while
	// no further requests are pulled. Runs that end in the meantime share the
	// pull.
	pullDelay = 20 * time.Millisecond
	// serviceBackoff is the time for which no requests of a service are pulled
	// after one of them could not be run on this entry.
	serviceBackoff = time.Second
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
	// runnable returns the services for which this entry knows a live target.
	runnable func() []string
	log      *slog.Logger

	mu   sync.Mutex
	runs map[string]*run
	// unstored holds the attempts that have ended and whose end a stopping runner
	// could not store. They are not started again.
	unstored map[LeaseRef]bool
	// backoffUntil holds, by service, the time until which no requests are
	// pulled.
	backoffUntil map[string]time.Time
	// runEnded receives a value when a run has ended.
	runEnded chan struct{}
	// stopping is closed by Stop, and stopped when Run returns.
	stopping, stopped chan struct{}
}

// NewRunner returns a runner. Call Run to start it.
func NewRunner(store Store, dispatch Dispatcher, lookup Lookup, runnable func() []string, log *slog.Logger) *Runner {
	return &Runner{store: store, dispatch: dispatch, lookup: lookup, runnable: runnable, log: log, runs: map[string]*run{}, unstored: map[LeaseRef]bool{},
		backoffUntil: map[string]time.Time{}, runEnded: make(chan struct{}, 1), stopping: make(chan struct{}), stopped: make(chan struct{})}
}

// Run pulls and runs batch requests until the context ends, or until Stop is
// called and all runs have ended.
func (r *Runner) Run(ctx context.Context) {
	defer close(r.stopped)
	for ctx.Err() == nil {
		held := r.heldLeases()
		services := r.pullableServices()
		if r.isStopping() {
			if len(held) == 0 {
				return
			}
			services = nil
		}
		limit := maxRuns - len(held)
		if len(services) == 0 || limit == 0 {
			limit = 0
			r.awaitRunEnd(ctx)
			held = r.heldLeases()
		}
		if limit == 0 && len(held) == 0 {
			continue
		}
		if err := r.pull(ctx, held, limit, services); err != nil && ctx.Err() == nil {
			r.log.Warn("batch request pull failed", logging.Err(err))
			r.awaitRetry(ctx)
		}
		r.cancelExpiring()
	}
}

// awaitRunEnd waits until pullDelay after the end of a run, but at most
// for renewInterval if no run ends.
func (r *Runner) awaitRunEnd(ctx context.Context) {
	select {
	case <-r.runEnded:
		time.Sleep(pullDelay)
	case <-time.After(renewInterval):
	case <-ctx.Done():
	}
}

// pullableServices returns the runnable services that are not in backoff.
func (r *Runner) pullableServices() []string {
	now := time.Now()
	var services []string
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, service := range r.runnable() {
		if now.After(r.backoffUntil[service]) {
			services = append(services, service)
		}
	}
	return services
}

// Stop stops pulling new requests and waits for the running ones to end.
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

func (r *Runner) awaitRetry(ctx context.Context) {
	select {
	case <-time.After(retryInterval):
	case <-ctx.Done():
	}
}

func (r *Runner) heldLeases() []LeaseRef {
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
		r.startRun(job, askedAt.Add(LeaseTime))
	}
	return nil
}

// renew extends the leases that were held when the pull was made, and cancels
// the runs that must not continue.
func (r *Runner) renew(held []LeaseRef, leases Leases, leaseEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, lease := range held {
		if running := r.runs[lease.ID]; running != nil {
			running.leaseEnd = leaseEnd
		}
	}
	for _, id := range leases.Lost {
		// Another entry may run an idempotent request now. No other entry runs
		// a non-idempotent one, so its answer is still useful.
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

// cancelExpiring cancels idempotent runs whose lease is about to expire because
// it could not be renewed.
func (r *Runner) cancelExpiring() {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := time.Now().Add(leaseMargin)
	for _, running := range r.runs {
		if running.job.Idempotent && running.leaseEnd.Before(limit) {
			running.cancel()
		}
	}
}
