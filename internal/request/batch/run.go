package batch

import (
	"context"
	"errors"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/request"
	"arbutusward.example/arbutusward/internal/request/claim"
)

// run is an attempt to run a batch request under a lease.
type run struct {
	job    Job
	cancel context.CancelFunc
	// leaseEnd is the end of the lease on the monotonic clock.
	leaseEnd time.Time
}

func (r *Runner) startRun(job Job, leaseEnd time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[job.ID] != nil || r.unstored[LeaseRef{ID: job.ID, Epoch: job.Epoch}] {
		return
	}
	// Runs outlive the pull. They end by their deadline or by cancellation.
	ctx, cancel := context.WithCancel(context.Background())
	r.runs[job.ID] = &run{job: job, cancel: cancel, leaseEnd: leaseEnd}
	go func() {
		defer cancel()
		r.finish(r.runAttempt(ctx, job, leaseEnd))
	}()
}

// runAttempt runs a request once and returns the end of the attempt.
func (r *Runner) runAttempt(ctx context.Context, job Job, leaseEnd time.Time) End {
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
		end.Answer = storableAnswer(&claim.Answer{Status: result.Answer.Status, Header: result.Answer.Header, Body: result.Answer.Body})
	case result.Outcome == request.NotRun:
		end.NotRun = true
		r.backOff(job.Service)
	}
	return end
}

// backOff stops pulling requests of a service for serviceBackoff.
func (r *Runner) backOff(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backoffUntil[service] = time.Now().Add(serviceBackoff)
}

// storableAnswer returns the answer, or nil if it is too large for the store.
func storableAnswer(answer *claim.Answer) *claim.Answer {
	if answer.Size() > MaxBodyBytes {
		return nil
	}
	return answer
}

// finish reports the end of an attempt to the store, with retries until the
// store answers. Meanwhile the lease is renewed. A stopping entry stops retrying
// after LeaseTime, and the lease then expires in the store.
func (r *Runner) finish(end End) {
	started := time.Now()
	stored := false
	for !r.isStopping() || time.Since(started) < LeaseTime {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		err := r.store.Finish(ctx, end)
		cancel()
		stored = err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrRefused)
		if stored {
			break
		}
		r.log.Warn("batch request end not stored", "request", end.ID, logging.Err(err))
		r.awaitRetry(context.Background())
	}
	r.mu.Lock()
	delete(r.runs, end.ID)
	if !stored {
		r.unstored[end.LeaseRef] = true
	}
	r.mu.Unlock()
	select {
	case r.runEnded <- struct{}{}:
	default:
	}
}
