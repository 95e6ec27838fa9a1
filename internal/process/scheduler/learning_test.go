package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestLeaderLearnsWhatAStepTakesBesideItsWork guards against bursts in which each job is started too late to be in time, and against estimates that are taken for overhead.
func TestLeaderLearnsWhatAStepTakesBesideItsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const commit, longest = 150 * time.Millisecond, 600 * time.Millisecond
		f := newFixture(t, 700*time.Millisecond)
		f.addWorker("w1", 400000)
		f.replica.delay = commit
		f.leadWithJob(workload.Step{Count: 300, Need: workload.Resources{MilliCPU: 1000}, Estimate: 100 * time.Millisecond})
		defer f.depose()
		time.Sleep(2 * time.Second)
		learned := make(chan time.Duration, 1)
		f.loop.post(func(l *loop) {
			l.Machine.Read(func(v *workstate.View) { learned <- l.demand.overheads[v.Job(jobA).Queue] })
		})
		if got := <-learned; got < 2*commit-10*time.Millisecond || got > longest {
			t.Errorf("%s learned, a start and an end are committed in %s each", got, commit)
		}
	})
}

// TestRunThatEndsOnTheNextIncarnationTeachesNoDuration guards against jobs that are refused as too late: a duration is the difference of the clocks of two incarnations.
func TestRunThatEndsOnTheNextIncarnationTeachesNoDuration(t *testing.T) {
	const estimate = time.Second
	for incarnation, want := range map[int64]bool{1: true, 2: false} {
		l := newLoop(t.Context(), Options{}, 1)
		id := workload.TaskID{Job: jobA}
		job := &workstate.Job{
			ID: jobA, Queue: "q", Spec: workload.Spec{Steps: []workload.Step{{Count: 1, Estimate: estimate}}},
			Occurrences: []workstate.Occurrence{{Steps: []workstate.StepProgress{{Tasks: []workstate.Task{{Run: 1, Worker: "w1", Incarnation: 1}}}}}},
		}
		l.runs.Set(id, &run{number: 1, worker: "w1", plannedAt: time.Now(), acceptedClockMS: 5000})
		w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: incarnation}, reportClockMS: 8_000_000}
		l.learnDuration(job, w, runKey{id, 1}, time.Now())
		if learned := l.predict("q", &job.Spec.Steps[0]) != estimate; learned != want {
			t.Errorf("ended on incarnation %d: learned %v", incarnation, learned)
		}
	}
}
