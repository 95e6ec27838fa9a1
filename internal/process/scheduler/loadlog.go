package scheduler

import (
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/link"
)

// loadLogInterval is the interval of the log lines about the load of the leader.
const loadLogInterval = time.Second

// Counters of other packages whose growth the load line reports.
var (
	linkCallsMade    = metrics.GetOrCreateCounter(`arbutus_link_calls_total`)
	linkCallsServed  = metrics.GetOrCreateCounter(`arbutus_link_calls_served_total`)
	messagesSent     = metrics.GetOrCreateCounter(`arbutus_link_messages_total{direction="sent"}`)
	messagesReceived = metrics.GetOrCreateCounter(`arbutus_link_messages_total{direction="received"}`)
	confirmations    = metrics.GetOrCreateCounter(`arbutus_replica_confirmations_total`)
	batches          = metrics.GetOrCreateCounter(`arbutus_replica_batches_total`)
)

// loadLog collects what the leader spends its processor time on and how long
// its decisions wait, and logs it once per interval.
type loadLog struct {
	loggedAt time.Time
	last     loadCounters
	// rounds, commits and their times cover the present interval. The time of
	// rounds includes that of passes without one.
	rounds, commits         int
	roundTime, longestRound time.Duration
	// roundProcessor is the processor time of the passes. It is less than their
	// time while others use the processor.
	roundProcessor            time.Duration
	commitTime, longestCommit time.Duration
}

// loadCounters is a sample of ever-growing counters.
type loadCounters struct {
	processorTime                time.Duration
	starts, ends, watches        uint64
	linkCalls, linkServed, reads uint64
	sent, received, batches      uint64
	collections                  uint64
	handled                      map[link.Kind]uint64
}

func sampleLoad() loadCounters {
	collections := []runtimemetrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	runtimemetrics.Read(collections)
	return loadCounters{
		processorTime: processorTime(syscall.RUSAGE_SELF),
		starts:        startedRuns.Get(), ends: endedRuns.Get(), watches: watchCalls.Get(),
		linkCalls: linkCallsMade.Get(), linkServed: linkCallsServed.Get(), sent: messagesSent.Get(), received: messagesReceived.Get(),
		reads: confirmations.Get(), batches: batches.Get(),
		collections: collections[0].Value.Uint64(),
		handled:     link.HandledByKind(),
	}
}

// handledSince returns how many link calls and messages of each kind were handled
// since an earlier sample, for kinds with any.
func (c *loadCounters) handledSince(earlier *loadCounters) map[link.Kind]uint64 {
	counts := map[link.Kind]uint64{}
	for kind, total := range c.handled {
		if count := total - earlier.handled[kind]; count > 0 {
			counts[kind] = count
		}
	}
	return counts
}

// processorTime returns the processor time that this process (syscall.RUSAGE_SELF) or
// the caller's thread (syscall.RUSAGE_THREAD) has used, or 0 if the system does not
// tell.
func processorTime(who int) time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(who, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// recordPass records a pass of the loop, the processor time that it used, and
// whether it was a round.
func (s *loadLog) recordPass(took, processor time.Duration, round bool) {
	if round {
		s.rounds++
	}
	s.roundTime += took
	s.roundProcessor += processor
	s.longestRound = max(s.longestRound, took)
}

func (s *loadLog) recordCommit(took time.Duration) {
	s.commits++
	s.commitTime += took
	s.longestCommit = max(s.longestCommit, took)
}

// logLoad logs the load of the leader if the interval has passed.
func (l *loop) logLoad(now time.Time) {
	s := &l.loadLog
	if now.Sub(s.loggedAt) < loadLogInterval {
		return
	}
	sample := sampleLoad()
	delays := l.Replica.TakeDelays()
	if !s.loggedAt.IsZero() {
		l.Log.Info("leader load", "interval_ms", now.Sub(s.loggedAt).Milliseconds(),
			"processor_ms", (sample.processorTime - s.last.processorTime).Milliseconds(),
			"rounds", s.rounds, "round_ms", s.roundTime.Milliseconds(), "longest_round_ms", s.longestRound.Milliseconds(),
			"round_processor_ms", s.roundProcessor.Milliseconds(), "steps_waiting", l.waitingSteps, "tasks_waiting", l.waitingTasks, "tasks_executing", l.runs.len(),
			"commits", s.commits, "commit_ms", s.commitTime.Milliseconds(), "longest_commit_ms", s.longestCommit.Milliseconds(),
			"syncs", delays.Sync.Count, "sync_ms", delays.Sync.Total.Milliseconds(), "longest_sync_ms", delays.Sync.Longest.Milliseconds(),
			"longest_snapshot_ms", delays.Snapshot.Longest.Milliseconds(), "longest_queue_ms", delays.Queue.Longest.Milliseconds(),
			"follower_ack_ms", delays.Followers.Total.Milliseconds(), "longest_follower_ack_ms", delays.Followers.Longest.Milliseconds(),
			"longest_pass_ms", delays.Pass.Longest.Milliseconds(), "late_ms", delays.Late.Total.Milliseconds(), "longest_late_ms", delays.Late.Longest.Milliseconds(),
			"starts", sample.starts-s.last.starts, "ends", sample.ends-s.last.ends, "watches", sample.watches-s.last.watches,
			"link_calls", sample.linkCalls-s.last.linkCalls, "link_served", sample.linkServed-s.last.linkServed,
			"messages_sent", sample.sent-s.last.sent, "messages_received", sample.received-s.last.received, "batches", sample.batches-s.last.batches,
			"confirmations", sample.reads-s.last.reads, "handled", sample.handledSince(&s.last), "collections", sample.collections-s.last.collections,
			"events_queued", len(l.events), "oldest_report_ms", l.oldestReport(now).Milliseconds())
	}
	*s = loadLog{loggedAt: now, last: sample}
}

// oldestReport returns the age of the oldest report among the workers that get
// new tasks, which bounds the age of the state that a plan is made from.
func (l *loop) oldestReport(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for _, w := range l.workerList {
		if w.report != nil && w.schedulable(now) {
			oldest = max(oldest, now.Sub(w.answeredAt))
		}
	}
	return oldest
}
