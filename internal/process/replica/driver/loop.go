package driver

import (
	"errors"
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
)

// loop is the state of the goroutine that owns the core.
type loop struct {
	*Driver
	core *core.Core
	disk *disk

	applied uint64
	// unapplied holds the committed entries that are not applied yet, confirmed the
	// confirmed reads that wait for entries.
	unapplied []core.Entry
	confirmed []core.ConfirmedRead
	// pendingProposals holds the proposals that are not applied yet, by log
	// index.
	pendingProposals map[uint64]*proposal
	pendingBytes     int
	// proposedAt is when the last batch of proposals was appended. proposeDue
	// wakes the loop when the next one may follow.
	proposedAt     time.Time
	proposeDue     *time.Timer
	pendingChanges map[uint64]*change
	pendingReads   map[uint64][]*read
	lastReadID     uint64
	confirms       confirmations
	commitTimes    commitTimes
	lateness       lateness

	// jobs are waiting for the disk.
	jobs []diskJob
	// receivedSnapshot is the snapshot message that the core is handling.
	receivedSnapshot *inboundMessage

	// logged is what was last logged about the leadership.
	logged belief
	// leaderTerm is the term in which this process leads, or 0.
	leaderTerm uint64
	// pendingLeaderChanges are the changes that LeaderChanges has not
	// delivered yet.
	pendingLeaderChanges []bool
	members              []replica.Member
	// responsive holds the link addresses of the members that answer this
	// leader.
	responsive []string
	// senderAddresses holds the last link address that each sender reported.
	senderAddresses map[string]string

	// lastTick is the reading of the clock up to which the core was advanced.
	lastTick time.Duration
	// sinceSnapshot is the growth of the log since the last snapshot.
	sinceSnapshot   logGrowth
	snapshotPending bool
	snapshotBytes   int
	logBytes        int64
	lastTransfer    uint64
	// transferDeadline ends the leadership transfer while the replica is
	// stopping.
	transferDeadline time.Time
}

func (d *Driver) newLoop() *loop {
	l := &loop{
		Driver: d, core: d.newCore(), disk: newDisk(d.storage.dir, d.storage.log, d.delays, d.options.Log),
		pendingProposals: map[uint64]*proposal{}, pendingChanges: map[uint64]*change{}, pendingReads: map[uint64][]*read{}, senderAddresses: map[string]string{},
		confirms: newConfirmations(), proposeDue: newStoppedTimer(),
		lastTick: d.options.Clock(), logBytes: d.storage.log.Bytes(),
	}
	if d.storage.snapshot != nil {
		l.applied = d.storage.snapshot.Meta.Last.Index
		l.snapshotBytes = len(d.storage.snapshot.Data)
	}
	for i := range d.storage.contents.Entries {
		if e := &d.storage.contents.Entries[i]; e.Index > l.applied {
			l.sinceSnapshot.add(e)
		}
	}
	l.members = l.core.Members()
	l.commitTimes = commitTimes{delays: d.delays, slow: slowLine{log: d.options.Log}}
	l.lateness = lateness{delays: d.delays, slow: slowLine{log: d.options.Log}, tickedAt: time.Now()}
	return l
}

// run handles events until the replica stops.
func (l *loop) run() error {
	go l.disk.run()
	err := l.serve()
	l.failPendingCalls()
	close(l.disk.jobs)
	for result := range l.disk.done {
		err = errors.Join(err, result.err)
	}
	return err
}

func (l *loop) serve() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !l.finished() {
		if err := l.serveEvent(ticker.C); err != nil {
			return err
		}
		start := time.Now()
		if err := l.advance(); err != nil {
			return err
		}
		l.lateness.recordPass(time.Since(start))
	}
	return nil
}

// serveEvent waits for one event and handles it.
func (l *loop) serveEvent(ticks <-chan time.Time) error {
	select {
	case <-ticks:
		l.tick()
	case m := <-l.receiver.inbox:
		return l.step(m)
	case p := <-l.proposalQueue():
		l.propose(p)
	case r := <-l.Driver.reads:
		l.read(r)
	case <-l.confirms.due.C:
		l.confirm()
	case <-l.proposeDue.C:
		// The loop takes proposals again.
	case <-l.applyQueue():
		// The loop goes on applying entries.
	case c := <-l.Driver.changes:
		l.change(c)
	case id := <-l.snapshotsSent:
		l.core.SnapshotSent(id)
	case l.diskQueue() <- l.jobs:
		l.jobs = nil
	case result := <-l.disk.done:
		return l.synced(result)
	case l.leaderChangeQueue() <- l.nextLeaderChange():
		l.pendingLeaderChanges = l.pendingLeaderChanges[1:]
	case <-l.stopSignal():
		l.beginStop()
	}
	return nil
}

// diskQueue returns the queue of the disk, or nil if no job is waiting. A nil
// channel is never selected.
func (l *loop) diskQueue() chan<- []diskJob {
	if len(l.jobs) == 0 {
		return nil
	}
	return l.disk.jobs
}

// leaderChangeQueue returns the channel of LeaderChanges, or nil if no change
// is waiting.
func (l *loop) leaderChangeQueue() chan<- bool {
	if len(l.pendingLeaderChanges) == 0 {
		return nil
	}
	return l.leaderChanges
}

func (l *loop) nextLeaderChange() bool {
	return len(l.pendingLeaderChanges) > 0 && l.pendingLeaderChanges[0]
}

// tick advances the core by the time since the last tick. After a suspension
// of the process or of the machine it catches up at once, so that the core
// notices elapsed timeouts.
func (l *loop) tick() {
	elapsed := int((l.options.Clock() - l.lastTick) / tickInterval)
	l.lastTick += time.Duration(elapsed) * tickInterval
	for range min(elapsed, 3*electionTicks) {
		l.core.Tick()
	}
	l.updateResponsive()
	l.lateness.recordTick(time.Now())
}

// updateResponsive finds the members that answer this leader.
func (l *loop) updateResponsive() {
	// Published statuses share the former slice.
	l.responsive = nil
	for _, m := range l.members {
		if l.core.Responsive(m.ID, responsiveTicks) {
			l.responsive = append(l.responsive, m.Link)
		}
	}
}

// step passes a received message to the core.
func (l *loop) step(m inboundMessage) error {
	l.senderAddresses[m.message.From] = m.message.FromLink
	if m.snapshot != nil {
		l.receivedSnapshot = &m
	}
	err := l.core.Step(m.message)
	if l.core.Role() == core.Leader && len(l.responsive) < len(l.members)-1 {
		// The reply of a member makes it responsive at once, so that a new
		// leader need not wait for the next tick.
		l.updateResponsive()
	}
	return logging.Wrap(err, "step", m.message.From)
}

// synced sends the messages that waited for the sync, and passes those
// addressed to this process to the core.
func (l *loop) synced(result diskResult) error {
	if result.err != nil {
		return result.err
	}
	l.logBytes = result.logBytes
	if result.snapshotBytes > 0 {
		l.snapshotBytes = result.snapshotBytes
	}
	if result.compacted > 0 {
		l.core.Compact(result.compacted)
		l.snapshotPending = false
	}
	for _, m := range result.messages {
		if m.To == l.options.Self.ID && m.AppendReply != nil {
			l.commitTimes.synced(m.AppendReply.Index, result.finished)
		}
		if m.To != l.options.Self.ID {
			l.send(m)
			continue
		}
		if err := l.core.Step(m); err != nil {
			return logging.Wrap(err, "step", m.From)
		}
	}
	return nil
}
