package state

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// jobFleet declares one pool of four workers whose whole capacity is available
// to jobs.
const jobFleet = `{
  "schema": 1, "deployment": "jobs",
  "zones": [{"name": "z", "racks": ["r"]}],
  "pools": [{"name": "p", "job_share": 1, "tolerate": {"racks": 0, "vms": 0}}],
  "vms": [{"name": "w", "count": 4, "pool": "p", "zone": "z", "rack": "r", "cpu_cores": 8, "memory_gib": 8, "accelerators": 1}],
  "services": [],
  "teams": [{"name": "red", "quota": {"cpu_cores": 20, "memory_gib": 32, "accelerators": 4}},
            {"name": "blue", "quota": {"cpu_cores": 6, "memory_gib": 32, "accelerators": 1}}],
  "waves": [{"name": "all", "pools": ["p"]}],
  "weights": {"buffer": 1, "rollout": 1, "moves": 1}
}`

// jobDriver drives a machine with a fleet document and jobs.
type jobDriver struct {
	*driver
	t rapid.TB
	// succeeded holds the newest attempt of each job at the late report of a success.
	succeeded map[string]uint64
}

func newJobDriver(t rapid.TB, document string) *jobDriver {
	d := &jobDriver{driver: newDriver(), t: t, succeeded: map[string]uint64{}}
	apply[DocumentSubmissionAnswer](d, SubmitDocument, DocumentSubmission{Text: []byte(document), By: "test"})
	return d
}

func apply[T any](d *jobDriver, kind Kind, body any) T {
	d.t.Helper()
	value, err := tryApply[T](d, kind, body)
	if err != nil {
		d.t.Fatalf("%s: %v", kind, err)
	}
	return value
}

func tryApply[T any](d *jobDriver, kind Kind, body any) (T, error) {
	d.t.Helper()
	d.nowMS += 100
	return run[T](d.t, d.driver, kind, body)
}

// plan makes one plan and applies it.
func (d *jobDriver) plan() {
	input, epochs := d.machine.JobInput(d.nowMS)
	planned := jobplan.NewPlan(input)
	steps := JobSteps{Blocked: planned.Blocked}
	for _, p := range planned.Placements {
		steps.Placements = append(steps.Placements, JobPlacement{Job: p.Job, Epoch: epochs[p.Job], Worker: p.Worker, Reservation: p.Reservation})
	}
	for _, p := range planned.Preemptions {
		steps.Preemptions = append(steps.Preemptions, JobOrder{Job: p.Job, Epoch: epochs[p.Job], Order: p.Order, Reason: p.Reason})
	}
	answer := apply[JobStepsAnswer](d, StepJobs, steps)
	if len(answer.Refused) > 0 {
		d.t.Fatalf("a plan on the newest state was refused: %v", answer.Refused)
	}
}

// TestJobsUnderRandomSubmissionsReportsCancellationsAndDrains checks after
// every command that the reservations exceed neither a worker's capacity nor a
// team's quota, that no job is lost, and that none starts after a late success.
func TestJobsUnderRandomSubmissionsReportsCancellationsAndDrains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newJobDriver(t, jobFleet)
		accepted := map[string]bool{}
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				id := fmt.Sprintf("j%d", step)
				spec := JobSpec{ID: id, Team: rapid.SampledFrom([]string{"red", "blue"}).Draw(t, "team"), Kind: "k", Urgent: rapid.Bool().Draw(t, "urgent"),
					Declared: fleet.Resources{CPUCores: rapid.Float64Range(0.5, 10).Draw(t, "cores"), MemoryGiB: 1, Accelerators: rapid.IntRange(0, 1).Draw(t, "accelerators")}}
				apply[JobSubmissionAnswer](d, SubmitJobs, JobSubmission{Jobs: []JobSpec{spec}})
				accepted[id] = true
			case 2:
				d.plan()
			case 3:
				d.reportSome(t)
			case 4:
				apply[JobCancellationAnswer](d, CancelJobs, JobCancellation{IDs: []string{fmt.Sprintf("j%d", rapid.IntRange(0, step).Draw(t, "id"))}})
			case 5:
				d.togglePhase(t)
			}
			d.nowMS += rapid.Int64Range(0, 5000).Draw(t, "ms")
			d.checkInvariants(accepted)
		}
		d.checkSnapshot()
		d.checkReplay()
	})
}

