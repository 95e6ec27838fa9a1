package workload

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies one task of a job.
type TaskID struct {
	// Job is the id of the job, which the client chose.
	Job string `cbor:"1,keyasint"`
	// Occurrence, Step and Index count from 0.
	Occurrence int `cbor:"2,keyasint,omitempty"`
	Step       int `cbor:"3,keyasint,omitempty"`
	Index      int `cbor:"4,keyasint,omitempty"`
}

// String returns the id in the form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepID identifies a step of one occurrence of a job.
type StepID struct {
	Job              string
	Occurrence, Step int
}

// StepID returns the id of the task's step.
func (t TaskID) StepID() StepID { return StepID{t.Job, t.Occurrence, t.Step} }

// ParseTaskID parses an id in the form that String returns.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task name %q is not JOB.OCCURRENCE.STEP.INDEX", text)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q is not JOB.OCCURRENCE.STEP.INDEX", text)
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
