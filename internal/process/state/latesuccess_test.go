package state

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// allOutcomes lists the outcomes that a report can have.
var allOutcomes = []TaskOutcome{TaskRunning, TaskCheckpointed, TaskDone, TaskFailed, TaskStopped, TaskLost}

// newLostJob returns a driver with job j, whose first attempt was lost.
func newLostJob(t *testing.T) *jobDriver {
	d := newJobDriver(t, jobFleet)
	spec := JobSpec{ID: "j", Team: "red", Kind: "k", Declared: fleet.Resources{CPUCores: 1, MemoryGiB: 1}}
	apply[JobSubmissionAnswer](d, SubmitJobs, JobSubmission{Jobs: []JobSpec{spec}})
	d.plan()
	d.report(TaskReport{Epoch: 1, Outcome: TaskLost})
	return d
}

// newRestartedJob returns a driver with job j, whose second attempt is running.
func newRestartedJob(t *testing.T) *jobDriver {
	d := newLostJob(t)
	d.plan()
	if job := d.job(); job.Phase != jobplan.Running || job.Epoch != 2 {
		t.Fatalf("job %+v", job)
	}
	return d
}

// job returns job j.
func (d *jobDriver) job() Job {
	job, _ := d.machine.JobView("j")
	return job
}

// report reports on job j.
func (d *jobDriver) report(report TaskReport) TaskReportsAnswer {
	report.Job = "j"
	return apply[TaskReportsAnswer](d, ReportTasks, TaskReports{Reports: []TaskReport{report}})
}

// checkIgnored checks that a report on job j is counted as stale and changes nothing.
func (d *jobDriver) checkIgnored(t *testing.T, report TaskReport) {
	t.Helper()
	before, observed := d.job(), d.observations()
	if answer := d.report(report); answer.Stale != 1 || len(answer.Quarantined) > 0 {
		t.Errorf("report %+v: answer %+v", report, answer)
	}
	if after := d.job(); !reflect.DeepEqual(before, after) {
		t.Errorf("report %+v changed the job:\n%+v\n%+v", report, before, after)
	}
	if d.observations() != observed {
		t.Errorf("report %+v was counted as an observation", report)
	}
}

func (d *jobDriver) observations() int {
	return len(d.machine.data.Jobs.Observed[jobplan.KindKey("red", "k")])
}

// checkReplay applies the log to a second machine and compares the jobs.
func (d *jobDriver) checkReplay() {
	replayed := NewMachine()
	for i, entry := range d.entries {
		replayed.Apply(uint64(i+1), entry)
	}
	if a, b := d.machine.data.Jobs, replayed.data.Jobs; !reflect.DeepEqual(a, b) {
		d.t.Fatalf("replayed jobs differ:\n%+v\n%+v", a, b)
	}
}

// TestReportOnAnOlderAttemptDoesNotDisturbANewerOne guards against information of the past that is taken as present.
func TestReportOnAnOlderAttemptDoesNotDisturbANewerOne(t *testing.T) {
	d := newRestartedJob(t)
	for _, outcome := range allOutcomes {
		d.checkIgnored(t, TaskReport{Epoch: 1, Outcome: outcome})
		if outcome != TaskDone {
			d.checkIgnored(t, TaskReport{Epoch: 1, Outcome: outcome, Late: true})
		}
	}
	for _, epoch := range []uint64{0, 2, 3} {
		d.checkIgnored(t, TaskReport{Epoch: epoch, Outcome: TaskDone, Late: true})
	}
	d.checkReplay()
}

// TestReportOnAnOlderAttemptDoesNotStartOrEndAWaitingJob guards against a loss or failure that counts twice.
func TestReportOnAnOlderAttemptDoesNotStartOrEndAWaitingJob(t *testing.T) {
	d := newLostJob(t)
	for _, outcome := range allOutcomes {
		d.checkIgnored(t, TaskReport{Epoch: 1, Outcome: outcome})
		if outcome != TaskDone {
			d.checkIgnored(t, TaskReport{Epoch: 1, Outcome: outcome, Late: true})
		}
	}
	d.checkIgnored(t, TaskReport{Epoch: 2, Outcome: TaskDone, Late: true})
	d.checkReplay()
}

// TestLateSuccessOfALostAttemptEndsAWaitingJob guards against a job that runs again after its success.
func TestLateSuccessOfALostAttemptEndsAWaitingJob(t *testing.T) {
	d := newLostJob(t)
	late := TaskReport{Epoch: 1, Outcome: TaskDone, Late: true}
	if answer := d.report(late); answer.Stale != 0 {
		t.Errorf("answer %+v", answer)
	}
	if job := d.job(); job.Phase != jobplan.Done || job.Reason != "" || job.Lost != 1 || d.observations() != 1 {
		t.Errorf("%d observations, job %+v", d.observations(), job)
	}
	d.checkIgnored(t, late)
	d.plan()
	if job := d.job(); job.Epoch != 1 {
		t.Errorf("the job was started again: %+v", job)
	}
	d.checkReplay()
}

