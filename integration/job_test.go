package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
)

// urgentStart is the time within which an urgent job must start.
const urgentStart = 8100 * time.Millisecond

// call sends a value to the leader as JSON and decodes the answer. It retries
// until the leader answers without an error.
func (d *deployment) call(method, path string, body, into any) {
	d.t.Helper()
	encoded, err := json.Marshal(body)
	must(d.t, err)
	eventually(d.t, 10*time.Second, method+" "+path, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		return d.client.Do(ctx, method, path, encoded, into)
	})
}

// submit submits jobs.
func (d *deployment) submit(jobs ...state.JobSpec) {
	d.t.Helper()
	var answer state.JobSubmissionAnswer
	d.call(http.MethodPost, "/v1/jobs", state.JobSubmission{Jobs: jobs}, &answer)
}

// job returns the state of a job.
func (d *deployment) job(id string) state.Job {
	d.t.Helper()
	var job state.Job
	d.call(http.MethodGet, "/v1/jobs/"+id, nil, &job)
	return job
}

// waitJob waits until a job is in the given phase and returns its state.
func (d *deployment) waitJob(id string, phase jobplan.Phase, limit time.Duration) state.Job {
	d.t.Helper()
	var job state.Job
	eventually(d.t, limit, fmt.Sprintf("job %s is %s", id, phase), func() error {
		job = d.job(id)
		if job.Phase != phase {
			return fmt.Errorf("job %+v", job)
		}
		return nil
	})
	return job
}

// jobSpec returns a job of the team of smallFleet.
func jobSpec(id, kind string, cores float64, payload string) state.JobSpec {
	return state.JobSpec{ID: id, Team: "divers", Kind: kind, Declared: fleet.Resources{CPUCores: cores, MemoryGiB: 1}, Payload: payload}
}

// newJobDeployment starts one control process in each zone given, and the eight
// VMs of smallFleet. The four VMs of pool office offer 2 cores each to jobs.
func newJobDeployment(t *testing.T, controls ...string) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.addControls(controls...)
	d.addSmallTargets()
	d.apply(smallFleet)
	return d
}

// watchDuplicateRuns fails the test if a job runs on two workers at once. The
// returned function ends the watch.
func (d *deployment) watchDuplicateRuns() func() {
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			for job, workers := range d.platform.TasksRunning() {
				if len(workers) > 1 {
					d.t.Errorf("job %s runs on %v at once", job, workers)
				}
			}
			select {
			case <-time.After(20 * time.Millisecond):
			case <-stop:
				return
			}
		}
	}()
	return func() {
		close(stop)
		<-done
	}
}

// TestUrgentJobStartsInTimeOnAFullFleetOfStubbornTasks fills all workers with
// tasks that never checkpoint. An urgent job must still start in time.
func TestUrgentJobStartsInTimeOnAFullFleetOfStubbornTasks(t *testing.T) {
	t.Parallel()
	d := newJobDeployment(t, "za")
	for i := range 4 {
		d.submit(jobSpec(fmt.Sprintf("filler-%d", i), "filler", 2, "run=600000 nocheckpoint=1"))
	}
	for i := range 4 {
		d.waitJob(fmt.Sprintf("filler-%d", i), jobplan.Running, 5*time.Second)
	}
	urgent := jobSpec("urgent", "filing", 2, "run=1000")
	urgent.Urgent = true
	start := time.Now()
	d.submit(urgent)
	eventually(t, urgentStart, "the urgent task runs", func() error {
		if len(d.platform.TasksRunning()["urgent"]) == 0 {
			return fmt.Errorf("job %+v", d.job("urgent"))
		}
		return nil
	})
	t.Logf("started after %s", time.Since(start).Round(time.Millisecond))
	d.waitJob("urgent", jobplan.Done, 5*time.Second)
}