func (d *jobDriver) reportSome(t *rapid.T) {
	var reports []TaskReport
	for _, job := range d.machine.ActiveJobs() {
		if job.Phase != jobplan.Running || rapid.Bool().Draw(t, "silent") {
			continue
		}
		epoch := job.Epoch - uint64(rapid.IntRange(0, 1).Draw(t, "stale"))
		outcome := rapid.SampledFrom([]TaskOutcome{TaskRunning, TaskCheckpointed, TaskDone, TaskFailed, TaskStopped, TaskLost}).Draw(t, "outcome")
		late := epoch < job.Epoch && rapid.Bool().Draw(t, "late")
		reports = append(reports, TaskReport{Job: job.Spec.ID, Epoch: epoch, Outcome: outcome, Used: fleet.Resources{CPUCores: 1, MemoryGiB: 1}, RunMS: 10, Late: late})
	}
	apply[TaskReportsAnswer](d, ReportTasks, TaskReports{Reports: reports})
	for _, report := range reports {
		if job, _ := d.machine.JobView(report.Job); report.Late && report.Epoch > 0 && report.Outcome == TaskDone && job.Phase != jobplan.Failed && job.Phase != jobplan.Cancelled {
			d.succeeded[report.Job] = job.Epoch
		}
	}
}

// togglePhase drains a VM in a wave, or ends its drain.
func (d *jobDriver) togglePhase(t *rapid.T) {
	run := apply[plan.WaveRun](d, StartWave, WaveStart{Wave: "all"})
	vm := d.machine.Fleet().VMs[fmt.Sprintf("w-%d", rapid.IntRange(1, 4).Draw(t, "vm"))]
	to := plan.Draining
	if vm.Phase == view.Draining {
		to = plan.Pending
	}
	apply[plan.Progress](d, StepWave, plan.WaveStep{Run: run.ID, VM: vm.Name, Epoch: vm.Epoch, To: to})
}

func (d *jobDriver) checkInvariants(accepted map[string]bool) {
	byWorker := map[string]fleet.Resources{}
	byTeam := map[string]fleet.Resources{}
	for id := range accepted {
		job, known := d.machine.JobView(id)
		if !known {
			d.t.Fatalf("job %s vanished", id)
		}
		if epoch, succeeded := d.succeeded[id]; succeeded && (job.Epoch != epoch || job.Phase != jobplan.Running && job.Phase != jobplan.Done) {
			d.t.Fatalf("job %s is %s in attempt %d after a success reported during attempt %d", id, job.Phase, job.Epoch, epoch)
		}
		if job.Phase == jobplan.Running {
			byWorker[job.Worker] = jobplan.Add(byWorker[job.Worker], job.Reserved)
			byTeam[job.Spec.Team] = jobplan.Add(byTeam[job.Spec.Team], job.Reserved)
		}
	}
	for worker, amount := range byWorker {
		if !jobplan.Fits(amount, fleet.Resources{CPUCores: 8, MemoryGiB: 8, Accelerators: 1}) {
			d.t.Fatalf("reservations on worker %s are %+v", worker, amount)
		}
	}
	for team, amount := range byTeam {
		if !jobplan.Fits(amount, d.machine.quotas()[team]) {
			d.t.Fatalf("reservations of team %s are %+v", team, amount)
		}
	}
}

