package driver

import (
	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
)

// install replaces the state by a received snapshot.
func (l *loop) install(ready *core.Ready) error {
	received := l.received
	l.received = nil
	if ready.Install == nil {
		return nil
	}
	if ready.State != nil {
		// The term in which the snapshot came goes to the disk before it.
		l.jobs = append(l.jobs, diskJob{state: ready.State})
	}
	meta := &received.snapshot.Meta
	l.jobs = append(l.jobs, diskJob{snapshot: received.encoded, base: meta.Last})
	if err := l.options.Machine.Restore(meta.Last.Index, received.snapshot.Data); err != nil {
		return logging.Wrap(err, "restore snapshot", received.message.From)
	}
	l.applied = meta.Last.Index
	l.grown = 0
	return nil
}

// apply applies one committed entry and answers its proposer.
func (l *loop) apply(entry *core.Entry) {
	l.applied = entry.Index
	var result []byte
	if entry.Kind == core.Command {
		result = l.options.Machine.Apply(entry.Index, entry.Data)
	}
	if p := l.waiting[entry.Index]; p != nil && p.term == entry.Term {
		delete(l.waiting, entry.Index)
		l.pendingBytes -= len(p.command)
		p.done <- outcome{result: result}
	}
	if c := l.changing[entry.Index]; c != nil && c.term == entry.Term {
		delete(l.changing, entry.Index)
		c.done <- outcome{}
	}
}

// sendSnapshot sends the newest synced snapshot to a member.
func (l *loop) sendSnapshot(id string) {
	l.transfers++
	transfer := l.transfers
	address := l.address(id)
	envelope := l.core.Envelope(id)
	envelope.FromLink = l.options.Self.Link
	go func() {
		err := l.transferSnapshot(address, envelope, transfer)
		if err != nil {
			l.options.Log.Warn("snapshot was not taken", logging.Err(logging.Wrap(err, "send snapshot", id)))
		}
		select {
		case l.snapshotsSent <- id:
		case <-l.ended.Done():
		}
	}()
}

func (l *loop) transferSnapshot(address string, envelope core.Message, transfer uint64) error {
	encoded, err := snapshot.Read(l.storage.dir)
	if err != nil {
		return err
	}
	return l.transport.sendSnapshot(address, envelope, snapshot.Split(transfer, encoded))
}

// maySnapshot takes a snapshot once the log has grown by twice the size of
// the last one: the cost stays in proportion to the traffic.
func (l *loop) maySnapshot() error {
	limit := max(minLogBytes, 2*l.snapshotBytes)
	if l.grown < limit || l.snapshotting {
		return nil
	}
	encoded, err := l.takeSnapshot()
	if err != nil {
		return logging.Wrap(err, "take snapshot", l.options.Self.ID)
	}
	base, entries := l.core.Tail(l.compactIndex(limit / 2))
	l.jobs = append(l.jobs, diskJob{snapshot: encoded, base: base, entries: entries, own: true})
	l.grown = 0
	l.snapshotting = true
	return nil
}

func (l *loop) takeSnapshot() ([]byte, error) {
	data, err := l.options.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	term, _ := l.core.TermAt(l.applied)
	meta := core.SnapshotMeta{Last: core.Position{Index: l.applied, Term: term}, Members: l.core.MembersAt(l.applied)}
	return snapshot.Encode(&snapshot.Snapshot{Meta: meta, Data: data})
}

// compactIndex returns the index up to which the log can be dropped so that
// members that are a little behind need no snapshot.
func (l *loop) compactIndex(keepBytes int) uint64 {
	index := l.applied
	_, entries := l.core.Tail(l.core.Base().Index)
	kept := 0
	for index > l.core.Base().Index && kept < keepBytes {
		kept += len(entries[index-l.core.Base().Index-1].Data) + 1
		index--
	}
	return index
}
