package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// crashAfterHeartbeat crashes the worker of a job's run after it has sent a heartbeat
// promptCrashTime after the start, but before it is known to have survived that.
func (f *crashFixture) crashAfterHeartbeat(job string) {
	w := f.awaitRun(job)
	time.Sleep(promptCrashTime + 30*time.Millisecond)
	hear(f.loop, w.heard())
	time.Sleep(50 * time.Millisecond)
	f.crashWorker(w)
}

// TestWorkersThatOutliveAStartCountForLess guards against a job that is given up for three crashes by chance, of workers that were heard of since its starts.
func TestWorkersThatOutliveAStartCountForLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 2*time.Second, 4)
		f.lead()
		defer func() { f.finish() }()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		for range 4 {
			f.crashAfterHeartbeat(jobA)
		}
		f.await(jobA, workstate.Succeeded, 20*time.Second)
	})
}

// TestTaskThatCrashesItsWorkersLateIsGivenUp guards against a deadly task that is started on and on because its workers are heard of before it crashes them.
func TestTaskThatCrashesItsWorkersLateIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCrashFixture(t, 2*time.Second, 4)
		f.lead()
		defer func() { f.finish() }()
		time.Sleep(time.Second)
		f.submit(jobA, step(1))
		for range maxDeadlyStarts {
			f.crashAfterHeartbeat(jobA)
		}
		f.await(jobA, workstate.Failed, 20*time.Second)
		f.checkDeadlyStarts(workload.TaskID{Job: jobA})
	})
}
