package driver

import (
	"log/slog"
	"time"

	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
	"arbutusward.example/arbutusward/internal/process/replica/wal"
)

// diskJob is one write to make durable. Jobs are executed in order.
type diskJob struct {
	state   *core.HardState
	entries []core.Entry
	// snapshot is an encoded snapshot to save, if set. The log is then
	// rewritten to start after base with entries.
	snapshot []byte
	base     core.Position
	// localSnapshot is set if the snapshot was taken from this process's own
	// state.
	localSnapshot bool
	// messages may be sent once this job is synced.
	messages []core.Message
}

// diskResult reports to the loop what was synced.
type diskResult struct {
	messages []core.Message
	// compacted is the index up to which a local snapshot replaced the log.
	compacted     uint64
	logBytes      int64
	snapshotBytes int
	// finished is when the disk had finished.
	finished time.Time
	err      error
}

// disk owns the files of the replica.
type disk struct {
	dir    string
	log    *wal.Log
	delays *delays
	slow   slowLine
	jobs   chan []diskJob
	done   chan diskResult
}

func newDisk(dir string, log *wal.Log, delays *delays, lines *slog.Logger) *disk {
	return &disk{dir: dir, log: log, delays: delays, slow: slowLine{log: lines}, jobs: make(chan []diskJob), done: make(chan diskResult, 1)}
}

// run executes batches of jobs until jobs is closed. It ends after an error:
// the content of a file is unknown after a failed sync.
func (d *disk) run() {
	defer close(d.done)
	for batch := range d.jobs {
		result := d.perform(batch)
		result.finished = time.Now()
		d.done <- result
		if result.err != nil {
			return
		}
	}
}

// perform makes a batch durable. Consecutive jobs without a snapshot share
// one sync.
func (d *disk) perform(batch []diskJob) diskResult {
	var result diskResult
	var frame wal.Frame
	for i := range batch {
		job := &batch[i]
		if job.snapshot != nil {
			result.err = d.sync(&frame)
		}
		if result.err == nil && job.snapshot != nil {
			result.err = d.saveSnapshot(job, &result)
		}
		if result.err != nil {
			return result
		}
		if job.snapshot == nil {
			addToFrame(&frame, job)
		}
		result.messages = append(result.messages, job.messages...)
	}
	result.err = d.sync(&frame)
	result.logBytes = d.log.Bytes()
	return result
}

// addToFrame adds a job to a frame.
func addToFrame(frame *wal.Frame, job *diskJob) {
	if job.state != nil {
		frame.State = job.state
	}
	frame.Entries = append(frame.Entries, job.entries...)
}

// sync writes the frame durably and empties it.
func (d *disk) sync(frame *wal.Frame) error {
	if frame.State == nil && len(frame.Entries) == 0 {
		return nil
	}
	start := time.Now()
	err := d.log.Append(frame)
	took := time.Since(start)
	syncSeconds.Update(took.Seconds())
	d.delays.record(&d.delays.taken.Sync, took)
	if took >= slowSync {
		d.slow.warn("log sync slow", "append_ms", took.Milliseconds(), "sync_ms", d.log.SyncTime().Milliseconds(), "entries", len(frame.Entries))
	}
	*frame = wal.Frame{}
	return err
}

// saveSnapshot saves a snapshot and then shortens the log. The order matters:
// after a crash between the two, both exist and the older entries of the log
// are skipped.
func (d *disk) saveSnapshot(job *diskJob, result *diskResult) error {
	start := time.Now()
	defer func() { d.recordSnapshot(time.Since(start), len(job.snapshot)) }()
	if err := snapshot.Save(d.dir, job.snapshot); err != nil {
		return err
	}
	if err := d.log.Rewrite(job.base, job.entries); err != nil {
		return err
	}
	result.snapshotBytes = len(job.snapshot)
	if job.localSnapshot {
		result.compacted = job.base.Index
	}
	return nil
}

func (d *disk) recordSnapshot(took time.Duration, bytes int) {
	snapshotSeconds.Update(took.Seconds())
	d.delays.record(&d.delays.taken.Snapshot, took)
	if took >= slowSync {
		d.slow.warn("snapshot save slow", "save_ms", took.Milliseconds(), "bytes", bytes)
	}
}
