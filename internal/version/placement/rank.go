package placement

import (
	"math"
	"time"
)

// Objective holds the figures that determine the urgency of a job.
type Objective struct {
	// Accepted is when the job was accepted.
	Accepted time.Time
	// Chain is the estimated duration of the job's longest chain of dependent
	// steps. Remaining is how long that of the steps that are not done takes, with
	// what each step takes beside its work.
	Chain, Remaining time.Duration
	// Stretch and TargetLatency define the job's latency objective:
	// Stretch*Chain + TargetLatency.
	Stretch       float64
	TargetLatency time.Duration
	// Work is the estimated remaining work in core seconds; MeanWork is the
	// mean work of a whole job of the queue.
	Work, MeanWork float64
}

const (
	// estimateMargin is the ratio of the duration of a step's longest task to
	// the estimate, since the tasks of a step differ.
	estimateMargin = 1.1
	// sizeWeight is the number of seconds of slack by which a job of mean size
	// ranks behind a very small one. Serving small jobs first serves more
	// callers in time when capacity is short; large jobs are still served when
	// they become urgent.
	sizeWeight = 0.5
)

// minMeanWork avoids a division by zero for the first jobs of a queue.
const minMeanWork = 0.001

// missedObjectiveRank is added to the rank of jobs that can no longer meet their
// objective. It ranks them behind all jobs that can.
const missedObjectiveRank = 1e9

// usefulObjectives is the number of objectives up to which the result of a job is still of
// some use to its caller. Callers of the deployments give it no worth after that.
const usefulObjectives = 3

// Useful returns how long after its submission a job with an objective is of use.
func Useful(objective time.Duration) time.Duration { return usefulObjectives * objective }

// LatencyObjective returns the latency that meets the objective of a queue for a job with a
// chain of steps.
func LatencyObjective(stretch float64, target, chain time.Duration) time.Duration {
	return time.Duration(stretch*float64(chain)) + target
}

// Tier is the class of a job by what it is still worth to serve it soon. Lower tiers of a
// priority are served first.
type Tier uint8

const (
	// InTime jobs can still meet their objective.
	InTime Tier = iota
	// Late jobs can't, but can end while they are of some use.
	Late
	// OverRate jobs are of use, and beyond what their account is entitled to.
	OverRate
	// Useless jobs can't end any more while they are of use.
	Useless
)

// TierAt returns the tier of a job. It is the only rule by which tiers are told.
func (o *Objective) TierAt(now time.Time, overRate bool) Tier {
	end, allowed := o.expectedLatency(now), o.allowed()
	switch {
	case allowed > 0 && end > Useful(allowed):
		return Useless
	case overRate:
		return OverRate
	case end > allowed:
		return Late
	}
	return InTime
}

// allowed returns the latency that meets the objective.
func (o *Objective) allowed() time.Duration {
	return LatencyObjective(o.Stretch, o.TargetLatency, o.Chain)
}

// expectedLatency returns the latency of the job if all its open steps start as soon as
// they can.
func (o *Objective) expectedLatency(now time.Time) time.Duration {
	return now.Sub(o.Accepted) + time.Duration(estimateMargin*float64(o.Remaining))
}

// Rank returns the rank of a job among those of its priority and tier; the job with the
// lowest rank is served first. The order matters when a queue needs more than
// its pool has for some seconds. Jobs that can still meet their objective come
// first, ordered by urgency and size. The other jobs share the capacity that
// is left, the smallest one first.
func (o *Objective) Rank(now time.Time) float64 {
	slack := o.allowed() - o.expectedLatency(now)
	if slack < 0 {
		return missedObjectiveRank + o.Work
	}
	return slack.Seconds() + sizeWeight*math.Sqrt(o.Work/max(o.MeanWork, minMeanWork))
}

// LongestChain returns the duration of the longest chain of dependent steps.
// dependsOn lists for each step the earlier steps that it depends on.
func LongestChain(durations []time.Duration, dependsOn [][]int) time.Duration {
	ends := make([]time.Duration, len(durations))
	longest := time.Duration(0)
	for i, duration := range durations {
		for _, earlier := range dependsOn[i] {
			ends[i] = max(ends[i], ends[earlier])
		}
		ends[i] += duration
		longest = max(longest, ends[i])
	}
	return longest
}
