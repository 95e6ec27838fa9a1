package workstate

import "arbutusward.example/arbutusward/internal/version/workload"

// applyRegister records a worker. A VM or an address that was another
// worker's belongs to the one that was born later; runs on the earlier one
// have ended with it.
func (m *Machine) applyRegister(w *Worker) Result {
	for id, other := range m.data.Workers {
		if id == w.ID || !samePlace(other, w) {
			continue
		}
		if other.Incarnation > w.Incarnation {
			return Result{Code: OK, Repeated: true}
		}
		m.dropWorker(other)
	}
	known := m.data.Workers[w.ID]
	if known != nil && known.Incarnation > w.Incarnation {
		return Result{Code: OK, Repeated: true}
	}
	registered := *w
	registered.Restarted = known != nil && (known.Restarted || known.Incarnation < w.Incarnation)
	m.data.Workers[w.ID] = &registered
	return Result{Code: OK}
}

// samePlace says whether two workers cannot live at the same time.
func samePlace(a, b *Worker) bool {
	return a.Address == b.Address || (a.VM != "" && a.VM == b.VM)
}

// applyDeregister forgets a worker that has ended.
func (m *Machine) applyDeregister(d *Deregister) Result {
	worker := m.data.Workers[d.ID]
	if worker == nil || worker.Incarnation != d.Incarnation {
		return Result{Code: OK, Repeated: true}
	}
	m.dropWorker(worker)
	return Result{Code: OK}
}

// dropWorker forgets a worker and frees the tasks that ran on it.
func (m *Machine) dropWorker(worker *Worker) {
	delete(m.data.Workers, worker.ID)
	for _, job := range m.active {
		for _, run := range job.RunsOn(worker.ID) {
			m.applyEnd(&End{Task: run.Task, Run: run.Run, Kind: EndInterrupted})
		}
	}
}

// Run is one run of a task.
type Run struct {
	Task workload.TaskID
	Run  int
}

// RunsOn returns the executing runs of a job on a worker.
func (j *Job) RunsOn(worker string) []Run {
	var runs []Run
	j.EachExecuting(func(id workload.TaskID, task *Task) {
		if task.Worker == worker {
			runs = append(runs, Run{Task: id, Run: task.Run})
		}
	})
	return runs
}

// EachExecuting calls f for each task whose phase is Running.
func (j *Job) EachExecuting(f func(workload.TaskID, *Task)) {
	if j.Executing == 0 {
		return
	}
	for k := range j.Occurrences {
		for s := range j.Occurrences[k].Steps {
			tasks := j.Occurrences[k].Steps[s].Tasks
			for i := range tasks {
				if tasks[i].Phase == Running {
					f(workload.TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i}, &tasks[i])
				}
			}
		}
	}
}

// applyWave records a wave; a number that is known is the same wave.
func (m *Machine) applyWave(w *Wave) Result {
	if m.data.Waves[w.Number] != nil {
		return Result{Code: OK, Repeated: true}
	}
	wave := *w
	wave.Ordered = map[string]bool{}
	wave.Started = map[string]bool{}
	m.data.Waves[w.Number] = &wave
	return Result{Code: OK}
}

// applyUpkeep notes the upkeep of a VM in its wave.
func (m *Machine) applyUpkeep(u *Maintenance) Result {
	wave := m.data.Waves[u.Wave]
	if wave == nil {
		return Result{Code: UnknownJob}
	}
	if wave.Ordered == nil {
		wave.Ordered = map[string]bool{}
	}
	if wave.Started == nil {
		wave.Started = map[string]bool{}
	}
	wave.Ordered[u.VM] = true
	if u.Started {
		wave.Started[u.VM] = true
	}
	return Result{Code: OK}
}
