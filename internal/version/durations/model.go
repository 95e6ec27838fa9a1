package durations

import (
	"math"
	"time"
)

const (
	// decay is the factor by which the weight of a run shrinks with each later run of
	// its queue.
	decay = 0.999
	// priorRuns is the number of runs with accurate estimates that a new model counts
	// as observed, so that a few runs do not outweigh the callers' estimates.
	priorRuns = 24
	// priorVariance is the variance of the logarithm of the estimates of those runs.
	priorVariance = 0.25
	// maxFactor bounds the ratio of a prediction to the estimate, and its reciprocal.
	maxFactor = 16
	// shortest is the duration that stands for an estimate or a run of no length.
	shortest = time.Millisecond
)

// Model predicts the durations of the tasks of one queue. It is a linear regression
// of the logarithm of the duration on the logarithm of the estimate: an estimate that
// says little about the duration pulls the prediction towards the mean of the queue.
// The zero value predicts what callers estimate.
type Model struct {
	// The following fields are weighted sums over the observed runs, where x is the
	// logarithm of the estimate and y that of the duration.
	runs, x, y, xx, xy, yy float64
}

// Add takes a run that has ended into account.
func (m *Model) Add(estimate, duration time.Duration) {
	x, y := logarithm(estimate), logarithm(duration)
	m.runs = decay*m.runs + 1
	m.x = decay*m.x + x
	m.y = decay*m.y + y
	m.xx = decay*m.xx + x*x
	m.xy = decay*m.xy + x*y
	m.yy = decay*m.yy + y*y
}

// Predict returns the mean duration of tasks with an estimate.
func (m Model) Predict(estimate time.Duration) time.Duration {
	if m.runs == 0 {
		return estimate
	}
	meanX, meanY := m.x/m.runs, m.y/m.runs
	slope := (m.xy - m.runs*meanX*meanY + priorRuns*priorVariance) / (m.xx - m.runs*meanX*meanX + priorRuns*priorVariance)
	x := logarithm(estimate)
	// The prior runs have the mean estimate of the queue and took as long as estimated.
	bias := m.runs / (m.runs + priorRuns) * (meanY - meanX)
	predicted := meanX + bias + slope*(x-meanX) + m.residualVariance(slope)/2
	return fromLogarithm(min(max(predicted, x-math.Log(maxFactor)), x+math.Log(maxFactor)))
}

// residualVariance returns the variance of the logarithm of the durations around the
// regression. Half of it leads from the logarithm's mean to the mean of the durations.
func (m Model) residualVariance(slope float64) float64 {
	meanX, meanY := m.x/m.runs, m.y/m.runs
	xx, xy, yy := m.xx-m.runs*meanX*meanX, m.xy-m.runs*meanX*meanY, m.yy-m.runs*meanY*meanY
	return max(0, (yy-2*slope*xy+slope*slope*xx)/(m.runs+priorRuns))
}

func logarithm(d time.Duration) float64 { return math.Log(max(d, shortest).Seconds()) }

func fromLogarithm(x float64) time.Duration { return time.Duration(math.Exp(x) * float64(time.Second)) }

// Queues holds the model of each queue by the queue's key.
type Queues map[string]*Model

// Add takes a run that has ended into account.
func (q Queues) Add(queue string, estimate, duration time.Duration) {
	model := q[queue]
	if model == nil {
		model = &Model{}
		q[queue] = model
	}
	model.Add(estimate, duration)
}

// Predict returns the mean duration of tasks with an estimate, which is the estimate
// itself for a queue of which no run has ended.
func (q Queues) Predict(queue string, estimate time.Duration) time.Duration {
	if model := q[queue]; model != nil {
		return model.Predict(estimate)
	}
	return estimate
}

// Copy returns the models as they are now, by the queue's key.
func (q Queues) Copy() map[string]Model {
	models := make(map[string]Model, len(q))
	for queue, model := range q {
		models[queue] = *model
	}
	return models
}
