package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestSurvivalOfASuspectOutlivesTheLeader guards against a job that is given up for crashes long after its task's starts, which only the leader before knew to have been survived.
func TestSurvivalOfASuspectOutlivesTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 2*time.Second, 4)
		defer func() { f.finish() }()
		f.submit(jobA, step(1))
		task := workload.TaskID{Job: jobA}
		f.recordCrash(task, "w0")
		f.lead()
		w := f.awaitRun(jobA)
		time.Sleep(1500 * time.Millisecond)
		f.depose()
		f.crashWorker(w)
		f.lead()
		time.Sleep(time.Second + crashOutage)
		f.machine.Read(func(v *workstate.View) {
			if crashes := v.Job(jobA).Task(task).Crashes; crashes != 0 {
				t.Errorf("%d crashes counted under a task that had survived its last start", crashes)
			}
		})
	})
}
