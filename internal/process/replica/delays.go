package replica

import "time"

// Delay sums up how long a recurring step took.
type Delay struct {
	Count          int
	Total, Longest time.Duration
}

// Add adds one time.
func (d *Delay) Add(took time.Duration) {
	d.Count++
	d.Total += took
	d.Longest = max(d.Longest, took)
}

// Delays are the times of the steps on which a commit waits.
type Delays struct {
	// Queue is the time from the first proposal of a batch until the leader has
	// appended the batch to its log.
	Queue Delay
	// Sync is the time to write and sync entries to the log of this process.
	Sync Delay
	// Snapshot is the time to save a snapshot and shorten the log. Syncs of the
	// log wait for it.
	Snapshot Delay
	// Followers is the time from the append of a batch until the leader has the
	// acknowledgements that make a majority together with its own.
	Followers Delay
	// Pass is the time in which the loop of the replica handles one event.
	Pass Delay
	// Late is the time by which the loop was late for a tick of its clock, because
	// of a long pass or because the process got no processor time.
	Late Delay
}
