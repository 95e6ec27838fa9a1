package driver

import (
	"time"

	"arbutusward.example/arbutusward/internal/process/logging"
	"arbutusward.example/arbutusward/internal/process/replica/core"
	"arbutusward.example/arbutusward/internal/process/replica/snapshot"
)

// install replaces the state with a received snapshot.
func (l *loop) install(ready *core.Ready) error {
	received := l.receivedSnapshot
	l.receivedSnapshot = nil
	if ready.Install == nil {
		return nil
	}
	if ready.State != nil {
		// The new term must be written before the snapshot received in it.
		l.jobs = append(l.jobs, diskJob{state: ready.State})
	}
	meta := &received.snapshot.Meta
	l.jobs = append(l.jobs, diskJob{snapshot: received.encoded, base: meta.Last})
	if err := l.options.Machine.Restore(meta.Last.Index, received.snapshot.Data); err != nil {
		return logging.Wrap(err, "restore snapshot", received.message.From)
	}
	l.applied = meta.Last.Index
	l.unapplied = nil
	l.sinceSnapshot = logGrowth{}
	return nil
}

// applyTime is how long a pass of the loop applies entries. A member that has started
// or fallen behind may have thousands to apply, and has to send and answer heartbeats
// meanwhile.
const applyTime = 10 * time.Millisecond

// applyCommitted applies committed entries until applyTime is over, and answers the
// confirmed reads whose entries are applied.
func (l *loop) applyCommitted() {
	start := time.Now()
	for len(l.unapplied) > 0 && time.Since(start) < applyTime {
		l.apply(&l.unapplied[0])
		l.unapplied = l.unapplied[1:]
	}
	for len(l.confirmed) > 0 && l.confirmed[0].Index <= l.applied {
		l.finishReads(l.confirmed[0].ID, nil)
		l.confirmed = l.confirmed[1:]
	}
}

// alwaysReady is a closed channel.
var alwaysReady = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// applyQueue returns a channel that is ready while entries wait to be applied, or nil.
func (l *loop) applyQueue() <-chan struct{} {
	if len(l.unapplied) == 0 {
		return nil
	}
	return alwaysReady
}

// apply applies one committed entry and answers the pending call.
func (l *loop) apply(entry *core.Entry) {
	l.applied = entry.Index
	var result []byte
	if entry.Kind == core.Command {
		result = l.options.Machine.Apply(entry.Index, entry.Data)
	}
	if p := l.pendingProposals[entry.Index]; p != nil && p.term == entry.Term {
		delete(l.pendingProposals, entry.Index)
		l.pendingBytes -= len(p.command)
		p.done <- outcome{result: result}
	}
	if c := l.pendingChanges[entry.Index]; c != nil && c.term == entry.Term {
		delete(l.pendingChanges, entry.Index)
		c.done <- outcome{}
	}
}

// sendSnapshot sends the newest synced snapshot to a member on a separate
// goroutine.
func (l *loop) sendSnapshot(id string) {
	l.lastTransfer++
	transfer := l.lastTransfer
	address := l.address(id)
	envelope := l.core.Envelope(id)
	envelope.FromLink = l.options.Self.Link
	go func() {
		err := l.transferSnapshot(address, envelope, transfer)
		if err != nil {
			l.options.Log.Warn("snapshot transfer failed", logging.Err(logging.Wrap(err, "send snapshot", id)))
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

// logGrowth is the size of entries of the log.
type logGrowth struct {
	// bytes are those of the commands.
	bytes   int
	entries int
}

func (g *logGrowth) add(e *core.Entry) {
	g.bytes += len(e.Data) + 1
	g.entries++
}

// exceeds reports whether the entries have more bytes than a limit, or are so many that they
// take much memory however small they are.
func (g *logGrowth) exceeds(maxBytes, maxEntries int) bool {
	return g.bytes >= maxBytes || g.entries >= maxEntries
}

// snapshotIfDue takes a snapshot once the log has grown by twice the size of
// the last one, so that the cost stays proportional to the traffic.
func (l *loop) snapshotIfDue() error {
	limit := max(minLogBytes, 2*l.snapshotBytes)
	if !l.sinceSnapshot.exceeds(limit, maxLogEntries) || l.snapshotPending || len(l.unapplied) > 0 {
		return nil
	}
	encoded, err := l.encodeSnapshot()
	if err != nil {
		return logging.Wrap(err, "take snapshot", l.options.Self.ID)
	}
	base, entries := l.core.Tail(l.compactIndex(limit / 2))
	l.jobs = append(l.jobs, diskJob{snapshot: encoded, base: base, entries: entries, localSnapshot: true})
	l.sinceSnapshot = logGrowth{}
	l.snapshotPending = true
	return nil
}

// encodeSnapshot returns an encoded snapshot of the state at the last applied
// index.
func (l *loop) encodeSnapshot() ([]byte, error) {
	data, err := l.options.Machine.Snapshot()
	if err != nil {
		return nil, err
	}
	term, _ := l.core.TermAt(l.applied)
	meta := core.SnapshotMeta{Last: core.Position{Index: l.applied, Term: term}, Members: l.core.MembersAt(l.applied)}
	return snapshot.Encode(&snapshot.Snapshot{Meta: meta, Data: data})
}

// compactIndex returns the index up to which the log can be dropped. It keeps
// keepBytes of entries, and half of maxLogEntries at most, so that members that
// are slightly behind need no snapshot.
func (l *loop) compactIndex(keepBytes int) uint64 {
	index := l.applied
	_, entries := l.core.Tail(l.core.Base().Index)
	var kept logGrowth
	for index > l.core.Base().Index && !kept.exceeds(keepBytes, maxLogEntries/2) {
		kept.add(&entries[index-l.core.Base().Index-1])
		index--
	}
	return index
}