// TestLateSuccessStopsTheNewerAttempt guards against a job that runs again after its success, whichever way the newer attempt ends.
func TestLateSuccessStopsTheNewerAttempt(t *testing.T) {
	for _, end := range []TaskOutcome{TaskDone, TaskFailed, TaskStopped, TaskLost} {
		t.Run(string(end), func(t *testing.T) {
			d := newRestartedJob(t)
			stale := d.job()
			late := TaskReport{Epoch: 1, Outcome: TaskDone, Late: true}
			if answer := d.report(late); answer.Stale != 0 {
				t.Errorf("answer %+v", answer)
			}
			job := d.job()
			if job.Phase != jobplan.Running || job.Order != jobplan.Stop || job.Worker != stale.Worker || job.Reserved != stale.Reserved {
				t.Errorf("the newer attempt is not stopped, or its reservation not kept: %+v", job)
			}
			d.checkIgnored(t, late)
			order := JobOrder{Job: "j", Epoch: 2, Order: jobplan.Checkpoint}
			if answer := apply[JobStepsAnswer](d, StepJobs, JobSteps{Preemptions: []JobOrder{order}}); answer.Ordered != 0 || d.job().Order != jobplan.Stop {
				t.Errorf("an order replaced the stop: %+v", d.job())
			}
			d.checkSnapshot()
			d.report(TaskReport{Epoch: 2, Outcome: end})
			if job := d.job(); job.Phase != jobplan.Done || job.Reason != "" || job.Worker != "" || len(d.machine.TasksOn(stale.Worker)) > 0 {
				t.Errorf("job %+v", job)
			}
			for _, epoch := range []uint64{1, 2} {
				d.checkIgnored(t, TaskReport{Epoch: epoch, Outcome: TaskDone, Late: true})
			}
			d.checkReplay()
		})
	}
}

// TestLateSuccessIsNotUndoneByTheLastAttempt guards against a job that fails by the bound on its attempts, or counts as cancelled, after its success.
func TestLateSuccessIsNotUndoneByTheLastAttempt(t *testing.T) {
	for _, end := range []TaskOutcome{TaskFailed, TaskLost} {
		t.Run(string(end), func(t *testing.T) {
			d := newRestartedJob(t)
			bound := map[TaskOutcome]int{TaskFailed: maxAttempts, TaskLost: maxLostUnreported - 1}[end]
			for range bound - 1 {
				d.report(TaskReport{Epoch: d.job().Epoch, Outcome: end})
				d.plan()
			}
			d.report(TaskReport{Epoch: 1, Outcome: TaskDone, Late: true})
			apply[JobCancellationAnswer](d, CancelJobs, JobCancellation{IDs: []string{"j"}})
			d.report(TaskReport{Epoch: d.job().Epoch, Outcome: end})
			if job := d.job(); job.Phase != jobplan.Done || job.Reason != "" {
				t.Errorf("job %+v", job)
			}
			d.checkReplay()
		})
	}
}

// TestReportDoesNotChangeAnEndedJob guards against an end that reverts: callers may have acted on it.
func TestReportDoesNotChangeAnEndedJob(t *testing.T) {
	ends := map[jobplan.Phase]func(d *jobDriver){
		jobplan.Done: func(d *jobDriver) {
			d.plan()
			d.report(TaskReport{Epoch: 2, Outcome: TaskDone})
		},
		jobplan.Failed: func(d *jobDriver) {
			for range maxAttempts {
				d.plan()
				d.report(TaskReport{Epoch: d.job().Epoch, Outcome: TaskFailed})
			}
		},
		jobplan.Cancelled: func(d *jobDriver) {
			apply[JobCancellationAnswer](d, CancelJobs, JobCancellation{IDs: []string{"j"}})
		},
	}
	for phase, end := range ends {
		t.Run(string(phase), func(t *testing.T) {
			d := newLostJob(t)
			end(d)
			if job := d.job(); job.Phase != phase {
				t.Fatalf("job %+v", job)
			}
			for _, outcome := range allOutcomes {
				for epoch := range d.job().Epoch + 1 {
					d.checkIgnored(t, TaskReport{Epoch: epoch + 1, Outcome: outcome})
					d.checkIgnored(t, TaskReport{Epoch: epoch + 1, Outcome: outcome, Late: true})
				}
			}
			d.checkReplay()
		})
	}
}

// TestTwoLateSuccessesInOneCommandCountOnce guards against a success that counts twice.
func TestTwoLateSuccessesInOneCommandCountOnce(t *testing.T) {
	for _, running := range []bool{false, true} {
		t.Run(fmt.Sprint("running=", running), func(t *testing.T) {
			d := newRestartedJob(t)
			d.report(TaskReport{Epoch: 2, Outcome: TaskLost})
			if running {
				d.plan()
			}
			reports := []TaskReport{{Job: "j", Epoch: 1, Outcome: TaskDone, Late: true}, {Job: "j", Epoch: 2, Outcome: TaskDone, Late: true}}
			answer := apply[TaskReportsAnswer](d, ReportTasks, TaskReports{Reports: slices.Concat(reports, reports)})
			if answer.Stale != 3 || d.observations() != 1 || len(d.machine.data.Jobs.Ended) > 1 {
				t.Errorf("answer %+v, %d observations, ended %v", answer, d.observations(), d.machine.data.Jobs.Ended)
			}
		})
	}
}
