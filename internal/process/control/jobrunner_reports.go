package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workerapi"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// record proposes the changes that the workers reported, and the loss of
// attempts whose lease has expired.
func (r *jobRunner) record(ctx context.Context, answers map[string]workerapi.SyncAnswer) error {
	var reports []state.TaskReport
	for vm, answer := range answers {
		for _, task := range answer.Tasks {
			report, changed := r.reportFor(vm, task)
			if changed {
				reports = append(reports, report)
			}
		}
	}
	reports = append(reports, r.lostTasks(time.Now())...)
	if len(reports) == 0 {
		return nil
	}
	answer, err := propose[state.TaskReportsAnswer](ctx, r.server, state.ReportTasks, state.TaskReports{Reports: reports})
	if err != nil {
		return err
	}
	r.recordReports(reports, answer)
	return nil
}

// reportFor converts a worker's task state to a report, and reports whether
// it has to be recorded. A worker may drop an ended attempt once the state shows
// what follows from its end.
func (r *jobRunner) reportFor(vm string, task workerapi.TaskInfo) (state.TaskReport, bool) {
	report := state.TaskReport{Job: task.Job, Epoch: task.Epoch, Outcome: outcomeOf(task.State), Used: task.PeakUsage, RunMS: task.RunMS, Reason: task.Reason}
	job, known := r.server.machine.JobView(task.Job)
	current := known && job.Phase == jobplan.Running && job.Epoch == task.Epoch && job.Worker == vm
	if !current {
		if known && report.Outcome == state.TaskDone && job.CountsLate(task.Epoch) {
			r.server.log.Info("success of an earlier attempt reported", "job", task.Job, "epoch", task.Epoch, "worker", vm, "newest_epoch", job.Epoch)
			report.Late = true
			return report, true
		}
		if task.State.Ended() {
			r.forgettable[vm] = append(r.forgettable[vm], workerapi.TaskRef{Job: task.Job, Epoch: task.Epoch})
		}
		return report, false
	}
	switch report.Outcome {
	case state.TaskRunning:
		return report, usageChanged(job.Used, task.PeakUsage)
	case state.TaskCheckpointed:
		return report, !job.Checkpointed || usageChanged(job.Used, task.PeakUsage)
	}
	return report, true
}

func outcomeOf(s workerapi.TaskState) state.TaskOutcome {
	switch s {
	case workerapi.Checkpointed:
		return state.TaskCheckpointed
	case workerapi.Done:
		return state.TaskDone
	case workerapi.Failed:
		return state.TaskFailed
	case workerapi.Stopped:
		return state.TaskStopped
	}
	return state.TaskRunning
}

// usageChanged reports whether the usage differs by more than usageThreshold.
func usageChanged(recorded, reported fleet.Resources) bool {
	changed := func(a, b float64) bool { return b > a*(1+usageThreshold) || b < a*(1-usageThreshold) }
	return changed(recorded.CPUCores, reported.CPUCores) || changed(recorded.MemoryGiB, reported.MemoryGiB)
}

// lostTasks returns the attempts that cannot be running any more: those whose
// lease has expired, and those on unresponsive workers that never got a
// lease.
func (r *jobRunner) lostTasks(now time.Time) []state.TaskReport {
	var reports []state.TaskReport
	for ref, base := range r.leaseStart {
		job, known := r.server.machine.JobView(ref.Job)
		waiting := base.IsZero() && known && r.unresponsiveSince[job.Worker].IsZero()
		if !waiting && now.Sub(base) > taskLeaseTime+leaseMargin {
			reports = append(reports, state.TaskReport{Job: ref.Job, Epoch: ref.Epoch, Outcome: state.TaskLost, Reason: "the worker was silent past the lease"})
		}
	}
	return reports
}

// recordReports records ended attempts and quarantined workers in the
// timeline.
func (r *jobRunner) recordReports(reports []state.TaskReport, answer state.TaskReportsAnswer) {
	for _, report := range reports {
		if report.Outcome == state.TaskRunning || report.Outcome == state.TaskCheckpointed {
			continue
		}
		cause := string(report.Outcome) + " " + report.Reason
		if report.Late {
			cause = string(report.Outcome) + " by an earlier attempt"
			r.markDirty(report.Job)
		}
		r.server.recorder.Record(timeline.Event{Kind: timeline.JobEnded, Job: report.Job, Cause: cause})
	}
	for _, vm := range slices.Sorted(maps.Keys(toSet(answer.Quarantined))) {
		r.server.recorder.Record(timeline.Event{Kind: timeline.WorkerQuarantined, VM: vm, Cause: "distinct jobs failed on it in a row"})
	}
}