// checkSnapshot restores the state to a second machine and compares the jobs.
func (d *jobDriver) checkSnapshot() {
	snapshot, err := d.machine.Snapshot()
	if err != nil {
		d.t.Fatalf("snapshot: %v", err)
	}
	restored := NewMachine()
	if err := restored.Restore(d.index, snapshot); err != nil {
		d.t.Fatalf("restore: %v", err)
	}
	if a, b := fmt.Sprintf("%+v", d.machine.ActiveJobs()), fmt.Sprintf("%+v", restored.ActiveJobs()); a != b {
		d.t.Fatalf("restored jobs differ:\n%s\n%s", a, b)
	}
}

// TestSubmissionSentAgainAfterALostAnswerAddsNothing repeats a submission,
// then submits other content under the same ID.
func TestSubmissionSentAgainAfterALostAnswerAddsNothing(t *testing.T) {
	d := newJobDriver(t, jobFleet)
	spec := JobSpec{ID: "j", Team: "red", Kind: "k", Declared: fleet.Resources{CPUCores: 1}}
	apply[JobSubmissionAnswer](d, SubmitJobs, JobSubmission{Jobs: []JobSpec{spec}})
	again := apply[JobSubmissionAnswer](d, SubmitJobs, JobSubmission{Jobs: []JobSpec{spec}})
	if again.Added != 0 || again.Repeated != 1 {
		t.Errorf("answer %+v", again)
	}
	spec.Kind = "other"
	if _, err := tryApply[JobSubmissionAnswer](d, SubmitJobs, JobSubmission{Jobs: []JobSpec{spec}}); err == nil {
		t.Error("other content under the same ID was accepted")
	}
}

// TestVMIsNotRebootedWhileATaskRunsOnIt drains a worker with a running task.
// The reboot must be refused until the task has stopped.
func TestVMIsNotRebootedWhileATaskRunsOnIt(t *testing.T) {
	d := newJobDriver(t, jobFleet)
	spec := JobSpec{ID: "j", Team: "red", Kind: "k", Declared: fleet.Resources{CPUCores: 1}}
	apply[JobSubmissionAnswer](d, SubmitJobs, JobSubmission{Jobs: []JobSpec{spec}})
	d.plan()
	job, _ := d.machine.JobView("j")
	run := apply[plan.WaveRun](d, StartWave, WaveStart{Wave: "all"})
	drain := plan.WaveStep{Run: run.ID, VM: job.Worker, Epoch: 1, To: plan.Draining}
	apply[plan.Progress](d, StepWave, drain)
	reboot := plan.WaveStep{Run: run.ID, VM: job.Worker, Epoch: 2, To: plan.Rebooting}
	if _, err := tryApply[plan.Progress](d, StepWave, reboot); err == nil {
		t.Error("the VM was rebooted while its task was running")
	}
	apply[TaskReportsAnswer](d, ReportTasks, TaskReports{Reports: []TaskReport{{Job: "j", Epoch: 1, Outcome: TaskStopped}}})
	apply[plan.Progress](d, StepWave, reboot)
}

// TestJobWhoseWorkersAreLostIsNotRetriedForever guards against a job that crashes one worker after another: lost attempts have no bound.
func TestJobWhoseWorkersAreLostIsNotRetriedForever(t *testing.T) {
	const attempts = 20
	d := newJobDriver(t, jobFleet)
	spec := JobSpec{ID: "j", Team: "red", Kind: "k", Declared: fleet.Resources{CPUCores: 1, MemoryGiB: 1}}
	apply[JobSubmissionAnswer](d, SubmitJobs, JobSubmission{Jobs: []JobSpec{spec}})
	for range attempts {
		d.plan()
		job, _ := d.machine.JobView("j")
		if job.Phase == jobplan.Failed {
			return
		}
		apply[TaskReportsAnswer](d, ReportTasks, TaskReports{Reports: []TaskReport{{Job: "j", Epoch: job.Epoch, Outcome: TaskLost}}})
	}
	t.Errorf("started %d times, and lost with its worker each time", attempts)
}