// TestJobThatCanNeverRunIsNamedAndBlocksNobody submits a job that needs more than
// any worker has, followed by one that fits. The first must stay queued with a
// reason, the second must run.
func TestJobThatCanNeverRunIsNamedAndBlocksNobody(t *testing.T) {
	t.Parallel()
	d := newJobDeployment(t, "za")
	d.submit(jobSpec("giant", "giant", 15, ""), jobSpec("plain", "plain", 1, "run=100"))
	d.waitJob("plain", jobplan.Done, 5*time.Second)
	eventually(t, 3*time.Second, "the job that fits no worker is queued with a reason", func() error {
		if job := d.job("giant"); job.Phase != jobplan.Queued || job.Reason == "" {
			return fmt.Errorf("job %+v", job)
		}
		return nil
	})
}

// TestWorkerThatFailsEveryTaskIsQuarantined has one worker fail every task. All
// jobs must succeed within the limit, which requires that the worker stops
// getting them.
func TestWorkerThatFailsEveryTaskIsQuarantined(t *testing.T) {
	t.Parallel()
	d := newJobDeployment(t, "za")
	d.platform.SetFailAll("office-a-1", true)
	var jobs []state.JobSpec
	for i := range 24 {
		jobs = append(jobs, jobSpec(fmt.Sprintf("job-%d", i), "sort", 1, "run=200"))
	}
	d.submit(jobs...)
	for _, job := range jobs {
		d.waitJob(job.ID, jobplan.Done, 20*time.Second)
	}
}

// TestWorkerLostWithItsTaskRunsTheJobElsewhere powers off the worker that runs a
// job.
func TestWorkerLostWithItsTaskRunsTheJobElsewhere(t *testing.T) {
	t.Parallel()
	d := newJobDeployment(t, "za")
	stopWatch := d.watchDuplicateRuns()
	d.submit(jobSpec("long", "long", 1, "run=2000"))
	running := d.waitJob("long", jobplan.Running, 5*time.Second)
	resp, err := http.Post(d.platformServer.URL+"/platform/v1/vms/"+running.Worker+"/power-off", "", nil)
	must(t, err)
	must(t, resp.Body.Close())
	ended := d.waitJob("long", jobplan.Done, 20*time.Second)
	stopWatch()
	if ended.Lost != 1 {
		t.Errorf("job %+v, expected one lost attempt", ended)
	}
}

// TestControlKilledWhileJobsRunLosesNoneAndRunsNoneTwiceAtOnce kills the leader
// with SIGKILL while jobs run, and then cancels 300 jobs of a team by one call.
func TestControlKilledWhileJobsRunLosesNoneAndRunsNoneTwiceAtOnce(t *testing.T) {
	t.Parallel()
	d := newJobDeployment(t, "za", "za", "zb")
	stopWatch := d.watchDuplicateRuns()
	var jobs []state.JobSpec
	for i := range 16 {
		jobs = append(jobs, jobSpec(fmt.Sprintf("job-%d", i), "sort", 1, "run=1500"))
	}
	d.submit(jobs...)
	status, err := d.status()
	must(t, err)
	d.controls[status.Replica.Leader].kill()
	for _, job := range jobs[:8] {
		d.waitJob(job.ID, jobplan.Done, 30*time.Second)
	}
	for i := range 300 {
		jobs = append(jobs, jobSpec(fmt.Sprintf("more-%d", i), "wave", 1, "run=60000"))
	}
	d.submit(jobs[16:]...)
	var cancelled state.JobCancellationAnswer
	d.call(http.MethodPost, "/v1/jobs/cancel", state.JobCancellation{Team: "divers", Kind: "wave"}, &cancelled)
	if cancelled.Cancelled+cancelled.Stopping != 300 {
		t.Errorf("cancelled %+v, expected 300 in all", cancelled)
	}
	for _, job := range jobs[:16] {
		d.waitJob(job.ID, jobplan.Done, 30*time.Second)
	}
	eventually(t, 15*time.Second, "all cancelled jobs have stopped", func() error {
		var active []state.Job
		d.call(http.MethodGet, "/v1/jobs", nil, &active)
		if len(active) > 0 {
			return fmt.Errorf("%d jobs are active", len(active))
		}
		return nil
	})
	stopWatch()
}
