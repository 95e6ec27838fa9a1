package workload

import (
	"errors"
	"fmt"
	"time"
)

// Limits of one job. They bound memory, not what a deployment may need.
const (
	// MaxPayloadBytes bounds the payload that is passed to each task.
	MaxPayloadBytes = 4000
	maxSteps        = 1000
	maxTasks        = 100_000
	maxOccurrences  = 1_000_000
)

// ErrInvalidSpec says that a job can't be accepted as it was submitted.
var ErrInvalidSpec = errors.New("the job is invalid")

// Resources is an amount of a VM's capacity.
type Resources struct {
	// MilliCPU is in thousandths of a core, MemoryMB in megabytes.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference; parts of it may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Fits says whether r has room for need.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemoryMB <= r.MemoryMB && need.GPU <= r.GPU
}

// Step is a number of equal tasks.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the client's rough figure for one task's duration.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn numbers earlier steps, from 0, whose tasks must all be done.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing tasks can resume from a checkpoint.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang tasks work only while all of one run are present.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack tasks are slow when they are spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have; "" is none.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run at full speed; "" is any.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// AllowDuplicates lets copies of a task run at the same time.
	AllowDuplicates bool `cbor:"11,keyasint,omitempty"`
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget bounds the tail of the response times of long-running
	// tasks; 0 is no target.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort tasks use the processor time that others leave unused: their
	// processor need does not count against a worker's capacity.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is the number of the step's tasks that the system
	// may make unavailable at the same time; -1 is no budget.
	DisruptionBudget int `cbor:"16,keyasint"`
}

// Charge is what a running task of the step takes from a worker's capacity.
func (s *Step) Charge() Resources {
	charge := s.Need
	if s.BestEffort {
		charge.MilliCPU = 0
	}
	return charge
}

// Spec is a submitted job.
type Spec struct {
	// Payload is passed to each task as it is.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeat is the number of scheduled occurrences; 0 is a job that runs
	// once, at once. Occurrence k is due at FirstDue + k*Interval.
	Repeat int `cbor:"3,keyasint,omitempty"`
	// FirstDue is in milliseconds of Unix time.
	FirstDueMS int64         `cbor:"4,keyasint,omitempty"`
	Interval   time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences is the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// DueMS returns when an occurrence may start, in milliseconds of Unix time;
// 0 is at once.
func (s *Spec) DueMS(occurrence int) int64 {
	if s.Repeat == 0 {
		return 0
	}
	return s.FirstDueMS + int64(occurrence)*s.Interval.Milliseconds()
}

// LongRunning says whether the job has tasks that run until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Validate returns an error that wraps ErrInvalidSpec and names the part at
// fault.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return invalid("the payload is longer than %d bytes", MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > maxSteps {
		return invalid("%d steps, expected 1 to %d", len(s.Steps), maxSteps)
	}
	if s.Repeat < 0 || s.Repeat > maxOccurrences || s.Interval < 0 {
		return invalid("%d occurrences each %s", s.Repeat, s.Interval)
	}
	tasks := 0
	for i := range s.Steps {
		if err := s.Steps[i].validate(i); err != nil {
			return err
		}
		tasks += s.Steps[i].Count
	}
	if tasks > maxTasks {
		return invalid("%d tasks, expected at most %d", tasks, maxTasks)
	}
	return nil
}

func (s *Step) validate(number int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return invalid("step %d has %d tasks", number, s.Count)
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 || s.MaxPerWorker < 0 {
		return invalid("step %d has a negative need", number)
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= number {
			return invalid("step %d depends on step %d, which is not an earlier one", number, before)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidSpec, fmt.Sprintf(format, args...))
}
