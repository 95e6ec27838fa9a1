package driver

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
	"arbutusward.example/arbutusward/internal/process/replica/wal"
)

// diskJob is one thing to make durable. Jobs are done in their order.
type diskJob struct {
	state   *core.HardState
	entries []core.Entry
	// snapshot is an encoded snapshot to save; the log then begins after
	// base with entries.
	snapshot []byte
	base     core.Position
	// own says that the snapshot is of this process's own state.
	own bool
	// messages may be sent once this job is synced.
	messages []core.Message
}

// diskResult tells the loop what was synced.
type diskResult struct {
	messages []core.Message
	// compacted is the index up to which an own snapshot replaces the log.
	compacted     uint64
	logBytes      int64
	snapshotBytes int
	err           error
}

// disk owns the files of the replica.
type disk struct {
	dir  string
	log  *wal.Log
	jobs chan []diskJob
	done chan diskResult
}

func newDisk(dir string, log *wal.Log) *disk {
	return &disk{dir: dir, log: log, jobs: make(chan []diskJob), done: make(chan diskResult, 1)}
}

// run serves batches of jobs until jobs is closed. After an error the disk
// is not used again: what a failed sync left on it is unknown.
func (d *disk) run() {
	defer close(d.done)
	for batch := range d.jobs {
		result := d.perform(batch)
		d.done <- result
		if result.err != nil {
			return
		}
	}
}

// perform makes a batch durable, with one sync for all plain jobs in a row.
func (d *disk) perform(batch []diskJob) diskResult {
	var result diskResult
	var frame wal.Frame
	size := 0
	for i := range batch {
		job := &batch[i]
		if job.snapshot != nil || size > maxFrameEntriesBytes {
			result.err = d.sync(&frame)
			size = 0
		}
		if result.err == nil && job.snapshot != nil {
			result.err = d.saveSnapshot(job, &result)
		}
		if result.err != nil {
			return result
		}
		if job.snapshot == nil {
			size += addToFrame(&frame, job)
		}
		result.messages = append(result.messages, job.messages...)
	}
	result.err = d.sync(&frame)
	result.logBytes = d.log.Bytes()
	return result
}

// addToFrame adds a job to a frame and returns the size of its commands.
func addToFrame(frame *wal.Frame, job *diskJob) int {
	if job.state != nil {
		frame.State = job.state
	}
	frame.Entries = append(frame.Entries, job.entries...)
	size := 0
	for i := range job.entries {
		size += len(job.entries[i].Data)
	}
	return size
}

// sync writes and empties the frame.
func (d *disk) sync(frame *wal.Frame) error {
	if frame.State == nil && len(frame.Entries) == 0 {
		return nil
	}
	start := time.Now()
	err := d.log.Append(frame)
	syncSeconds.UpdateDuration(start)
	*frame = wal.Frame{}
	return err
}

// saveSnapshot saves a snapshot and shortens the log. In this order: a crash
// between the two leaves both, and the log's older entries are skipped.
func (d *disk) saveSnapshot(job *diskJob, result *diskResult) error {
	if err := snapshot.Save(d.dir, job.snapshot); err != nil {
		return err
	}
	if err := d.log.Rewrite(job.base, job.entries); err != nil {
		return err
	}
	result.snapshotBytes = len(job.snapshot)
	if job.own {
		result.compacted = job.base.Index
	}
	return nil
}
