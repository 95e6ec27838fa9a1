package placement

import (
	"math"
	"time"
)

// Objective is what decides how urgent a job is.
type Objective struct {
	// Accepted is when the job came.
	Accepted time.Time
	// Chain is the estimate of the job's longest chain of work, Remaining
	// that of the part that is not done.
	Chain, Remaining time.Duration
	// Stretch times the chain, and Target more, is the job's objective.
	Stretch float64
	Target  time.Duration
	// Work is the estimate of what is left to do, in core seconds, and
	// MeanWork that of a whole job of the queue.
	Work, MeanWork float64
}

const (
	// estimateSlack is the share by which the longest task of a step
	// outlasts the estimate, since tasks of a step differ.
	estimateSlack = 1.1
	// sizeWeight is how many seconds of slack a job of mean size loses
	// against a very small one: more callers are served when room is short,
	// and large jobs still get their turn when they become urgent.
	sizeWeight = 0.5
)

// minMeanWork keeps the size of a queue's first jobs finite.
const minMeanWork = 0.001

// lateRank is added for jobs that can't end within their objective any
// more, which puts them behind all that can.
const lateRank = 1e9

// Rank orders jobs of one priority; the lowest is served first. It answers a
// queue that wants more than its pool has for some seconds: jobs that can
// still meet their objective go first, the urgent and small ones ahead; those
// that can't use what the others leave, the smallest one ahead.
func (o *Objective) Rank(now time.Time) float64 {
	allowed := time.Duration(o.Stretch*float64(o.Chain)) + o.Target
	needed := time.Duration(estimateSlack * float64(o.Remaining))
	slack := allowed - now.Sub(o.Accepted) - needed
	if slack < 0 {
		return lateRank + o.Work
	}
	return slack.Seconds() + sizeWeight*math.Sqrt(o.Work/max(o.MeanWork, minMeanWork))
}

// LongestChain returns the longest chain of durations among steps; before
// lists for each step the earlier ones that it depends on.
func LongestChain(durations []time.Duration, before [][]int) time.Duration {
	ends := make([]time.Duration, len(durations))
	longest := time.Duration(0)
	for i, duration := range durations {
		for _, b := range before[i] {
			ends[i] = max(ends[i], ends[b])
		}
		ends[i] += duration
		longest = max(longest, ends[i])
	}
	return longest
}
