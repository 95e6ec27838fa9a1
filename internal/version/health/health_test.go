package health

import (
	"fmt"
	"testing"
	"time"
)

// runs returns samples of a worker whose runs, each of another job, take a multiple of
// their estimates. The estimates are themselves off by up to a half.
func runs(worker string, count int, factor float64) []Sample {
	var list []Sample
	for i := range count {
		off := 0.5 + float64(i%5)*0.25
		estimate := time.Second
		length := time.Duration(float64(estimate) * off * factor)
		list = append(list, Sample{Worker: worker, Job: fmt.Sprint("j", i), Elapsed: 600 * time.Millisecond, Estimate: estimate, Percent: max(1, min(99, int(600*time.Millisecond*100/length)))})
	}
	return list
}

func TestSlowWorkerIsDetected(t *testing.T) {
	var samples []Sample
	for i := range 7 {
		samples = append(samples, runs(fmt.Sprint("w", i), 6, 1)...)
	}
	samples = append(samples, runs("slow", 6, 6.5)...)
	if slow := SlowWorkers(samples); len(slow) != 1 || slow["slow"] < 3 {
		t.Errorf("slow workers %v", slow)
	}
}

func TestInaccurateEstimatesDoNotMakeAWorkerSlow(t *testing.T) {
	var samples []Sample
	for i := range 8 {
		samples = append(samples, runs(fmt.Sprint("w", i), 5, 3)...)
	}
	samples = append(samples, Sample{Worker: "w0", Elapsed: time.Second, Estimate: 100 * time.Millisecond, Percent: 10})
	if slow := SlowWorkers(samples); len(slow) > 0 {
		t.Errorf("slow workers %v", slow)
	}
}

// A step fills a worker with runs that share the error of one estimate. Stopping them would
// waste their work, and the worker would get no new tasks for a while.
func TestOnePoorEstimateDoesNotMakeAWorkerSlow(t *testing.T) {
	var samples []Sample
	for i := range 8 {
		samples = append(samples, runs(fmt.Sprint("w", i), 5, 1)...)
	}
	poor := runs("w0", 6, 6.5)
	for i := range poor {
		poor[i].Job = "poor"
	}
	samples = append(samples[5:], append(poor, runs("w0", 1, 1)...)...)
	if slow := SlowWorkers(samples); len(slow) > 0 {
		t.Errorf("slow workers %v", slow)
	}
}

func TestWorkersWithFewRunsAreNotJudged(t *testing.T) {
	samples := append(runs("w0", 6, 1), runs("w1", 2, 8)...)
	if slow := SlowWorkers(samples); len(slow) > 0 {
		t.Errorf("slow workers %v", slow)
	}
}

func TestRunWithoutProgressIsStalled(t *testing.T) {
	stalled := Sample{Elapsed: 3 * time.Second, Idle: 2 * time.Second, Percent: 40}
	moving := Sample{Elapsed: 3 * time.Second, Idle: 500 * time.Millisecond, Percent: 40}
	if !stalled.Stalled() || moving.Stalled() {
		t.Error("a run is stalled if and only if it made no progress for the stall time")
	}
}

func TestWorkerThatFailsSeveralJobsInARowIsSuspect(t *testing.T) {
	var h RunHistory
	h.AddFailure("a")
	h.AddFailure("a")
	if h.Suspect() {
		t.Error("suspect after one job")
	}
	h.AddFailure("b")
	if !h.Suspect() {
		t.Error("not suspect after two jobs in a row")
	}
	h.AddSuccess()
	if h.Suspect() {
		t.Error("suspect after a success")
	}
}
