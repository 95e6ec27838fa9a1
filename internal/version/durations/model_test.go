package durations

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// draw returns a task of a queue whose tasks take about a second, and the caller's
// estimate of it, which is off by a factor with the given spread.
func draw(random *rand.Rand, spread float64) (estimate, duration time.Duration) {
	actual := math.Exp(0.5 * random.NormFloat64())
	seconds := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return seconds(actual * math.Exp(spread*random.NormFloat64())), seconds(actual)
}

// meanError returns the mean error of the logarithm of predictions.
func meanError(random *rand.Rand, spread float64, predict func(time.Duration) time.Duration) float64 {
	const tasks = 2000
	sum := 0.0
	for range tasks {
		estimate, duration := draw(random, spread)
		sum += math.Abs(math.Log(predict(estimate).Seconds() / duration.Seconds()))
	}
	return sum / tasks
}

// A job whose estimate is too low would be ranked as if it could not be in time.
func TestPredictionsAreCloserThanPoorEstimates(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var model Model
	for range 1000 {
		model.Add(draw(random, 0.9))
	}
	estimates := meanError(random, 0.9, func(e time.Duration) time.Duration { return e })
	predictions := meanError(random, 0.9, model.Predict)
	if predictions > 0.65*estimates {
		t.Errorf("mean error %.2f of predictions, %.2f of estimates", predictions, estimates)
	}
}

func TestGoodEstimatesAreKept(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	var model Model
	for range 1000 {
		model.Add(draw(random, 0.05))
	}
	for _, estimate := range []time.Duration{200 * time.Millisecond, time.Second, 7 * time.Second} {
		if got := model.Predict(estimate); math.Abs(math.Log(got.Seconds()/estimate.Seconds())) > 0.1 {
			t.Errorf("%s is predicted for the estimate %s", got, estimate)
		}
	}
}

// One slow run must not make the whole queue look late.
func TestFewRunsDoNotOutweighEstimates(t *testing.T) {
	var model Model
	model.Add(time.Second, 7*time.Second)
	if got := model.Predict(time.Second); got > 1500*time.Millisecond {
		t.Errorf("%s is predicted after one slow run", got)
	}
}

func TestMissingEstimatesAreReplacedByTheMean(t *testing.T) {
	queues := Queues{}
	if got := queues.Predict("q", time.Second); got != time.Second {
		t.Errorf("%s is predicted without runs", got)
	}
	for range 500 {
		queues.Add("q", time.Second, 2*time.Second)
	}
	if got := queues.Predict("q", time.Second); got < 1800*time.Millisecond || got > 2200*time.Millisecond {
		t.Errorf("%s is predicted for tasks that take twice as long as estimated", got)
	}
}

// TestDurationsAreLearnedDespiteEstimates plays runs of which 3% take 7 times as long,
// with estimates that are off by up to 0.9 of the value.
func TestDurationsAreLearnedDespiteEstimates(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	var d Model
	for range 2000 {
		actual := time.Second
		estimate := time.Duration((0.1 + 1.8*r.Float64()) * float64(actual))
		if r.Float64() < 0.03 {
			actual *= 7
		}
		d.Add(estimate, actual)
	}
	for _, estimate := range []time.Duration{100 * time.Millisecond, time.Second, 1900 * time.Millisecond} {
		if got := d.Predict(estimate).Seconds(); got < 0.85 || got > 1.6 {
			t.Errorf("estimate %s: expected %.2f s, the mean is 1.18 s", estimate, got)
		}
	}
}
