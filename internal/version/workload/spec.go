package workload

import (
	"errors"
	"fmt"
	"time"
)

// Limits of one job. They bound the memory that a job uses; they are not meant
// to restrict what a deployment may run.
const (
	// MaxPayloadBytes limits the payload that is passed to each task.
	MaxPayloadBytes = 4000
	// MaxSteps limits the steps of a job.
	MaxSteps       = 1000
	maxTasks       = 100_000
	maxOccurrences = 1_000_000
)

// ErrInvalidSpec is returned when a submitted job is malformed.
var ErrInvalidSpec = errors.New("the job is invalid")

// Resources is an amount of CPU, memory and GPUs.
type Resources struct {
	// MilliCPU is in thousandths of a core, MemoryMB in megabytes.
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns r minus o. Its fields may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.MilliCPU <= r.MilliCPU && need.MemoryMB <= r.MemoryMB && need.GPU <= r.GPU
}

// MilliPerCore is the number of thousandths of a core, in which CPU is counted.
const MilliPerCore = 1000

// PackingRatio is the share of the capacity of workers that can be filled with tasks of up
// to a third of a worker.
const PackingRatio = 0.85

// Step is a set of equal tasks.
type Step struct {
	// Count is the number of tasks, Need the resources that each of them needs.
	Count int       `cbor:"1,keyasint"`
	Need  Resources `cbor:"2,keyasint"`
	// Estimate is the client's rough estimate of the duration of one task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// DependsOn lists the indexes, from 0, of earlier steps whose tasks must
	// all be done before this step starts.
	DependsOn []int `cbor:"4,keyasint,omitempty"`
	// Checkpointing is set if the tasks can resume from a checkpoint.
	Checkpointing bool `cbor:"5,keyasint,omitempty"`
	// Gang is set if the tasks make progress only while all tasks of the same
	// run execute.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack is set if the tasks are slow when they are spread over racks.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// RequiredLabel is a label that the worker must have; "" means none.
	RequiredLabel string `cbor:"8,keyasint,omitempty"`
	// DataRack is the rack on which the tasks run at full speed; "" is any.
	DataRack string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no
	// limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// AllowDuplicates is set if several runs of a task may execute at the same
	// time.
	AllowDuplicates bool `cbor:"11,keyasint,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `cbor:"12,keyasint,omitempty"`
	// Image names the program. Tasks with the same image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// TailLatencyTarget is the highest acceptable tail latency of long-running
	// tasks; 0 means no target.
	TailLatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// BestEffort is set if the tasks use only CPU time that other tasks leave
	// unused. Their CPU need does not count against a worker's capacity.
	BestEffort bool `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is the number of the step's tasks that the scheduler may
	// make unavailable at the same time; -1 means no limit.
	DisruptionBudget int `cbor:"16,keyasint"`
}

// Charge returns the part of a worker's capacity that an executing task of the
// step takes.
func (s *Step) Charge() Resources {
	charge := s.Need
	if s.BestEffort {
		charge.MilliCPU = 0
	}
	return charge
}

// Spec is a submitted job.
type Spec struct {
	// Payload is passed unchanged to each task.
	Payload string `cbor:"1,keyasint,omitempty"`
	Steps   []Step `cbor:"2,keyasint"`
	// Repeat is the number of scheduled occurrences; a job with 0 runs once and
	// at once. Occurrence k is due at FirstDueMS + k*Interval.
	Repeat int `cbor:"3,keyasint,omitempty"`
	// FirstDueMS is in milliseconds of Unix time.
	FirstDueMS int64         `cbor:"4,keyasint,omitempty"`
	Interval   time.Duration `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (s *Spec) Occurrences() int { return max(1, s.Repeat) }

// DueMS returns the time from which an occurrence may start, in milliseconds of
// Unix time; 0 means at once.
func (s *Spec) DueMS(occurrence int) int64 {
	if s.Repeat == 0 {
		return 0
	}
	return s.FirstDueMS + int64(occurrence)*s.Interval.Milliseconds()
}

// LongRunning reports whether the job has tasks that run until it is cancelled.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Validate returns an error that wraps ErrInvalidSpec and names the invalid
// part, or nil if the job is valid.
func (s *Spec) Validate() error {
	if len(s.Payload) > MaxPayloadBytes {
		return invalid("the payload is longer than %d bytes", MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return invalid("%d steps, expected 1 to %d", len(s.Steps), MaxSteps)
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
	for _, dependency := range s.DependsOn {
		if dependency < 0 || dependency >= number {
			return invalid("step %d depends on step %d, which is not an earlier one", number, dependency)
		}
	}
	return nil
}

func invalid(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalidSpec, fmt.Sprintf(format, args...))
}
