package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/scheduler/explain"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/jobmemory"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestExplanationTellsOfTheMemory guards against a job that is said to be accepted now, and is refused for lack of memory.
func TestExplanationTellsOfTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 20*time.Second)
		f.addWorker("w1", 2000)
		f.leadWithJob(step(2))
		time.Sleep(300 * time.Millisecond)
		var memory admit.Memory
		spec := workload.Spec{Steps: []workload.Step{step(1)}}
		for _, c := range []struct {
			bytes int64
			want  string
		}{{jobmemory.MiB, explain.Accepted}, {3 * workstate.Footprint(&spec) / 2, explain.Refused}, {1, explain.Refused}} {
			memory.SetOwn(c.bytes)
			answers := make(chan *explain.Answer, 1)
			f.loop.post(func(l *loop) {
				l.admission.memory = &memory
				answers <- explain.Explain(l.explainSnapshot(explain.Query{Host: "host", Path: "/q/" + jobB, Spec: &spec}, time.Now()))
			})
			if a := <-answers; a.Admission == nil || a.Admission.Outcome != c.want {
				t.Errorf("%d bytes: %+v, expected %s", c.bytes, a.Admission, c.want)
			}
		}
		f.depose()
	})
}

// TestExplanationIsWhatTheNextRoundDoes guards against explanations by an older use of
// the workers than that of the tasks that wait, and against a worker that is left out
// without a reason.
func TestExplanationIsWhatTheNextRoundDoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 20*time.Second)
		f.addWorker("w1", 2000)
		f.addWorker("w2", 3000)
		drained := f.addWorker("w3", 4000)
		f.leadWithJob(step(2))
		f.announceDrain(drained, "vm-w3")
		time.Sleep(300 * time.Millisecond)
		spec := workload.Spec{Payload: "p", Steps: []workload.Step{step(4)}}
		answers := make(chan *explain.Answer, 1)
		f.loop.post(func(l *loop) {
			answers <- explain.Explain(l.explainSnapshot(explain.Query{Host: "host", Path: "/q/" + jobB, Spec: &spec}, time.Now()))
		})
		a := <-answers
		f.submit(jobB, spec.Steps...)
		time.Sleep(500 * time.Millisecond)
		started := map[string]int{}
		f.machine.Read(func(v *workstate.View) {
			v.Job(jobB).EachExecuting(func(_ workload.TaskID, task *workstate.Task) { started[task.Worker]++ })
		})
		told := map[string]int{}
		for _, on := range a.Steps[0].Starts {
			told[on.Worker] = on.Tasks
		}
		if len(told) != len(started) || told["w1"] != started["w1"] || told["w2"] != started["w2"] || a.Steps[0].Waiting != 1 {
			t.Errorf("explained %+v, started %v", a.Steps[0], started)
		}
		if len(a.Workers) != 2 || a.Workers[1].State != "drain" || a.Workers[1].Count != 1 {
			t.Errorf("workers %+v", a.Workers)
		}
		f.depose()
	})
}
