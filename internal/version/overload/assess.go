package overload

import (
	"time"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/durations"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Assess sets what follows from a job's steps: whether it is exempt, its work in a pool
// with the given room, its chain and its objective.
func (j *Job) Assess(spec *workload.Spec, queue *catalog.Queue, model durations.Model, room workload.Resources) {
	j.Exempt = spec.LongRunning() || spec.Repeat > 0
	estimates := make([]time.Duration, len(spec.Steps))
	expected := make([]time.Duration, len(spec.Steps))
	dependsOn := make([][]int, len(spec.Steps))
	j.Work, j.Last = 0, 0
	awaited := make([]bool, len(spec.Steps))
	for i := range spec.Steps {
		step := &spec.Steps[i]
		estimates[i], expected[i], dependsOn[i] = step.Estimate, model.Predict(step.Estimate), step.DependsOn
		for _, earlier := range step.DependsOn {
			awaited[earlier] = true
		}
		j.Work += StepWork(step, step.Count, model, room)
	}
	for i, duration := range expected {
		if !awaited[i] {
			j.Last = max(j.Last, duration)
		}
	}
	j.Chain = placement.LongestChain(expected, dependsOn)
	// The caller's objective follows from the true durations, of which the longer
	// chain is the one in favor of accepting.
	chain := max(j.Chain, placement.LongestChain(estimates, dependsOn))
	j.Objective = placement.LatencyObjective(queue.Stretch, queue.TargetLatency, chain)
}

// StepWork returns the expected work of a number of tasks of a step in dominant core
// seconds.
func StepWork(step *workload.Step, tasks int, model durations.Model, room workload.Resources) float64 {
	return float64(tasks) * DominantCores(step.Charge(), room) * model.Predict(step.Estimate).Seconds()
}
