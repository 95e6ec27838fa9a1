package explain

import (
	"testing"

	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestEndedJobIsNotSaidToHaveDoneNothing guards against "0 done" for a job that has succeeded or has done a part, of which the state has dropped the progress.
func TestEndedJobIsNotSaidToHaveDoneNothing(t *testing.T) {
	spec := workload.Spec{Steps: []workload.Step{{Count: 3}, {Count: 1}}}
	for _, c := range []struct {
		outcome workstate.Outcome
		started bool
		// done is what is done of each step, nil if the steps are left out.
		done []int
	}{
		{workstate.Succeeded, true, []int{3, 1}},
		{workstate.Cancelled, true, nil},
		{workstate.Failed, true, nil},
		{workstate.Cancelled, false, []int{0, 0}},
		{workstate.Open, false, []int{0, 0}},
	} {
		known := describeJob(&workstate.Job{Outcome: c.outcome, Started: c.started, Spec: spec}, 0)
		if len(known.Steps) != len(c.done) {
			t.Errorf("%+v: steps %+v", c, known.Steps)
			continue
		}
		for i, step := range known.Steps {
			if step.Done != c.done[i] {
				t.Errorf("%+v: step %d has done %d", c, i, step.Done)
			}
		}
	}
}
