package state

import (
	"fmt"
	"maps"
	"slices"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// TaskOutcome is the reported outcome of a job's attempt.
type TaskOutcome string

// Outcomes of an attempt. After the first two the attempt is still running.
const (
	TaskRunning      TaskOutcome = "runs"
	TaskCheckpointed TaskOutcome = "checkpointed"
	TaskDone         TaskOutcome = "done"
	TaskFailed       TaskOutcome = "failed"
	TaskStopped      TaskOutcome = "stopped"
	// TaskLost means that the lease expired without a report from the worker.
	TaskLost TaskOutcome = "lost"
)

// TaskReport is a worker's report on one attempt of a job.
type TaskReport struct {
	Job string `cbor:"1,keyasint"`
	// Epoch identifies the attempt. A report on an older attempt is ignored
	// unless it is marked as Late.
	Epoch   uint64          `cbor:"2,keyasint"`
	Outcome TaskOutcome     `cbor:"3,keyasint"`
	Used    fleet.Resources `cbor:"4,keyasint"`
	RunMS   int64           `cbor:"5,keyasint"`
	Reason  string          `cbor:"6,keyasint,omitempty"`
	// Late marks the success of an attempt that is no longer the running one.
	// Log entries of earlier versions never have it.
	Late bool `cbor:"7,keyasint,omitempty"`
}

// TaskReports is the body of a ReportTasks command.
type TaskReports struct {
	Reports []TaskReport `cbor:"1,keyasint"`
}

// TaskReportsAnswer is the result body of a ReportTasks command.
type TaskReportsAnswer struct {
	// Quarantined lists the workers that were quarantined because of the
	// reports.
	Quarantined []string `cbor:"1,keyasint,omitempty"`
	// Stale counts the ignored reports on attempts that are not running.
	Stale int `cbor:"2,keyasint"`
}

func applyReportTasks(m *Machine, pos position, reports TaskReports) Result {
	var answer TaskReportsAnswer
	for _, report := range reports.Reports {
		job := m.data.Jobs.active[report.Job]
		if job != nil && report.Late {
			if !m.data.Jobs.applyLateSuccess(pos, job, report) {
				answer.Stale++
			}
			continue
		}
		if job == nil || job.Phase != jobplan.Running || job.Epoch != report.Epoch {
			answer.Stale++
			continue
		}
		worker := job.Worker
		if m.applyTaskReport(pos, job, report) {
			answer.Quarantined = append(answer.Quarantined, worker)
		}
	}
	return okResult(answer)
}

// applyTaskReport applies one report. It returns true if the worker was
// quarantined because of it.
func (m *Machine) applyTaskReport(pos position, job *Job, report TaskReport) bool {
	s := &m.data.Jobs
	switch report.Outcome {
	case TaskRunning:
		job.Used = report.Used
		job.LostUnreported = 0
	case TaskCheckpointed:
		job.Used = report.Used
		job.Checkpointed = true
		job.LostUnreported = 0
	case TaskDone:
		s.recordObservation(job, report)
		s.workerRecord(job.Worker).RecordSuccess()
		s.detach(job)
		job.Reason = ""
		s.end(pos, job, jobplan.Done)
	case TaskFailed:
		return m.failAttempt(pos, job, report)
	case TaskStopped:
		job.Preempted++
		s.requeue(pos, job)
	case TaskLost:
		s.loseAttempt(pos, job)
	}
	return false
}

// loseAttempt ends an attempt whose lease expired. The job is queued again, unless
// too many attempts in a row were lost before their workers reported on them.
func (s *jobState) loseAttempt(pos position, job *Job) {
	job.Lost++
	job.LostUnreported++
	job.Checkpointed = false
	if job.LostUnreported < maxLostUnreported || job.Cancelling || job.Succeeded {
		s.requeue(pos, job)
		return
	}
	s.detach(job)
	s.end(pos, job, jobplan.Failed)
	job.Reason = fmt.Sprintf("%d attempts in a row were lost before a worker reported on them", job.LostUnreported)
}

// failAttempt records a failed attempt for the job and for its worker. It
// returns true if the worker was quarantined because of it.
func (m *Machine) failAttempt(pos position, job *Job, report TaskReport) bool {
	s := &m.data.Jobs
	worker := job.Worker
	quarantined := s.workerRecord(worker).RecordFailure(job.Spec.ID, pos.atMS, s.quarantinedCount(), m.jobWorkerCount())
	job.Failures++
	job.Avoid = append(slices.Clone(job.Avoid), worker)
	job.Reason = report.Reason
	if job.Failures < maxAttempts || job.Succeeded {
		s.requeue(pos, job)
		return quarantined
	}
	s.detach(job)
	s.end(pos, job, jobplan.Failed)
	for _, failedOn := range job.Avoid {
		s.workerRecord(failedOn).ClearFailure(job.Spec.ID)
	}
	return s.workerRecord(worker).QuarantinedMS != 0 && quarantined
}

// requeue queues a job again after an attempt that did not finish it, or ends
// the job if an earlier attempt has succeeded or it is being cancelled.
func (s *jobState) requeue(pos position, job *Job) {
	s.detach(job)
	switch {
	case job.Succeeded:
		job.Reason = ""
		s.end(pos, job, jobplan.Done)
	case job.Cancelling:
		s.end(pos, job, jobplan.Cancelled)
	default:
		job.Phase = jobplan.Queued
	}
}

func (s *jobState) recordObservation(job *Job, report TaskReport) {
	key := jobplan.KindKey(job.Spec.Team, job.Spec.Kind)
	observed := append(slices.Clone(s.Observed[key]), jobplan.Observation{Used: report.Used, RunMS: report.RunMS})
	s.Observed[key] = observed[max(0, len(observed)-jobplan.MaxObservations):]
}

func (s *jobState) workerRecord(name string) *jobplan.WorkerRecord {
	if s.Workers[name] == nil {
		s.Workers[name] = &jobplan.WorkerRecord{}
	}
	return s.Workers[name]
}

func (s *jobState) quarantinedCount() int {
	count := 0
	for _, record := range s.Workers {
		if record.QuarantinedMS != 0 {
			count++
		}
	}
	return count
}

// jobWorkerCount returns the number of VMs with capacity for jobs.
func (m *Machine) jobWorkerCount() int {
	count := 0
	for _, vm := range m.data.Fleet.VMs {
		if m.jobCapacity(vm) != (fleet.Resources{}) {
			count++
		}
	}
	return count
}

// JobInput returns the input for the job planner, and the epoch of each active
// job.
func (m *Machine) JobInput(nowMS int64) (*jobplan.Input, map[string]uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	input := &jobplan.Input{NowMS: nowMS, Quotas: m.quotas(), Observed: maps.Clone(m.data.Jobs.Observed)}
	epochs := make(map[string]uint64, len(m.data.Jobs.active))
	for id, job := range m.data.Jobs.active {
		input.Jobs = append(input.Jobs, job.planInput())
		epochs[id] = job.Epoch
	}
	slices.SortFunc(input.Jobs, func(a, b jobplan.Job) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	for _, vm := range m.data.Fleet.VMs {
		input.Workers = append(input.Workers, m.planWorker(vm, nowMS))
	}
	slices.SortFunc(input.Workers, func(a, b jobplan.Worker) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return input, epochs
}

func (j *Job) planInput() jobplan.Job {
	return jobplan.Job{
		ID: j.Spec.ID, Team: j.Spec.Team, Kind: j.Spec.Kind, Urgent: j.Spec.Urgent, Declared: j.Spec.Declared, Pools: j.Spec.Pools,
		Phase: j.Phase, SubmittedMS: j.SubmittedMS, Worker: j.Worker, Reserved: j.Reserved, StartedMS: j.StartedMS,
		Order: j.Order, OrderMS: j.OrderMS, Checkpointed: j.Checkpointed, Used: j.Used, AvoidWorkers: j.Avoid, Reason: j.Reason,
	}
}

func (m *Machine) planWorker(vm OwnedVM, nowMS int64) jobplan.Worker {
	worker := jobplan.Worker{Name: vm.Name, Pool: vm.Pool, Rack: vm.Rack, Schedulable: vm.Phase == view.Serving, Capacity: m.jobCapacity(vm)}
	if record := m.data.Jobs.Workers[vm.Name]; record != nil && record.QuarantinedMS != 0 {
		worker.Quarantined = true
		worker.Probe = nowMS-record.QuarantinedMS >= jobplan.ProbeAfterMS
	}
	return worker
}
