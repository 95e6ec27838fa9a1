package state

import (
	"maps"
	"slices"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// TaskOutcome is what became of a job's attempt.
type TaskOutcome string

// Outcomes of an attempt. The first two leave it running.
const (
	TaskRunning      TaskOutcome = "runs"
	TaskCheckpointed TaskOutcome = "checkpointed"
	TaskDone         TaskOutcome = "done"
	TaskFailed       TaskOutcome = "failed"
	TaskStopped      TaskOutcome = "stopped"
	// TaskLost says that the lease ran out without a word from the worker.
	TaskLost TaskOutcome = "lost"
)

// TaskReport tells what a worker said of one attempt.
type TaskReport struct {
	Job string `cbor:"1,keyasint"`
	// Epoch names the attempt; a report of an older one is void.
	Epoch   uint64          `cbor:"2,keyasint"`
	Outcome TaskOutcome     `cbor:"3,keyasint"`
	Used    fleet.Resources `cbor:"4,keyasint"`
	RunMS   int64           `cbor:"5,keyasint"`
	Reason  string          `cbor:"6,keyasint,omitempty"`
}

// TaskReports is the body of a ReportTasks command.
type TaskReports struct {
	Reports []TaskReport `cbor:"1,keyasint"`
}

// TaskReportsAnswer tells what the reports changed.
type TaskReportsAnswer struct {
	// Quarantined lists workers that were quarantined by the reports.
	Quarantined []string `cbor:"1,keyasint,omitempty"`
	// Stale counts reports of attempts that are over.
	Stale int `cbor:"2,keyasint"`
}

func applyReportTasks(m *Machine, p position, reports TaskReports) Result {
	var answer TaskReportsAnswer
	for _, report := range reports.Reports {
		job := m.data.Jobs.active[report.Job]
		if job == nil || job.Phase != jobplan.Running || job.Epoch != report.Epoch {
			answer.Stale++
			continue
		}
		worker := job.Worker
		if m.applyTaskReport(p, job, report) {
			answer.Quarantined = append(answer.Quarantined, worker)
		}
	}
	return okResult(answer)
}

// applyTaskReport carries one report out; true if its worker was quarantined.
func (m *Machine) applyTaskReport(p position, job *Job, report TaskReport) bool {
	s := &m.data.Jobs
	switch report.Outcome {
	case TaskRunning:
		job.Used = report.Used
	case TaskCheckpointed:
		job.Used = report.Used
		job.Checkpointed = true
	case TaskDone:
		s.observe(job, report)
		s.worker(job.Worker).RecordSuccess()
		s.detach(job)
		job.Reason = ""
		s.end(p, job, jobplan.Done)
	case TaskFailed:
		return m.failAttempt(p, job, report)
	case TaskStopped:
		job.Preempted++
		s.requeue(p, job)
	case TaskLost:
		job.Lost++
		job.Checkpointed = false
		s.requeue(p, job)
	}
	return false
}

// failAttempt counts a failure against the job and its worker.
func (m *Machine) failAttempt(p position, job *Job, report TaskReport) bool {
	s := &m.data.Jobs
	worker := job.Worker
	quarantined := s.worker(worker).RecordFailure(job.Spec.ID, p.atMS, s.quarantined(), m.jobWorkers())
	job.Failures++
	job.Avoid = append(slices.Clone(job.Avoid), worker)
	job.Reason = report.Reason
	if job.Failures < maxAttempts {
		s.requeue(p, job)
		job.Reason = report.Reason
		return quarantined
	}
	s.detach(job)
	s.end(p, job, jobplan.Failed)
	for _, blamed := range job.Avoid {
		s.worker(blamed).ClearFailure(job.Spec.ID)
	}
	return s.worker(worker).QuarantinedMS != 0 && quarantined
}

// requeue puts a job back after an attempt that did not finish it.
func (s *jobState) requeue(p position, job *Job) {
	s.detach(job)
	if job.Cancelling {
		s.end(p, job, jobplan.Cancelled)
		return
	}
	job.Phase = jobplan.Queued
}

func (s *jobState) observe(job *Job, report TaskReport) {
	key := jobplan.KindKey(job.Spec.Team, job.Spec.Kind)
	observed := append(slices.Clone(s.Observed[key]), jobplan.Observation{Used: report.Used, RunMS: report.RunMS})
	s.Observed[key] = observed[max(0, len(observed)-jobplan.MaxObservations):]
}

func (s *jobState) worker(name string) *jobplan.WorkerRecord {
	if s.Workers[name] == nil {
		s.Workers[name] = &jobplan.WorkerRecord{}
	}
	return s.Workers[name]
}

func (s *jobState) quarantined() int {
	count := 0
	for _, record := range s.Workers {
		if record.QuarantinedMS != 0 {
			count++
		}
	}
	return count
}

// jobWorkers counts the VMs that jobs may run on.
func (m *Machine) jobWorkers() int {
	count := 0
	for _, vm := range m.data.Fleet.VMs {
		if m.jobCapacity(vm) != (fleet.Resources{}) {
			count++
		}
	}
	return count
}

// JobInput returns the snapshot from which jobs are planned, and the epoch
// of each active job.
func (m *Machine) JobInput(nowMS int64) (*jobplan.Input, map[string]uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	input := &jobplan.Input{NowMS: nowMS, Quotas: m.quotas(), Observed: maps.Clone(m.data.Jobs.Observed)}
	epochs := make(map[string]uint64, len(m.data.Jobs.active))
	for id, job := range m.data.Jobs.active {
		input.Jobs = append(input.Jobs, job.plannable())
		epochs[id] = job.Epoch
	}
	slices.SortFunc(input.Jobs, func(a, b jobplan.Job) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, vm := range m.data.Fleet.VMs {
		input.Workers = append(input.Workers, m.plannableWorker(vm, nowMS))
	}
	slices.SortFunc(input.Workers, func(a, b jobplan.Worker) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return input, epochs
}

func (j *Job) plannable() jobplan.Job {
	return jobplan.Job{
		ID: j.Spec.ID, Team: j.Spec.Team, Kind: j.Spec.Kind, Urgent: j.Spec.Urgent, Declared: j.Spec.Declared, Pools: j.Spec.Pools,
		Phase: j.Phase, SubmittedMS: j.SubmittedMS, Worker: j.Worker, Reserved: j.Reserved, StartedMS: j.StartedMS,
		Order: j.Order, OrderMS: j.OrderMS, Checkpointed: j.Checkpointed, Used: j.Used, AvoidWorkers: j.Avoid, Reason: j.Reason,
	}
}

func (m *Machine) plannableWorker(vm OwnedVM, nowMS int64) jobplan.Worker {
	worker := jobplan.Worker{Name: vm.Name, Pool: vm.Pool, Rack: vm.Rack, Schedulable: vm.Phase == view.Serving, Capacity: m.jobCapacity(vm)}
	if record := m.data.Jobs.Workers[vm.Name]; record != nil && record.QuarantinedMS != 0 {
		worker.Quarantined = true
		worker.Probe = nowMS-record.QuarantinedMS >= jobplan.ProbeAfterMS
	}
	return worker
}
