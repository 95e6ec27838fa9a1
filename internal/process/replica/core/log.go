package core

import (
	"fmt"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// membership is a list of members with the index of its log entry.
type membership struct {
	index   uint64
	members []replica.Member
}

// entryLog is the part of the log that is kept in memory.
type entryLog struct {
	// base is the position of the last entry before entries.
	base    Position
	entries []Entry
	commit  uint64
	// memberships holds the newest committed membership, followed by the
	// ones that are not committed.
	memberships []membership
}

func (l *entryLog) last() Position {
	if len(l.entries) == 0 {
		return l.base
	}
	e := &l.entries[len(l.entries)-1]
	return Position{Index: e.Index, Term: e.Term}
}

// term returns the term of the entry at the index and whether it is known.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.base.Index {
		return l.base.Term, true
	}
	if index < l.base.Index || index > l.last().Index {
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// after returns the entries that follow the index, up to maxBytes. The first
// entry is returned whatever its size.
func (l *entryLog) after(index uint64, maxBytes int) []Entry {
	tail := l.entries[index-l.base.Index:]
	bytes := 0
	for i := range tail {
		bytes += tail[i].size()
		if i > 0 && bytes > maxBytes {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// between returns the entries in (from, to].
func (l *entryLog) between(from, to uint64) []Entry {
	return l.entries[from-l.base.Index : to-l.base.Index : to-l.base.Index]
}

// append adds entries that follow the last one.
func (l *entryLog) append(entries ...Entry) {
	for i := range entries {
		if entries[i].Kind == Members {
			l.memberships = append(l.memberships, membership{index: entries[i].Index, members: entries[i].Members})
		}
	}
	l.entries = append(l.entries, entries...)
}

// truncate drops the entry at the index and all entries after it.
func (l *entryLog) truncate(from uint64) {
	if from <= l.commit {
		panic(fmt.Sprintf("replica: truncation at %d below the commit index %d", from, l.commit))
	}
	// The entries are copied, since earlier Readys and messages share the
	// backing array.
	l.entries = append([]Entry{}, l.entries[:from-l.base.Index-1]...)
	for l.currentMembership().index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// currentMembership returns the membership in use: the newest one in the log,
// committed or not.
func (l *entryLog) currentMembership() *membership { return &l.memberships[len(l.memberships)-1] }

// dropOldMemberships drops the memberships that a newer committed one has
// replaced.
func (l *entryLog) dropOldMemberships() {
	for len(l.memberships) > 1 && l.memberships[1].index <= l.commit {
		l.memberships = l.memberships[1:]
	}
}

// compact drops the entries up to the index.
func (l *entryLog) compact(index uint64) {
	term, known := l.term(index)
	if !known || index > l.commit || index <= l.base.Index {
		return
	}
	l.entries = append([]Entry{}, l.entries[index-l.base.Index:]...)
	l.base = Position{Index: index, Term: term}
}

// reset replaces the whole log with the position of a snapshot.
func (l *entryLog) reset(meta *SnapshotMeta) {
	l.base = meta.Last
	l.entries = nil
	l.commit = meta.Last.Index
	l.memberships = []membership{{index: meta.Last.Index, members: meta.Members}}
}
