package workstate

import (
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// View gives read access to the state.
type View struct{ m *Machine }

// Catalog returns the configuration in force; version 0 means none.
func (v *View) Catalog() *catalog.Catalog { return &v.m.data.Catalog }

// Format returns the newest format of commands that may be proposed.
func (v *View) Format() int { return v.m.data.Format }

// Queue returns the queue with the given key as the catalog has it or, if it was
// removed while jobs used it, as it was last known. It returns nil if neither is known.
func (v *View) Queue(key string) *catalog.Queue { return v.m.queues[key] }

// Job returns the job with the given id, or nil. Calls name a job by its location, which
// JobAt finds.
func (v *View) Job(id string) *Job { return v.m.data.Jobs[id] }

// JobAt returns the job that was accepted at a location, or nil.
func (v *View) JobAt(host, path string) *Job { return v.m.jobAt(host, path) }

func (m *Machine) jobAt(host, path string) *Job {
	job := m.data.Jobs[workload.JobIDAt(path)]
	if job == nil || !job.acceptedAt(host, path) {
		return nil
	}
	return job
}

// Active returns the jobs that are open or have tasks executing, by id.
func (v *View) Active() map[string]*Job { return v.m.active }

// Workers returns the registered workers by id.
func (v *View) Workers() map[string]*Worker { return v.m.data.Workers }

// WorkersVersion returns a number that differs from that of an earlier view of
// this process if the registered workers have changed since.
func (v *View) WorkersVersion() uint64 { return v.m.workersVersion }

// Waves returns all waves by number.
func (v *View) Waves() map[int64]*Wave { return v.m.data.Waves }

// ClockMS returns the latest time of any command in milliseconds.
func (v *View) ClockMS() int64 { return v.m.data.ClockMS }

// ServiceOf returns the service that runs a job's tasks: the service of its queue
// or, if nothing is known of the queue, the last known service.
func (v *View) ServiceOf(job *Job) string { return v.m.serviceOf(job) }

func (m *Machine) serviceOf(job *Job) string {
	if queue := m.queues[job.Queue]; queue != nil {
		return queue.Service
	}
	return job.Service
}

// Pending returns the number of open jobs of a queue of which no task has
// started.
func (v *View) Pending(queueKey string) int {
	count := 0
	for _, job := range v.m.active {
		if job.Queue == queueKey && job.Outcome == Open && !job.Started {
			count++
		}
	}
	return count
}
