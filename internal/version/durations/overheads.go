package durations

import "time"

const (
	// overheadWeight is the weight of the newest run in the overhead of a queue's
	// steps, which is an exponential moving average.
	overheadWeight = 0.02
	// maxOverhead bounds what one run counts for: a slow worker is not the rule.
	maxOverhead = 2 * time.Second
)

// Overheads holds, by queue, how much longer a task takes from the plan of its
// start to the commit of its end than it executes on its worker.
type Overheads map[string]time.Duration

// Add takes one run into account.
func (o Overheads) Add(queue string, overhead time.Duration) {
	overhead = min(max(overhead, 0), maxOverhead)
	o[queue] += time.Duration(overheadWeight * float64(overhead-o[queue]))
}
