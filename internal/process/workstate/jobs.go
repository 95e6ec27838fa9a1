package workstate

import (
	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// applyCatalog replaces the configuration if the version is higher than the
// current one. Otherwise it acknowledges the command and changes nothing.
func (m *Machine) applyCatalog(c *catalog.Catalog) Result {
	if c.Version <= m.data.Catalog.Version {
		return Result{Code: OK, Repeated: true, Version: m.data.Catalog.Version}
	}
	for _, job := range m.data.Jobs {
		job.Service = m.serviceOf(job)
	}
	m.data.Catalog, m.data.Removed = *c, m.removedQueues(c)
	m.indexQueues()
	m.access = access.NewIndex(&m.data.Catalog)
	m.removeBuckets()
	m.failExhausted()
	return Result{Code: OK, Version: c.Version}
}

// applySubmit accepts a job. One with a known id at the same location is a repetition. The
// key is checked against the catalog in force now, which may be newer than that of the proposer.
func (m *Machine) applySubmit(s *Submit) Result {
	if job := m.data.Jobs[s.ID]; job != nil {
		if !job.acceptedAt(s.Host, s.Path) {
			return Result{Code: OtherJob}
		}
		return Result{Code: codeOf(m.repetitionAccess(job, s.Key)), Repeated: true}
	}
	decision := m.access.Queue(s.Host, s.Path, s.Key)
	if code := codeOf(decision.Reason); code != OK {
		return Result{Code: code}
	}
	queue := decision.Queue
	job := &Job{ID: s.ID, Queue: queue.Key(), Service: queue.Service, Spec: s.Spec, AcceptedMS: m.data.ClockMS}
	if account := decision.Account; account != nil {
		job.Account, job.OverRate = account.Name, m.overRate(account)
	}
	m.data.Jobs[s.ID] = job
	m.active[s.ID] = job
	m.charge(job)
	return Result{Code: OK}
}

// applyCancel cancels a job. The scheduler stops its executing tasks afterwards.
func (m *Machine) applyCancel(c *Cancel) Result {
	job := m.cancelledJob(c)
	if code := codeOf(m.jobAccess(job, c.Host, c.Path, c.Key)); code != OK {
		return Result{Code: code}
	}
	if job == nil {
		return Result{Code: UnknownJob}
	}
	if job.Outcome != Open {
		return Result{Code: OK, Repeated: true}
	}
	m.endJob(job, Cancelled)
	return Result{Code: OK}
}

// cancelledJob returns the job that a command cancels, or nil. Members of earlier versions
// apply commands below FormatJobLocation, and must do so alike.
func (m *Machine) cancelledJob(c *Cancel) *Job {
	if m.data.Format < FormatJobLocation {
		return m.data.Jobs[c.ID]
	}
	return m.jobAt(c.Host, c.Path)
}

func (m *Machine) endJob(job *Job, outcome Outcome) {
	job.Outcome = outcome
	job.EndedMS = m.data.ClockMS
	m.deactivateEnded(job)
}

// deactivateEnded removes a job from the active jobs if it has ended and none of
// its tasks is executing.
func (m *Machine) deactivateEnded(job *Job) {
	if job.ended() {
		delete(m.active, job.ID)
		m.release(job)
	}
}

// applyPurgeJobs removes the jobs that ended before a time, and drops the progress of the
// failed ones that are kept.
func (m *Machine) applyPurgeJobs(p *PurgeJobs) Result {
	for _, job := range m.data.Jobs {
		switch {
		case !job.ended():
		case job.EndedMS < p.EndedBeforeMS:
			m.forget(job)
		case job.Occurrences != nil:
			job.Occurrences = nil
			m.charge(job)
		}
	}
	return Result{Code: OK}
}

// applyProgress applies the ends and then the starts of a plan.
func (m *Machine) applyProgress(p *Progress) Result {
	for _, survival := range p.Survivals {
		m.applySurvival(survival)
	}
	for i := range p.Ends {
		m.applyEnd(&p.Ends[i])
	}
	started := make([]bool, len(p.Starts))
	for i := range p.Starts {
		started[i] = m.applyStart(&p.Starts[i])
	}
	return Result{Code: OK, Started: started}
}

// applySurvival clears a task whose newest run, which executes, has survived its start.
func (m *Machine) applySurvival(s Survival) {
	_, task := m.task(s.Task)
	if task == nil || task.Run != s.Run || task.Phase != Running {
		return
	}
	task.Survived = true
	task.forgetCrashes()
}

// applyEnd ends the newest run of a task. It ignores repeated ends, but a success
// or failure that is reported late still counts.
func (m *Machine) applyEnd(e *End) {
	job, task := m.task(e.Task)
	if task == nil {
		return
	}
	if task.Run != e.Run || task.Phase != Running {
		m.applyLateEnd(job, task, e)
		return
	}
	step := &job.Spec.Steps[e.Task.Step]
	if e.Checkpoint != "" {
		task.Checkpoint = e.Checkpoint
	}
	m.leaveWorker(job, e.Task, task)
	if e.Survived {
		task.forgetCrashes()
	}
	switch {
	case task.Succeeded, e.Kind == EndDone && !step.LongRunning:
		m.completeTask(job, e.Task, task)
	case e.Kind == EndFailed:
		m.countFailure(job, step, task)
	case e.Kind == EndCrashed && !task.Survived:
		m.countCrash(job, step, task, e)
	}
	task.rememberUnreported(step, e)
	m.deactivateEnded(job)
}

// leaveWorker records that the newest run of a task is not executing any more.
func (m *Machine) leaveWorker(job *Job, id workload.TaskID, task *Task) {
	m.executing.remove(task.Worker, task.Incarnation)
	m.accountUse.remove(job.Account, job.Spec.Steps[id.Step].Need)
	task.Phase, task.Worker = Waiting, ""
	job.Executing--
	job.Occurrences[id.Occurrence].Steps[id.Step].Running--
}

// completeTask records that a task is done.
func (m *Machine) completeTask(job *Job, id workload.TaskID, task *Task) {
	task.Phase, task.Succeeded, task.UnreportedRuns = Done, false, nil
	m.countDone(job, id)
}

// countFailure counts a failed run, after the last of which the job has failed.
func (m *Machine) countFailure(job *Job, step *workload.Step, task *Task) {
	task.Failures++
	if job.Outcome == Open && m.exhausted(job, step, task) {
		m.endJob(job, Failed)
	}
}

// countCrash counts a run that may have crashed its worker, after the last of which
// the job has failed.
func (m *Machine) countCrash(job *Job, step *workload.Step, task *Task, e *End) {
	task.countCrash(e)
	if job.Outcome == Open && task.GivenUp(step, e.Alone) {
		m.endJob(job, Failed)
	}
}

// countDone counts a task that is done, and with it its step, occurrence and job
// if they are complete.
func (m *Machine) countDone(job *Job, id workload.TaskID) {
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

// applyStart records a run if the task may be started on the worker. It reports
// whether it did, so that the start order may be sent.
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
	job.ensureOccurrence(s.Task.Occurrence)
	occurrence := &job.Occurrences[s.Task.Occurrence]
	step := &job.Spec.Steps[s.Task.Step]
	task := &occurrence.Steps[s.Task.Step].Tasks[s.Task.Index]
	if task.Phase != Waiting || s.Run <= task.Run || !occurrence.Ready(step) {
		return false
	}
	if m.exhausted(job, step, task) {
		m.endJob(job, Failed)
		return false
	}
	worker.forgetExpectedEnd()
	task.Phase = Running
	task.Run = s.Run
	task.Worker = s.Worker
	task.Incarnation = s.Incarnation
	task.Term = s.Term
	task.Survived = false
	m.executing.add(task.Worker, task.Incarnation)
	m.accountUse.add(job.Account, step.Need)
	job.Executing++
	occurrence.Steps[s.Task.Step].Running++
	job.Started = true
	return true
}

// ensureOccurrence creates the progress of an occurrence and of those before it.
func (j *Job) ensureOccurrence(occurrence int) {
	for len(j.Occurrences) <= occurrence {
		steps := make([]StepProgress, len(j.Spec.Steps))
		for i := range steps {
			steps[i].Tasks = make([]Task, j.Spec.Steps[i].Count)
		}
		j.Occurrences = append(j.Occurrences, Occurrence{Steps: steps})
	}
}

// Ready reports whether all steps that the step depends on are done.
func (o *Occurrence) Ready(step *workload.Step) bool {
	for _, dependency := range step.DependsOn {
		if o.Steps[dependency].Done < len(o.Steps[dependency].Tasks) {
			return false
		}
	}
	return true
}

// task returns the job of a task and the progress of the task. Each is nil if it
// is not known.
func (m *Machine) task(id workload.TaskID) (*Job, *Task) {
	job := m.data.Jobs[id.Job]
	if job == nil {
		return nil, nil
	}
	return job, job.Task(id)
}

// ArrivedMS returns when an occurrence of the job was accepted or due, whichever is later, on
// the state's clock.
func (j *Job) ArrivedMS(occurrence int) int64 {
	return max(j.AcceptedMS, j.Spec.DueMS(occurrence))
}

// Task returns the progress of a task, or nil if its occurrence has not started.
func (j *Job) Task(id workload.TaskID) *Task {
	if id.Occurrence >= len(j.Occurrences) || id.Step >= len(j.Spec.Steps) || id.Index >= j.Spec.Steps[id.Step].Count {
		return nil
	}
	return &j.Occurrences[id.Occurrence].Steps[id.Step].Tasks[id.Index]
}
