package driver

import "arbutusward.example/arbutusward/internal/process/replica/core"

// advance does the work that the core has accumulated.
func (l *loop) advance() error {
	l.recordCommits()
	ready := l.core.Ready()
	if err := l.install(&ready); err != nil {
		return err
	}
	l.store(&ready)
	for _, m := range ready.Messages {
		l.send(m)
	}
	l.unapplied = append(l.unapplied, ready.Committed...)
	l.confirmed = append(l.confirmed, ready.Reads...)
	l.applyCommitted()
	for _, id := range ready.SendSnapshot {
		l.sendSnapshot(id)
	}
	l.updateMembers()
	l.updateLeadership()
	l.logBelief()
	l.publish()
	return l.snapshotIfDue()
}

// store queues the state and entries to be synced and the messages that wait
// for the sync.
func (l *loop) store(ready *core.Ready) {
	for i := range ready.Entries {
		l.sinceSnapshot.add(&ready.Entries[i])
	}
	if ready.State == nil && len(ready.Entries) == 0 && len(ready.AfterSync) == 0 {
		return
	}
	l.jobs = append(l.jobs, diskJob{state: ready.State, entries: ready.Entries, messages: ready.AfterSync})
}

func (l *loop) send(m core.Message) {
	m.FromLink = l.options.Self.Link
	l.transport.send(l.address(m.To), m)
}

// address returns the link address of a member. The membership of a process
// that is behind may not list a new candidate or leader yet; the address that
// the sender reported itself is used until then.
func (l *loop) address(id string) string {
	for _, m := range l.members {
		if m.ID == id {
			return m.Link
		}
	}
	return l.senderAddresses[id]
}
