// Package runtable holds one value for each task that executes, found by job,
// occurrence, step and index.
package runtable

import (
	"iter"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// Table holds a leader's view of the recorded runs, the newest one of each task.
// A round looks at each of them, so that the tasks of a job are found without hashing
// their ids.
type Table[R any] struct {
	jobs  map[string]*Job[R]
	count int
}

// Job holds the runs of one job by occurrence, step and task.
type Job[R any] struct {
	table       *Table[R]
	occurrences [][][]*R
	count       int
}

// New returns an empty table.
func New[R any]() *Table[R] { return &Table[R]{jobs: map[string]*Job[R]{}} }

// Len returns the number of runs.
func (t *Table[R]) Len() int { return t.count }

// Get returns the run of a task, or nil.
func (t *Table[R]) Get(id workload.TaskID) *R {
	if j := t.jobs[id.Job]; j != nil {
		return j.Get(id)
	}
	return nil
}

// Job returns the runs of a job, which may have none.
func (t *Table[R]) Job(id string) *Job[R] {
	j := t.jobs[id]
	if j == nil {
		j = &Job[R]{table: t}
		t.jobs[id] = j
	}
	return j
}

// Set replaces the run of a task.
func (t *Table[R]) Set(id workload.TaskID, r *R) { t.Job(id.Job).Set(id, r) }

// Remove removes the run of a task if f returns true for it.
func (t *Table[R]) Remove(id workload.TaskID, f func(*R) bool) {
	if r := t.Get(id); r != nil && f(r) {
		t.Set(id, nil)
		t.dropEmpty(id.Job)
	}
}

// dropEmpty forgets a job without runs.
func (t *Table[R]) dropEmpty(job string) {
	if j := t.jobs[job]; j != nil && j.count == 0 {
		delete(t.jobs, job)
	}
}

// RemoveIf removes the runs for which f returns true.
func (t *Table[R]) RemoveIf(f func(*R) bool) {
	for id, j := range t.jobs {
		j.each(func(_ workload.TaskID, slot **R) bool {
			if f(*slot) {
				*slot = nil
				j.add(-1)
			}
			return true
		})
		t.dropEmpty(id)
	}
}

// All returns the runs by task.
func (t *Table[R]) All() iter.Seq2[workload.TaskID, *R] {
	return func(yield func(workload.TaskID, *R) bool) {
		for id, j := range t.jobs {
			done := !j.each(func(task workload.TaskID, slot **R) bool {
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
func (j *Job[R]) each(f func(workload.TaskID, **R) bool) bool {
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

// Get returns the run of a task of the job, or nil.
func (j *Job[R]) Get(id workload.TaskID) *R {
	if id.Occurrence >= len(j.occurrences) || id.Step >= len(j.occurrences[id.Occurrence]) {
		return nil
	}
	if tasks := j.occurrences[id.Occurrence][id.Step]; id.Index < len(tasks) {
		return tasks[id.Index]
	}
	return nil
}

// Set replaces the run of a task of the job.
func (j *Job[R]) Set(id workload.TaskID, r *R) {
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
func (j *Job[R]) add(count int) {
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
