package plan

// Move is a VM's move to another pool that has not completed. It is part of
// the replicated state.
type Move struct {
	VM   string `cbor:"1,keyasint" json:"vm"`
	From string `cbor:"2,keyasint" json:"from"`
	// To is the new pool, "" for a VM that is removed from the fleet.
	To string `cbor:"3,keyasint" json:"to"`
	// Epoch is the VM's epoch while it drains for this move.
	Epoch uint64 `cbor:"4,keyasint" json:"epoch"`
	Cause string `cbor:"5,keyasint" json:"cause"`
	AtMS  int64  `cbor:"6,keyasint" json:"at_ms"`
}

// RunStatus is the state of a wave run.
type RunStatus string

// States of a wave run.
const (
	Running RunStatus = "running"
	Paused  RunStatus = "paused"
	Aborted RunStatus = "aborted"
	Ended   RunStatus = "ended"
)

// StepState is the progress of one VM in a wave run.
type StepState string

// States of a VM in a wave run. Done and Skipped are final.
const (
	Pending   StepState = "pending"
	Draining  StepState = "draining"
	Rebooting StepState = "rebooting"
	Settling  StepState = "settling"
	Done      StepState = "done"
	// Lost is a VM that did not return from its reboot, or did not become
	// healthy after it, in time.
	Lost StepState = "lost"
	// Skipped is a VM that left the fleet during the run.
	Skipped StepState = "skipped"
)

// OutOfService reports whether the wave has taken the VM out of service.
func (s StepState) OutOfService() bool { return s == Draining || s == Rebooting || s == Settling }

// Progress is the state of one VM in a wave run.
type Progress struct {
	State StepState `cbor:"1,keyasint" json:"state"`
	// Epoch is the VM's epoch in this state.
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
	// Order is the idempotency key of the reboot.
	Order string `cbor:"3,keyasint,omitempty" json:"order,omitempty"`
	// SinceMS is when the VM entered this state, in Unix milliseconds.
	SinceMS int64 `cbor:"4,keyasint" json:"since_ms"`
}

// WaveRun is one run of a declared wave. It is part of the replicated state.
// A published value is immutable.
type WaveRun struct {
	ID        string    `cbor:"1,keyasint" json:"id"`
	Wave      string    `cbor:"2,keyasint" json:"wave"`
	Status    RunStatus `cbor:"3,keyasint" json:"status"`
	By        string    `cbor:"4,keyasint" json:"by"`
	StartedMS int64     `cbor:"5,keyasint" json:"started_ms"`
	EndedMS   int64     `cbor:"6,keyasint" json:"ended_ms,omitempty"`
	// Width is the maximum number of VMs out of service at once. It doubles
	// when as many VMs have returned to service.
	Width int `cbor:"7,keyasint" json:"width"`
	// Streak is the number of VMs that have returned to service since the
	// width last changed.
	Streak int `cbor:"8,keyasint" json:"streak"`
	// Losses is the number of unplanned VM losses in the run's pools that
	// the run has already accounted for.
	Losses int `cbor:"9,keyasint" json:"losses"`
	// HoldUntilMS is when the run may take further VMs out of service after
	// a loss, in Unix milliseconds.
	HoldUntilMS int64               `cbor:"10,keyasint" json:"hold_until_ms,omitempty"`
	VMs         map[string]Progress `cbor:"11,keyasint" json:"vms"`
}

// Open reports whether the run is running or paused, or still has a VM that is
// out of service or lost.
func (r *WaveRun) Open() bool {
	if r.Status == Running || r.Status == Paused {
		return true
	}
	for _, progress := range r.VMs {
		if progress.State.OutOfService() || progress.State == Lost {
			return true
		}
	}
	return false
}

// Count returns the number of VMs in each state.
func (r *WaveRun) Count() map[StepState]int {
	count := map[StepState]int{}
	for _, progress := range r.VMs {
		count[progress.State]++
	}
	return count
}

// WaveStep is a proposed state change of one VM in a wave run.
type WaveStep struct {
	Run string `cbor:"1,keyasint"`
	VM  string `cbor:"2,keyasint"`
	// Epoch is the VM's epoch in the planner's snapshot.
	Epoch uint64    `cbor:"3,keyasint"`
	To    StepState `cbor:"4,keyasint"`
	// Cause is the reason that the timeline shows for the step.
	Cause string `cbor:"5,keyasint"`
}

// MoveKind is the kind of a MoveStep.
type MoveKind string

// Steps of a move.
const (
	StartMove  MoveKind = "start"
	CommitMove MoveKind = "commit"
	CancelMove MoveKind = "cancel"
	// RetireVM removes a drained VM from the fleet.
	RetireVM MoveKind = "retire"
)

// MoveStep is a proposed step of a VM's move.
type MoveStep struct {
	Kind MoveKind `cbor:"1,keyasint"`
	VM   string   `cbor:"2,keyasint"`
	// Epoch is the VM's epoch in the planner's snapshot.
	Epoch uint64 `cbor:"3,keyasint"`
	// Pool is the new pool, "" if the VM is removed from the fleet.
	Pool  string `cbor:"4,keyasint"`
	Cause string `cbor:"5,keyasint"`
}

// Blocked gives the reason why a VM's next step is not possible at present.
type Blocked struct {
	VM     string `json:"vm"`
	Reason string `json:"reason"`
}
