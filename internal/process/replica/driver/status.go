package driver

import (
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/timeline"
)

// noteLeadership notices the begin and the end of a leadership. The end
// leaves open what becomes of the proposals in flight.
func (l *loop) noteLeadership() {
	term := uint64(0)
	if l.core.Role() == core.Leader {
		term = l.core.Term()
	}
	if term == l.leadTerm {
		return
	}
	if l.leadTerm != 0 {
		l.failAll()
		l.announce = append(l.announce, false)
	}
	if term != 0 {
		l.announce = append(l.announce, true)
	}
	l.leadTerm = term
}

// failAll ends all calls that wait.
func (l *loop) failAll() {
	for _, p := range l.waiting {
		p.done <- outcome{err: replica.ErrUnknownResult}
	}
	for _, c := range l.changing {
		c.done <- outcome{err: replica.ErrUnknownResult}
	}
	for id := range l.reading {
		l.endReads(id, l.notLeader())
	}
	clear(l.waiting)
	clear(l.changing)
	l.pendingBytes = 0
}

// noteMembers records a change of the membership in use.
func (l *loop) noteMembers() {
	members := l.core.Members()
	for _, text := range membershipChanges(l.members, members) {
		l.options.Recorder.Record(timeline.Event{Kind: timeline.MemberChanged, Peer: text.id, Cause: text.what})
		l.options.Log.Info("member changed", "member", text.id, "change", text.what)
	}
	l.members = members
}

// publish makes the status and the metrics visible.
func (l *loop) publish() {
	status := replica.Status{
		ID: l.options.Self.ID, Role: l.role(), Term: l.core.Term(), Leader: l.core.Leader(),
		Commit: l.core.Commit(), Applied: l.applied, LogBytes: l.logBytes, Members: l.members,
	}
	l.status.Store(&status)
	termGauge.Set(float64(status.Term))
	commitGauge.Set(float64(status.Commit))
	logGauge.Set(float64(status.LogBytes))
	snapshotGauge.Set(float64(l.snapshotBytes))
}

// role names what this process is to an operator.
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
