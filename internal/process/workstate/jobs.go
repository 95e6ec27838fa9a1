package workstate

import (
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// applyCatalog takes a configuration into force if its version is higher
// than the one held. Others are acknowledged and change nothing.
func (m *Machine) applyCatalog(c *catalog.Catalog) Result {
	if c.Version <= m.data.Catalog.Version {
		return Result{Code: OK, Repeated: true, Version: m.data.Catalog.Version}
	}
	for _, job := range m.data.Jobs {
		job.Service = m.serviceOf(job)
	}
	m.data.Catalog = *c
	m.indexQueues()
	return Result{Code: OK, Version: c.Version}
}

// applySubmit accepts a job. An id that was accepted before is the same job.
func (m *Machine) applySubmit(s *Submit) Result {
	if m.data.Jobs[s.ID] != nil {
		return Result{Code: OK, Repeated: true}
	}
	queue, _ := m.data.Catalog.Match(s.Host, s.Path)
	if queue == nil {
		return Result{Code: UnknownQueue}
	}
	job := &Job{ID: s.ID, Queue: queue.Key(), Service: queue.Service, Spec: s.Spec, AcceptedMS: m.data.ClockMS}
	m.data.Jobs[s.ID] = job
	m.active[s.ID] = job
	return Result{Code: OK}
}

// applyCancel ends a job. Its executing tasks are still to be stopped.
func (m *Machine) applyCancel(c *Cancel) Result {
	job := m.data.Jobs[c.ID]
	if job == nil {
		return Result{Code: UnknownJob}
	}
	if job.Outcome != Open {
		return Result{Code: OK, Repeated: true}
	}
	m.endJob(job, Cancelled)
	return Result{Code: OK}
}

func (m *Machine) endJob(job *Job, outcome Outcome) {
	job.Outcome = outcome
	job.EndedMS = m.data.ClockMS
	m.settle(job)
}

// settle takes a job that has ended out of the active ones once nothing of
// it is executing.
func (m *Machine) settle(job *Job) {
	if job.Outcome != Open && job.Executing == 0 {
		delete(m.active, job.ID)
		job.Spec.Payload = ""
	}
}

// applyForget drops jobs that have ended before a time.
func (m *Machine) applyForget(f *PurgeJobs) Result {
	for id, job := range m.data.Jobs {
		if job.Outcome != Open && job.Executing == 0 && job.EndedMS < f.EndedBeforeMS {
			delete(m.data.Jobs, id)
		}
	}
	return Result{Code: OK}
}

// applyProgress takes the ends and then the starts of a plan.
func (m *Machine) applyProgress(p *Progress) Result {
	for i := range p.Ends {
		m.applyEnd(&p.Ends[i])
	}
	started := make([]bool, len(p.Starts))
	for i := range p.Starts {
		started[i] = m.applyStart(&p.Starts[i])
	}
	return Result{Code: OK, Started: started}
}

// applyEnd ends the newest run of a task; ends of earlier runs and repeated
// ones change nothing.
func (m *Machine) applyEnd(e *End) {
	job, task := m.task(e.Task)
	if task == nil || task.Phase != Running || task.Run != e.Run {
		return
	}
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
	}
	task.Phase = Waiting
	task.Worker = ""
	job.Executing--
	step := &job.Spec.Steps[e.Task.Step]
	switch {
	case e.Kind == EndFailed:
		task.Failures++
	case e.Kind == EndDone && !step.LongRunning:
		task.Phase = Done
		m.noteDone(job, e.Task)
	}
	if job.Outcome == Open && m.exhausted(job, step, task) {
		m.endJob(job, Failed)
	}
	m.settle(job)
}

// exhausted says whether a task has no attempt left.
func (m *Machine) exhausted(job *Job, step *workload.Step, task *Task) bool {
	queue := m.queues[job.Queue]
	if queue == nil || step.LongRunning || queue.MaxAttempts == 0 {
		return false
	}
	return task.Failures >= queue.MaxAttempts
}

// noteDone counts a done task up to its job.
func (m *Machine) noteDone(job *Job, id workload.TaskID) {
	occurrence := &job.Occurrences[id.Occurrence]
	step := &occurrence.Steps[id.Step]
	step.Done++
	if step.Done < len(step.Tasks) {
		return
	}
	occurrence.StepsDone++
	if occurrence.StepsDone < len(occurrence.Steps) {
		return
	}
	job.OccurrencesDone++
	if job.OccurrencesDone == job.Spec.Occurrences() && job.Outcome == Open {
		m.endJob(job, Succeeded)
	}
}

// applyStart records a run if the task may be started on the worker, and
// says whether it may be ordered.
func (m *Machine) applyStart(s *Start) bool {
	job := m.data.Jobs[s.Task.Job]
	worker := m.data.Workers[s.Worker]
	if job == nil || job.Outcome != Open || worker == nil || worker.Draining || worker.Incarnation != s.Incarnation {
		return false
	}
	if worker.Service != m.serviceOf(job) || s.Task.Occurrence >= job.Spec.Occurrences() {
		return false
	}
	if s.Task.Step >= len(job.Spec.Steps) || s.Task.Index >= job.Spec.Steps[s.Task.Step].Count {
		return false
	}
	job.begin(s.Task.Occurrence)
	occurrence := &job.Occurrences[s.Task.Occurrence]
	step := &job.Spec.Steps[s.Task.Step]
	task := &occurrence.Steps[s.Task.Step].Tasks[s.Task.Index]
	if task.Phase != Waiting || s.Run <= task.Run || !occurrence.Ready(step) {
		return false
	}
	task.Phase = Running
	task.Run = s.Run
	task.Worker = s.Worker
	task.Incarnation = s.Incarnation
	job.Executing++
	job.Started = true
	return true
}

// begin makes room for the progress of an occurrence and those before it.
func (j *Job) begin(occurrence int) {
	for len(j.Occurrences) <= occurrence {
		steps := make([]StepProgress, len(j.Spec.Steps))
		for i := range steps {
			steps[i].Tasks = make([]Task, j.Spec.Steps[i].Count)
		}
		j.Occurrences = append(j.Occurrences, Occurrence{Steps: steps})
	}
}

// Ready says whether all steps that the step depends on are done.
func (o *Occurrence) Ready(step *workload.Step) bool {
	for _, before := range step.DependsOn {
		if o.Steps[before].Done < len(o.Steps[before].Tasks) {
			return false
		}
	}
	return true
}

// task returns a job and the progress of one of its tasks, or nil.
func (m *Machine) task(id workload.TaskID) (*Job, *Task) {
	job := m.data.Jobs[id.Job]
	if job == nil {
		return nil, nil
	}
	return job, job.Task(id)
}

// Task returns the progress of a task, or nil if it has not begun.
func (j *Job) Task(id workload.TaskID) *Task {
	if id.Occurrence >= len(j.Occurrences) || id.Step >= len(j.Spec.Steps) || id.Index >= j.Spec.Steps[id.Step].Count {
		return nil
	}
	return &j.Occurrences[id.Occurrence].Steps[id.Step].Tasks[id.Index]
}
