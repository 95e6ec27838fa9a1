package workstate

import (
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// unknownMaxAttempts is the limit of failures of a task whose queue is not known any
// more: versions that did not keep removed queues have written such states. It is above
// usual limits, so that no job fails earlier than its queue allowed.
const unknownMaxAttempts = 10

// indexQueues rebuilds queues. What the catalog says goes before what was known of a
// queue with the same key when that was removed.
func (m *Machine) indexQueues() {
	m.queues = map[string]*catalog.Queue{}
	for key, queue := range m.data.Removed {
		m.queues[key] = &queue
	}
	for i := range m.data.Catalog.Queues {
		q := &m.data.Catalog.Queues[i]
		m.queues[q.Key()] = q
	}
}

// removedQueues returns the queues of all jobs that the next catalog does not have, as
// last known. Those of ended jobs tell who may read them.
func (m *Machine) removedQueues(next *catalog.Catalog) map[string]catalog.Queue {
	removed := map[string]catalog.Queue{}
	for _, job := range m.data.Jobs {
		if queue := m.queues[job.Queue]; queue != nil {
			removed[job.Queue] = *queue
		}
	}
	for i := range next.Queues {
		delete(removed, next.Queues[i].Key())
	}
	return removed
}

// maxAttempts returns the number of failures of one task after which a job fails; 0
// means no limit.
func (m *Machine) maxAttempts(job *Job) int {
	if queue := m.queues[job.Queue]; queue != nil {
		return queue.MaxAttempts
	}
	return unknownMaxAttempts
}

// exhausted reports whether a task has no attempts left.
func (m *Machine) exhausted(job *Job, step *workload.Step, task *Task) bool {
	limit := m.maxAttempts(job)
	return limit > 0 && !step.LongRunning && task.Failures >= limit
}

// failExhausted ends the jobs of which a waiting task has no attempts left, as after a
// catalog that lowers the limit. A run that executes may still succeed.
func (m *Machine) failExhausted() {
	for _, job := range m.active {
		if job.Outcome == Open && m.hasExhaustedTask(job) {
			m.endJob(job, Failed)
		}
	}
}

func (m *Machine) hasExhaustedTask(job *Job) bool {
	for k := range job.Occurrences {
		for s := range job.Occurrences[k].Steps {
			tasks := job.Occurrences[k].Steps[s].Tasks
			for i := range tasks {
				if tasks[i].Phase == Waiting && m.exhausted(job, &job.Spec.Steps[s], &tasks[i]) {
					return true
				}
			}
		}
	}
	return false
}
