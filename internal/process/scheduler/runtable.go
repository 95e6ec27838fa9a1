package scheduler

import (
	"iter"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// runTable holds the leader's view of the recorded runs, the newest one of each task.
// A round looks at each of them, so that the tasks of a job are found without hashing
// their ids.
type runTable struct {
	jobs  map[string]*jobRuns
	count int
}

// jobRuns holds the runs of one job by occurrence, step and task.
type jobRuns struct {
	table       *runTable
	occurrences [][][]*run
	count       int
}

func newRunTable() *runTable { return &runTable{jobs: map[string]*jobRuns{}} }

// len returns the number of runs.
func (t *runTable) len() int { return t.count }

// get returns the run of a task, or nil.
func (t *runTable) get(id workload.TaskID) *run {
	if j := t.jobs[id.Job]; j != nil {
		return j.get(id)
	}
	return nil
}

// job returns the runs of a job, which may have none.
func (t *runTable) job(id string) *jobRuns {
	j := t.jobs[id]
	if j == nil {
		j = &jobRuns{table: t}
		t.jobs[id] = j
	}
	return j
}

// set replaces the run of a task.
func (t *runTable) set(id workload.TaskID, r *run) { t.job(id.Job).set(id, r) }

// remove removes the run of a task if it has the number.
func (t *runTable) remove(id workload.TaskID, number int) {
	if r := t.get(id); r != nil && r.number == number {
		t.set(id, nil)
		t.dropEmpty(id.Job)
	}
}

// dropEmpty forgets a job without runs.
func (t *runTable) dropEmpty(job string) {
	if j := t.jobs[job]; j != nil && j.count == 0 {
		delete(t.jobs, job)
	}
}

// removeIf removes the runs for which f returns true.
func (t *runTable) removeIf(f func(*run) bool) {
	for id, j := range t.jobs {
		j.each(func(_ workload.TaskID, slot **run) bool {
			if f(*slot) {
				*slot = nil
				j.add(-1)
			}
			return true
		})
		t.dropEmpty(id)
	}
}

// all returns the runs by task.
func (t *runTable) all() iter.Seq2[workload.TaskID, *run] {
	return func(yield func(workload.TaskID, *run) bool) {
		for id, j := range t.jobs {
			done := !j.each(func(task workload.TaskID, slot **run) bool {
				task.Job = id
				return yield(task, *slot)
			})
			if done {
				return
			}
		}
	}
}

// each calls f with the place of each run, until it returns false. The ids have no job.
func (j *jobRuns) each(f func(workload.TaskID, **run) bool) bool {
	for k, steps := range j.occurrences {
		for s, tasks := range steps {
			for i := range tasks {
				if tasks[i] != nil && !f(workload.TaskID{Occurrence: k, Step: s, Index: i}, &tasks[i]) {
					return false
				}
			}
		}
	}
	return true
}

// get returns the run of a task of the job, or nil.
func (j *jobRuns) get(id workload.TaskID) *run {
	if id.Occurrence >= len(j.occurrences) || id.Step >= len(j.occurrences[id.Occurrence]) {
		return nil
	}
	if tasks := j.occurrences[id.Occurrence][id.Step]; id.Index < len(tasks) {
		return tasks[id.Index]
	}
	return nil
}

// set replaces the run of a task of the job.
func (j *jobRuns) set(id workload.TaskID, r *run) {
	j.occurrences = extended(j.occurrences, id.Occurrence)
	steps := &j.occurrences[id.Occurrence]
	*steps = extended(*steps, id.Step)
	tasks := &(*steps)[id.Step]
	*tasks = extended(*tasks, id.Index)
	slot := &(*tasks)[id.Index]
	switch {
	case *slot == nil && r != nil:
		j.add(1)
	case *slot != nil && r == nil:
		j.add(-1)
	}
	*slot = r
}

// add counts runs that were added or removed.
func (j *jobRuns) add(count int) {
	j.count += count
	j.table.count += count
}

// extended returns a slice that has an element with the index.
func extended[T any](s []T, index int) []T {
	for len(s) <= index {
		var zero T
		s = append(s, zero)
	}
	return s
}
