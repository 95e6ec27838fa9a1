package driver

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// updateLeadership detects that this process became the leader or lost the
// leadership. After a loss, the result of the proposals in flight is unknown.
func (l *loop) updateLeadership() {
	term := uint64(0)
	if l.core.Role() == core.Leader {
		term = l.core.Term()
	}
	if term == l.leaderTerm {
		return
	}
	if l.leaderTerm != 0 {
		l.failPendingCalls()
		l.pendingLeaderChanges = append(l.pendingLeaderChanges, false)
	}
	if term != 0 {
		l.pendingLeaderChanges = append(l.pendingLeaderChanges, true)
	}
	l.leaderTerm = term
}

// failPendingCalls answers all pending calls: the result of proposals and
// membership changes is unknown, reads get a not-leader error.
func (l *loop) failPendingCalls() {
	for _, p := range l.pendingProposals {
		p.done <- outcome{err: replica.ErrUnknownResult}
	}
	for _, c := range l.pendingChanges {
		c.done <- outcome{err: replica.ErrUnknownResult}
	}
	for id := range l.pendingReads {
		l.finishReads(id, l.notLeader())
	}
	for _, r := range l.confirms.waiting {
		r.done <- outcome{err: l.notLeader()}
	}
	l.confirms.waiting = nil
	clear(l.pendingProposals)
	clear(l.pendingChanges)
	l.commitTimes.clear()
	l.pendingBytes = 0
}

// updateMembers records changes of the membership in use.
func (l *loop) updateMembers() {
	members := l.core.Members()
	for _, c := range membershipChanges(l.members, members) {
		l.options.Recorder.Record(timeline.Event{Kind: timeline.MemberChanged, Peer: c.id, Cause: c.description})
		l.options.Log.Info("member changed", "member", c.id, "change", c.description)
	}
	l.members = members
}

// publishedStatus is a status and the clock reading of the tick that it shows.
type publishedStatus struct {
	status replica.Status
	at     time.Duration
}

// publish updates the published status and the metrics.
func (l *loop) publish() {
	silence, _ := l.core.LeaderSilence()
	unconfirmed, _ := l.core.Unconfirmed()
	status := replica.Status{
		ID: l.options.Self.ID, Role: l.role(), Term: l.core.Term(), Leader: l.core.Leader(),
		Commit: l.core.Commit(), Applied: l.applied, LogBytes: l.logBytes, Members: l.members, Responsive: l.responsive,
		LeaderSilence: time.Duration(silence) * tickInterval,
		Unconfirmed:   time.Duration(unconfirmed) * tickInterval,
	}
	l.status.Store(&publishedStatus{status: status, at: l.lastTick})
	termGauge.Set(float64(status.Term))
	commitGauge.Set(float64(status.Commit))
	logGauge.Set(float64(status.LogBytes))
	snapshotGauge.Set(float64(l.snapshotBytes))
}

// role returns the role of this process as shown to operators.
func (l *loop) role() string {
	if len(l.members) == 0 {
		return "joining"
	}
	for _, m := range l.members {
		if m.ID == l.options.Self.ID && m.Learner {
			return "learner"
		}
		if m.ID == l.options.Self.ID {
			return l.core.Role().String()
		}
	}
	return "removed"
}
