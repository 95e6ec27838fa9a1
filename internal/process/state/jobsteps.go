package state

import (
	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/jobplan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// JobSteps is the body of a StepJobs command: a plan, each step of which is
// checked against the current state.
type JobSteps struct {
	Placements  []JobPlacement    `cbor:"1,keyasint"`
	Preemptions []JobOrder        `cbor:"2,keyasint"`
	Blocked     []jobplan.Blocked `cbor:"3,keyasint"`
}

// JobPlacement starts the next attempt of a queued job.
type JobPlacement struct {
	Job string `cbor:"1,keyasint"`
	// Epoch is the job's epoch in the planner's snapshot.
	Epoch       uint64          `cbor:"2,keyasint"`
	Worker      string          `cbor:"3,keyasint"`
	Reservation fleet.Resources `cbor:"4,keyasint"`
}

// JobOrder gives an order to the running attempt of a job.
type JobOrder struct {
	Job    string        `cbor:"1,keyasint"`
	Epoch  uint64        `cbor:"2,keyasint"`
	Order  jobplan.Order `cbor:"3,keyasint"`
	Reason string        `cbor:"4,keyasint"`
}

// JobStepsAnswer is the result body of a StepJobs command. Refused lists the
// placements that the current state does not allow.
type JobStepsAnswer struct {
	Placed  int      `cbor:"1,keyasint"`
	Ordered int      `cbor:"2,keyasint"`
	Refused []string `cbor:"3,keyasint,omitempty"`
}

func applyStepJobs(m *Machine, pos position, steps JobSteps) Result {
	var answer JobStepsAnswer
	for _, order := range steps.Preemptions {
		if m.data.Jobs.applyOrder(pos, order) {
			answer.Ordered++
		}
	}
	for _, placement := range steps.Placements {
		if reason := m.placeJob(pos, placement); reason != "" {
			answer.Refused = append(answer.Refused, placement.Job+": "+reason)
			continue
		}
		answer.Placed++
	}
	for _, blocked := range steps.Blocked {
		if job := m.data.Jobs.active[blocked.Job]; job != nil && job.Phase == jobplan.Queued {
			job.Reason = blocked.Reason
		}
	}
	return okResult(answer)
}

func (s *jobState) applyOrder(pos position, order JobOrder) bool {
	job := s.active[order.Job]
	if job == nil || job.Phase != jobplan.Running || job.Epoch != order.Epoch || job.Succeeded {
		return false
	}
	job.Order = order.Order
	job.OrderMS = pos.atMS
	job.Reason = order.Reason
	return true
}

// placeJob starts an attempt. It returns "", or the reason why the current
// state does not allow it.
func (m *Machine) placeJob(pos position, placement JobPlacement) string {
	s := &m.data.Jobs
	job := s.active[placement.Job]
	if job == nil || job.Phase != jobplan.Queued || job.Epoch != placement.Epoch {
		return "the job has changed since the plan was made"
	}
	vm, known := m.data.Fleet.VMs[placement.Worker]
	if !known || vm.Phase != view.Serving {
		return "worker " + placement.Worker + " accepts no tasks"
	}
	if !jobplan.Fits(placement.Reservation, jobplan.Sub(m.jobCapacity(vm), s.reservedOn(placement.Worker))) {
		return "worker " + placement.Worker + " has not enough free capacity"
	}
	if !jobplan.Fits(jobplan.Add(s.reservedBy(job.Spec.Team), placement.Reservation), m.quotas()[job.Spec.Team]) {
		return "the quota of team " + job.Spec.Team + " is used up"
	}
	job.Phase = jobplan.Running
	job.Epoch++
	job.Worker = placement.Worker
	job.Reserved = placement.Reservation
	job.StartedMS = pos.atMS
	job.Reason = ""
	s.attach(job)
	return ""
}

// jobCapacity returns the resources of a VM that are available to jobs.
func (m *Machine) jobCapacity(vm OwnedVM) fleet.Resources {
	size, declared := m.data.Fleet.declaredVMs[vm.Name]
	if !declared {
		return fleet.Resources{}
	}
	share := m.data.Fleet.pools[vm.Pool].JobShare
	if share == 0 {
		return fleet.Resources{}
	}
	return fleet.Resources{CPUCores: share * float64(size.CPUCores), MemoryGiB: share * float64(size.MemoryGiB), Accelerators: size.Accelerators}
}

func (m *Machine) quotas() map[string]fleet.Resources {
	quotas := map[string]fleet.Resources{}
	if m.data.Fleet.Document == nil {
		return quotas
	}
	for _, team := range m.data.Fleet.Document.Teams {
		quotas[team.Name] = team.Quota
	}
	return quotas
}

// checkIdle refuses a step that would end running tasks of a VM.
func (s *jobState) checkIdle(vm string) (Result, bool) {
	if count := len(s.onWorker[vm]); count > 0 {
		return refuse(Refused, "VM %q still runs %d tasks", vm, count), true
	}
	return Result{}, false
}

// reservedOn returns the sum of the reservations on a worker.
func (s *jobState) reservedOn(worker string) fleet.Resources {
	var reserved fleet.Resources
	for _, job := range s.onWorker[worker] {
		reserved = jobplan.Add(reserved, job.Reserved)
	}
	return reserved
}

// reservedBy returns the sum of the reservations of a team.
func (s *jobState) reservedBy(team string) fleet.Resources {
	var reserved fleet.Resources
	for _, jobs := range s.onWorker {
		for _, job := range jobs {
			if job.Spec.Team == team {
				reserved = jobplan.Add(reserved, job.Reserved)
			}
		}
	}
	return reserved
}
