// Package loadlog logs what a leader spends its processor time on and how long its
// decisions wait.
package loadlog

import (
	"log/slog"
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/process/replica"
)

// interval is the interval of the log lines about the load of the leader.
const interval = time.Second

// Counters of other packages whose growth the load line reports.
var (
	linkCallsMade    = metrics.GetOrCreateCounter(`arbutus_link_calls_total`)
	linkCallsServed  = metrics.GetOrCreateCounter(`arbutus_link_calls_served_total`)
	messagesSent     = metrics.GetOrCreateCounter(`arbutus_link_messages_total{direction="sent"}`)
	messagesReceived = metrics.GetOrCreateCounter(`arbutus_link_messages_total{direction="received"}`)
	confirmations    = metrics.GetOrCreateCounter(`arbutus_replica_confirmations_total`)
	batches          = metrics.GetOrCreateCounter(`arbutus_replica_batches_total`)
)

// Log collects what the leader spends its processor time on and how long its
// decisions wait, and logs it once per interval. The zero value is ready for use. It
// is not safe for concurrent use.
type Log struct {
	loggedAt time.Time
	last     sample
	// rounds, commits and their times cover the present interval. The time of
	// rounds includes that of passes without one.
	rounds, commits         int
	roundTime, longestRound time.Duration
	// roundProcessor is the processor time of the passes. It is less than their
	// time while others use the processor.
	roundProcessor            time.Duration
	commitTime, longestCommit time.Duration
}

// State is the state of the leader at the time of a log line.
type State struct {
	// Counters are those of its loop.
	Counters Counters
	// StepsWaiting and TasksWaiting are those that wait for capacity, TasksExecuting
	// the recorded runs.
	StepsWaiting, TasksWaiting, TasksExecuting int
	// JobBytes is the memory that the jobs of the state are counted for.
	JobBytes int64
	// EventsQueued is the number of events that wait for the loop.
	EventsQueued int
	// OldestReport is the age of the oldest report that the next plan uses.
	OldestReport time.Duration
	// Delays are those of the replicated log since the line before.
	Delays replica.Delays
}

// Counters are the ever-growing counters of the leader's loop.
type Counters struct {
	// Starts and Ends count runs, Watches the calls that wait for reports.
	Starts, Ends, Watches uint64
}

// sample holds ever-growing counters.
type sample struct {
	processorTime                time.Duration
	starts, ends, watches        uint64
	linkCalls, linkServed, reads uint64
	sent, received, batches      uint64
	collections                  uint64
	handled                      map[link.Kind]uint64
}

// takeSample returns the present counters.
func takeSample(c Counters) sample {
	collections := []runtimemetrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	runtimemetrics.Read(collections)
	return sample{
		processorTime: ProcessorTime(syscall.RUSAGE_SELF),
		starts:        c.Starts, ends: c.Ends, watches: c.Watches,
		linkCalls: linkCallsMade.Get(), linkServed: linkCallsServed.Get(), sent: messagesSent.Get(), received: messagesReceived.Get(),
		reads: confirmations.Get(), batches: batches.Get(),
		collections: collections[0].Value.Uint64(),
		handled:     link.HandledByKind(),
	}
}

// handledSince returns how many link calls and messages of each kind were handled
// since an earlier sample, for kinds with any.
func (c *sample) handledSince(earlier *sample) map[link.Kind]uint64 {
	counts := map[link.Kind]uint64{}
	for kind, total := range c.handled {
		if count := total - earlier.handled[kind]; count > 0 {
			counts[kind] = count
		}
	}
	return counts
}

// ProcessorTime returns the processor time that this process (syscall.RUSAGE_SELF) or
// the caller's thread (syscall.RUSAGE_THREAD) has used, or 0 if the system does not
// tell.
func ProcessorTime(who int) time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(who, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// RecordPass records a pass of the loop, the processor time that it used, and
// whether it was a round.
func (s *Log) RecordPass(took, processor time.Duration, round bool) {
	if round {
		s.rounds++
	}
	s.roundTime += took
	s.roundProcessor += processor
	s.longestRound = max(s.longestRound, took)
}

// RecordCommit records how long a commit took.
func (s *Log) RecordCommit(took time.Duration) {
	s.commits++
	s.commitTime += took
	s.longestCommit = max(s.longestCommit, took)
}

// Due reports whether the interval since the last line has passed.
func (s *Log) Due(now time.Time) bool { return now.Sub(s.loggedAt) >= interval }

// Write logs the load since the last line, if there was one.
func (s *Log) Write(now time.Time, log *slog.Logger, state *State) {
	newest := takeSample(state.Counters)
	delays := &state.Delays
	if !s.loggedAt.IsZero() {
		log.Info("leader load", "interval_ms", now.Sub(s.loggedAt).Milliseconds(),
			"processor_ms", (newest.processorTime - s.last.processorTime).Milliseconds(),
			"rounds", s.rounds, "round_ms", s.roundTime.Milliseconds(), "longest_round_ms", s.longestRound.Milliseconds(),
			"round_processor_ms", s.roundProcessor.Milliseconds(), "steps_waiting", state.StepsWaiting, "tasks_waiting", state.TasksWaiting, "tasks_executing", state.TasksExecuting,
			"commits", s.commits, "commit_ms", s.commitTime.Milliseconds(), "longest_commit_ms", s.longestCommit.Milliseconds(),
			"syncs", delays.Sync.Count, "sync_ms", delays.Sync.Total.Milliseconds(), "longest_sync_ms", delays.Sync.Longest.Milliseconds(),
			"longest_snapshot_ms", delays.Snapshot.Longest.Milliseconds(), "longest_queue_ms", delays.Queue.Longest.Milliseconds(),
			"follower_ack_ms", delays.Followers.Total.Milliseconds(), "longest_follower_ack_ms", delays.Followers.Longest.Milliseconds(),
			"longest_pass_ms", delays.Pass.Longest.Milliseconds(), "late_ms", delays.Late.Total.Milliseconds(), "longest_late_ms", delays.Late.Longest.Milliseconds(),
			"starts", newest.starts-s.last.starts, "ends", newest.ends-s.last.ends, "watches", newest.watches-s.last.watches,
			"link_calls", newest.linkCalls-s.last.linkCalls, "link_served", newest.linkServed-s.last.linkServed,
			"messages_sent", newest.sent-s.last.sent, "messages_received", newest.received-s.last.received, "batches", newest.batches-s.last.batches,
			"confirmations", newest.reads-s.last.reads, "handled", newest.handledSince(&s.last), "collections", newest.collections-s.last.collections,
			"job_bytes", state.JobBytes, "events_queued", state.EventsQueued, "oldest_report_ms", state.OldestReport.Milliseconds())
	}
	*s = Log{loggedAt: now, last: newest}
}
