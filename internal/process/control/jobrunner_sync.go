package control

import (
	"context"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workerapi"
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// workerClock is a worker's stamp and the time when it was received.
type workerClock struct {
	stamp      workerapi.Stamp
	receivedAt time.Time
}

// syncWorkers calls the workers that have changes or are due, and returns
// their answers. A leader without contact to a majority calls none: the next one may
// have counted their tasks as lost.
func (r *jobRunner) syncWorkers(ctx context.Context) map[string]workerapi.SyncAnswer {
	if !r.checkContact() {
		return nil
	}
	syncs := r.dueSyncs(time.Now())
	r.refreshClocks(ctx, syncs)
	if !r.checkContact() {
		for vm := range syncs {
			r.dirty[vm] = true
		}
		return nil
	}
	for vm, body := range syncs {
		if time.Since(r.clocks[vm].receivedAt) > maxStampAge {
			// The worker did not answer, so no lease can be granted.
			delete(syncs, vm)
			continue
		}
		syncs[vm] = r.grantLeases(vm, body)
	}
	answers := r.callAll(ctx, syncs)
	for vm := range answers {
		delete(r.forgettable, vm)
	}
	return answers
}

// checkContact reports whether this process has contact to a majority, and logs
// changes.
func (r *jobRunner) checkContact() bool {
	status := r.server.replica.Status()
	contact := status.InContact()
	if contact == r.cutOff {
		r.cutOff = !contact
		r.server.log.Warn("contact of the job runner to a majority changed", "contact", contact, "unconfirmed_ms", status.Unconfirmed.Milliseconds(), "term", status.Term)
	}
	return contact
}

// refreshClocks requests a new stamp from the workers whose known stamp is
// too old for a lease.
func (r *jobRunner) refreshClocks(ctx context.Context, syncs map[string]workerapi.Sync) {
	stale := map[string]workerapi.Sync{}
	for vm := range syncs {
		if time.Since(r.clocks[vm].receivedAt) > maxStampAge {
			stale[vm] = workerapi.Sync{}
		}
	}
	r.callAll(ctx, stale)
}

// grantLeases adds a lease to a call, based on the worker's stamp. The lease
// counts from the receipt of that stamp, whether or not the call is answered.
func (r *jobRunner) grantLeases(vm string, body workerapi.Sync) workerapi.Sync {
	clock := r.clocks[vm]
	body.AsOf = clock.stamp
	body.LeaseMS = taskLeaseTime.Milliseconds()
	for _, task := range body.Tasks {
		ref := workerapi.TaskRef{Job: task.Job, Epoch: task.Epoch}
		if clock.receivedAt.After(r.leaseStart[ref]) {
			r.leaseStart[ref] = clock.receivedAt
		}
	}
	return body
}

// callAll calls the workers, a limited number concurrently, and stores the
// stamps in their answers.
func (r *jobRunner) callAll(ctx context.Context, syncs map[string]workerapi.Sync) map[string]workerapi.SyncAnswer {
	answers := map[string]workerapi.SyncAnswer{}
	var mu sync.Mutex
	var group sync.WaitGroup
	slots := make(chan struct{}, maxSyncsAtOnce)
	for vm, body := range syncs {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			answer, err := r.workers.Sync(ctx, vm, body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				r.markUnresponsive(vm, err)
				return
			}
			delete(r.unresponsiveSince, vm)
			answers[vm] = answer
			r.clocks[vm] = workerClock{stamp: answer.Now, receivedAt: time.Now()}
		})
	}
	group.Wait()
	return answers
}

// markUnresponsive records the first failed call to a worker since its last
// answer.
func (r *jobRunner) markUnresponsive(vm string, err error) {
	if r.unresponsiveSince[vm].IsZero() {
		r.unresponsiveSince[vm] = time.Now()
		r.server.log.Warn("worker unresponsive", "vm", vm, logging.Err(err))
	}
}

// dueSyncs returns the calls to workers that have changes or were not called
// for syncInterval, and drops the attempts that have ended from leaseStart.
func (r *jobRunner) dueSyncs(now time.Time) map[string]workerapi.Sync {
	byWorker := map[string][]workerapi.TaskOrder{}
	live := map[workerapi.TaskRef]time.Time{}
	for _, job := range r.server.machine.ActiveJobs() {
		if job.Phase != jobplan.Running {
			continue
		}
		ref := workerapi.TaskRef{Job: job.Spec.ID, Epoch: job.Epoch}
		live[ref] = r.leaseStart[ref]
		if !r.adopted {
			live[ref] = now
		}
		byWorker[job.Worker] = append(byWorker[job.Worker], taskOrder(job))
	}
	r.leaseStart = live
	r.adopted = true
	syncs := map[string]workerapi.Sync{}
	for vm := range r.forgettable {
		syncs[vm] = workerapi.Sync{Tasks: byWorker[vm], Forget: r.forgettable[vm]}
	}
	for vm := range r.unresponsiveSince {
		if now.Sub(r.syncedAt[vm]) >= syncInterval {
			syncs[vm] = workerapi.Sync{Tasks: byWorker[vm]}
		}
	}
	for vm, tasks := range byWorker {
		if r.dirty[vm] || now.Sub(r.syncedAt[vm]) >= syncInterval {
			syncs[vm] = workerapi.Sync{Tasks: tasks, Forget: r.forgettable[vm]}
		}
	}
	for vm := range syncs {
		r.syncedAt[vm] = now
	}
	clear(r.dirty)
	return syncs
}

func taskOrder(job state.Job) workerapi.TaskOrder {
	return workerapi.TaskOrder{
		Job: job.Spec.ID, Epoch: job.Epoch, Team: job.Spec.Team, Kind: job.Spec.Kind,
		Reservation: job.Reserved, Payload: job.Spec.Payload, Order: job.Order, Resume: job.Checkpointed,
	}
}
