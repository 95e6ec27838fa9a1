package core

// Step handles one message. If it returns ErrDiskReplaced, this process must
// stop: it runs under the ID of a member but does not have that member's
// disk.
func (c *Core) Step(m Message) error {
	if m.To != c.config.ID {
		return nil
	}
	if m.ToDisk != "" && m.ToDisk != c.config.DiskID {
		return c.rejectDisk()
	}
	if m.Vote != nil && !m.Vote.LeadershipTransfer && c.hasLease() {
		// Check-quorum requires that voters ignore candidates of any term
		// while they are in contact with a leader.
		return nil
	}
	if !c.checkTerm(&m) {
		return nil
	}
	c.dispatch(&m)
	return nil
}

// rejectDisk handles a message that is addressed to another disk under this
// process's ID. If the membership lists this process's disk, the message is
// outdated and is dropped. Otherwise this disk is empty and has replaced one
// whose process may have voted and acknowledged entries.
func (c *Core) rejectDisk() error {
	for _, m := range c.Members() {
		if m.ID == c.config.ID && m.Disk == c.config.DiskID {
			return nil
		}
	}
	return ErrDiskReplaced
}

// checkTerm adopts a higher term, rejects a lower one and reports whether
// the message should be handled.
func (c *Core) checkTerm(m *Message) bool {
	preVote := m.Vote != nil && m.Vote.Pre || m.VoteReply != nil && m.VoteReply.Pre && m.VoteReply.Granted
	switch {
	case m.Term > c.state.Term && !preVote:
		c.becomeFollower(m.Term, "")
	case m.Term < c.state.Term:
		c.rejectOldTerm(m)
		return false
	}
	return true
}

// rejectOldTerm informs a leader or candidate of an old term about the
// current term.
func (c *Core) rejectOldTerm(m *Message) {
	if m.Append != nil || m.Heartbeat != nil || m.Snapshot != nil {
		// This is not an acknowledgement, but the term in it may not be
		// synced yet.
		c.sendAfterSync(m.From, Message{AppendReply: &AppendReply{Rejected: 1}})
	}
	if m.Vote != nil {
		c.sendAfterSync(m.From, Message{VoteReply: &VoteReply{Pre: m.Vote.Pre}})
	}
}

func (c *Core) dispatch(m *Message) {
	switch {
	case m.Vote != nil:
		c.stepVote(m)
	case m.VoteReply != nil:
		c.stepVoteReply(m)
	case m.Append != nil:
		c.followLeader(m.From)
		c.stepAppend(m)
	case m.Heartbeat != nil:
		c.followLeader(m.From)
		c.stepHeartbeat(m)
	case m.Snapshot != nil:
		c.followLeader(m.From)
		c.stepSnapshot(m)
	case m.TimeoutNow != nil:
		c.stepTimeoutNow(m)
	case c.role == Leader && m.AppendReply != nil:
		c.stepAppendReply(m)
	case c.role == Leader && m.HeartbeatReply != nil:
		c.stepHeartbeatReply(m)
	}
}

// followLeader makes this process a follower of the current term's leader and
// restarts the election timeout.
func (c *Core) followLeader(id string) {
	if c.role == Leader {
		panic("replica: two leaders in one term")
	}
	if c.role != Follower || c.leader != id {
		c.becomeFollower(c.state.Term, id)
	}
	c.resetElection()
}

func (c *Core) stepAppend(m *Message) {
	request := m.Append
	if request.Previous.Index < c.log.commit {
		// The logs cannot differ up to the commit index.
		c.acknowledge(m.From, c.log.commit)
		return
	}
	term, known := c.log.term(request.Previous.Index)
	if !known || term != request.Previous.Term {
		c.reject(m.From, request.Previous.Index)
		return
	}
	c.mergeEntries(request.Entries)
	last := request.Previous.Index + uint64(len(request.Entries))
	c.commitTo(min(request.Commit, last))
	c.acknowledge(m.From, last)
}

// mergeEntries appends new entries and replaces entries of the log that
// conflict with them.
func (c *Core) mergeEntries(entries []Entry) {
	for i := range entries {
		term, known := c.log.term(entries[i].Index)
		if known && term == entries[i].Term {
			continue
		}
		if known {
			c.log.truncate(entries[i].Index)
		}
		c.log.append(entries[i:]...)
		c.ready.Entries = joinEntries(c.ready.Entries, entries[i:])
		return
	}
}

// joinEntries appends next to the entries of a Ready. Entries with the same
// or a higher index than the first of next are replaced.
func joinEntries(entries, next []Entry) []Entry {
	for len(entries) > 0 && entries[len(entries)-1].Index >= next[0].Index {
		entries = entries[:len(entries)-1]
	}
	return append(entries[:len(entries):len(entries)], next...)
}

// acknowledge reports to the leader, after the next sync, the last index
// that this process holds. The leader counts it towards the majority, so the
// entries must be durable first.
func (c *Core) acknowledge(leader string, index uint64) {
	c.sendAfterSync(leader, Message{AppendReply: &AppendReply{Index: index}})
}

// reject answers an append whose previous entry does not match, with a hint
// at the highest index at which the logs may match.
func (c *Core) reject(leader string, previous uint64) {
	hint := min(c.log.last().Index, previous-1)
	if term, known := c.log.term(previous); known {
		for hint > c.log.commit {
			if t, ok := c.log.term(hint); !ok || t != term {
				break
			}
			hint--
		}
	}
	c.send(leader, Message{AppendReply: &AppendReply{Rejected: previous, Hint: hint}})
}

func (c *Core) stepHeartbeat(m *Message) {
	c.commitTo(min(m.Heartbeat.Commit, c.log.last().Index))
	c.send(m.From, Message{HeartbeatReply: &HeartbeatReply{Round: m.Heartbeat.Round, SentAt: m.Heartbeat.SentAt}})
}

func (c *Core) stepSnapshot(m *Message) {
	c.installSnapshot(m.Snapshot)
	c.acknowledge(m.From, c.log.commit)
}

func (c *Core) installSnapshot(meta *SnapshotMeta) {
	if meta.Last.Index <= c.log.commit {
		return
	}
	if term, known := c.log.term(meta.Last.Index); known && term == meta.Last.Term {
		// The log already contains everything in the snapshot. The entries
		// after it may have been acknowledged and must be kept.
		c.commitTo(meta.Last.Index)
		return
	}
	c.log.reset(meta)
	c.delivered = meta.Last.Index
	c.ready.Install = meta
	c.ready.Entries = nil
}

// commitTo raises the commit index to the given index if it is lower.
func (c *Core) commitTo(index uint64) {
	if index <= c.log.commit {
		return
	}
	c.log.commit = index
	c.log.dropOldMemberships()
}
