package control

import (
	"fmt"

	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/plan/wave"
)

// stepEvents maps the new state of a VM in a wave to its event.
var stepEvents = map[plan.StepState]timeline.Kind{
	plan.Pending:   timeline.VMBack,
	plan.Draining:  timeline.VMDraining,
	plan.Rebooting: timeline.VMRebooting,
	plan.Settling:  timeline.VMSettling,
	plan.Done:      timeline.VMBack,
	plan.Lost:      timeline.VMLost,
}

func (e *executor) recordStep(step plan.WaveStep) {
	kind, known := stepEvents[step.To]
	if !known {
		return
	}
	if step.To == plan.Rebooting {
		e.server.recorder.Record(timeline.Event{Kind: timeline.VMDrained, VM: step.VM, Wave: step.Run, Cause: step.Cause})
	}
	cause := fmt.Sprintf("%s: %s", step.To, step.Cause)
	e.server.recorder.Record(timeline.Event{Kind: kind, VM: step.VM, Wave: step.Run, Cause: cause})
}

// moveEvents maps the steps of a move to their events.
var moveEvents = map[plan.MoveKind]timeline.Kind{
	plan.StartMove:  timeline.MoveStarted,
	plan.CommitMove: timeline.MoveCommitted,
	plan.CancelMove: timeline.VMBack,
	plan.RetireVM:   timeline.MoveCommitted,
}

func (e *executor) recordMove(step plan.MoveStep) {
	cause := fmt.Sprintf("%s: %s", step.Kind, step.Cause)
	e.server.recorder.Record(timeline.Event{Kind: moveEvents[step.Kind], VM: step.VM, Pool: step.Pool, Cause: cause})
}

func (e *executor) recordLosses(losses wave.Losses) {
	cause := fmt.Sprintf("%d VMs of its pools are lost without a plan", losses.Count)
	e.server.recorder.Record(timeline.Event{Kind: timeline.WaveHalted, Wave: losses.Run, Cause: cause})
}
