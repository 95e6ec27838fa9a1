package workstate

import "arbutusward.example/arbutusward/internal/version/workload"

// Memory that the parts of a job take in a control process, in bytes: in the state, in the
// log and in snapshots of it, and in a round of the scheduler.
const (
	jobBytes        = 1024
	endedJobBytes   = 512
	stepBytes       = 320
	dependencyBytes = 32
	occurrenceBytes = 32
	// waitingStepBytes is taken for each occurrence of a step, and taskBytes for each of
	// its tasks.
	waitingStepBytes = 384
	taskBytes        = 192
	// textCopies is the number of copies of a text: one in the state, and those of the log
	// and of a snapshot while it is written.
	textCopies = 6
)

// Footprint returns an upper estimate of the memory, in bytes, that a job takes in each
// control process until it ends. All its occurrences count, since the progress of each is
// kept as long as the job is open.
func Footprint(spec *workload.Spec) int64 {
	steps, tasks := int64(len(spec.Steps)), int64(0)
	for i := range spec.Steps {
		tasks += int64(spec.Steps[i].Count)
	}
	occurrence := occurrenceBytes + steps*waitingStepBytes + tasks*taskBytes
	return jobBytes + int64(len(spec.Payload))*textCopies + stepsFootprint(spec) + int64(spec.Occurrences())*occurrence
}

// endedFootprint returns the memory of a job that has ended, whose payload and progress are
// not kept.
func endedFootprint(spec *workload.Spec) int64 { return endedJobBytes + stepsFootprint(spec) }

// stepsFootprint returns the memory of the description of a job's steps.
func stepsFootprint(spec *workload.Spec) int64 {
	bytes := int64(0)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		texts := len(step.RequiredLabel) + len(step.DataRack) + len(step.Image)
		bytes += stepBytes + int64(texts)*textCopies + int64(len(step.DependsOn))*dependencyBytes
	}
	return bytes
}

// JobMemory returns the memory that all jobs take, in bytes.
func (v *View) JobMemory() int64 { return v.m.memory.Total }

// AccountMemory returns the memory that the jobs of a client account take, in bytes.
func (v *View) AccountMemory(account string) int64 { return v.m.memory.Of(account) }

// charge updates what a job counts for.
func (m *Machine) charge(job *Job) {
	bytes := job.footprint()
	m.memory.Add(job.Account, bytes-job.charged)
	job.charged = bytes
}

// ended reports whether the job has ended and none of its tasks is executing.
func (j *Job) ended() bool { return j.Outcome != Open && j.Executing == 0 }

// footprint returns the memory of a job in the state.
func (j *Job) footprint() int64 {
	if j.ended() && j.Occurrences == nil {
		return endedFootprint(&j.Spec)
	}
	return Footprint(&j.Spec)
}

// release drops what nobody needs of a job that has ended. The progress of a failed one
// tells why it has failed, and is kept until the next purge.
func (m *Machine) release(job *Job) {
	job.Spec.Payload = ""
	if job.Outcome != Failed {
		job.Occurrences = nil
	}
	m.charge(job)
}

// forget removes a job.
func (m *Machine) forget(job *Job) {
	delete(m.data.Jobs, job.ID)
	m.memory.Add(job.Account, -job.charged)
}
