package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// maxListedEnds is the number of ends that a report lists at most.
const maxListedEnds = 500

// partialReports lists the oldest ends only.
type partialReports struct{ *fakeWorkers }

func (p *partialReports) Watch(ctx context.Context, to execution.WorkerAddress, q execution.Watch) (execution.Report, error) {
	report, err := p.fakeWorkers.Watch(ctx, to, q)
	report.MoreEnds = len(report.Ended) >= maxListedEnds
	report.Ended = report.Ended[:min(len(report.Ended), maxListedEnds)]
	return report, err
}

// TestRunWhoseEndIsNotListedYetIsNotStartedAgain guards against a start after a run has ended done: the run was in neither list of a report that was full.
func TestRunWhoseEndIsNotListedYetIsNotStartedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 4 * maxListedEnds
		f := newFixture(t, 2*time.Second)
		w := f.addWorker("w1", tasks)
		f.lead()
		defer f.depose()
		f.loop.post(func(l *loop) { l.Workers = &partialReports{f.workers} })
		time.Sleep(time.Second)
		f.submit(jobA, workload.Step{Count: tasks, Need: workload.Resources{MilliCPU: 1}, DisruptionBudget: -1})
		time.Sleep(time.Second)
		f.cutWhileRunsEnd(w, 1500*time.Millisecond, false)
		f.replica.setDelay(400 * time.Millisecond)
		f.setUnreachable(w, false)
		f.await(jobA, workstate.Succeeded, 20*time.Second)
		if f.workers.starts != tasks {
			t.Errorf("%d starts of %d tasks that were done once", f.workers.starts, tasks)
		}
	})
}
