package core

// Step takes one message. ErrDiskReplaced means that this process must
// stop: it stands in for a member whose disk it does not have.
func (c *Core) Step(m Message) error {
	if m.To != c.config.ID {
		return nil
	}
	if m.ToDisk != "" && m.ToDisk != c.config.DiskID {
		return c.refuseDisk()
	}
	if m.Vote != nil && !m.Vote.LeadershipTransfer && c.leaseHolds() {
		// Check-quorum's other half: while a leader is heard, nobody may
		// disturb it, whatever term the candidate has.
		return nil
	}
	if !c.checkTerm(&m) {
		return nil
	}
	c.dispatch(&m)
	return nil
}

// refuseDisk drops a message that is meant for another disk. It is an
// old one if the own log binds this disk; otherwise this disk is empty and
// stands in for one that has voted and acknowledged.
func (c *Core) refuseDisk() error {
	for _, m := range c.Members() {
		if m.ID == c.config.ID && m.Disk == c.config.DiskID {
			return nil
		}
	}
	return ErrDiskReplaced
}

// checkTerm adopts a higher term, answers lower ones and says whether the
// message counts.
func (c *Core) checkTerm(m *Message) bool {
	preVote := m.Vote != nil && m.Vote.Pre || m.VoteReply != nil && m.VoteReply.Pre && m.VoteReply.Granted
	switch {
	case m.Term > c.state.Term && !preVote:
		c.becomeFollower(m.Term, "")
	case m.Term < c.state.Term:
		c.refuseOldTerm(m)
		return false
	}
	return true
}

// refuseOldTerm tells a leader or candidate of an old term about the new one.
func (c *Core) refuseOldTerm(m *Message) {
	if m.Append != nil || m.Heartbeat != nil || m.Snapshot != nil {
		// Not an acknowledgement, but the term in it may be unsynced.
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
		c.heardLeader(m.From)
		c.stepAppend(m)
	case m.Heartbeat != nil:
		c.heardLeader(m.From)
		c.stepHeartbeat(m)
	case m.Snapshot != nil:
		c.heardLeader(m.From)
		c.stepSnapshot(m)
	case m.TimeoutNow != nil:
		c.stepTakeOver(m)
	case c.role == Leader && m.AppendReply != nil:
		c.stepAppendReply(m)
	case c.role == Leader && m.HeartbeatReply != nil:
		c.stepHeartbeatReply(m)
	}
}

// heardLeader follows the one leader of the current term.
func (c *Core) heardLeader(id string) {
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
		// All up to the commit index is the same in every log.
		c.acknowledge(m.From, c.log.commit)
		return
	}
	term, known := c.log.term(request.Previous.Index)
	if !known || term != request.Previous.Term {
		c.reject(m.From, request.Previous.Index)
		return
	}
	c.takeEntries(request.Entries)
	last := request.Previous.Index + uint64(len(request.Entries))
	c.commitTo(min(request.Commit, last))
	c.acknowledge(m.From, last)
}

// takeEntries appends what is new and replaces what differs.
func (c *Core) takeEntries(entries []Entry) {
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

// joinEntries appends next to the entries of one Ready, where next may
// replace some of them.
func joinEntries(entries, next []Entry) []Entry {
	for len(entries) > 0 && entries[len(entries)-1].Index >= next[0].Index {
		entries = entries[:len(entries)-1]
	}
	return append(entries[:len(entries):len(entries)], next...)
}

// acknowledge tells the leader what is held, once it is synced: the leader
// counts it towards the majority, so it must outlive a crash.
func (c *Core) acknowledge(leader string, index uint64) {
	c.sendAfterSync(leader, Message{AppendReply: &AppendReply{Index: index}})
}

// reject names the last index at which the logs may match.
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
	c.send(m.From, Message{HeartbeatReply: &HeartbeatReply{Round: m.Heartbeat.Round}})
}

func (c *Core) stepSnapshot(m *Message) {
	c.takeSnapshot(m.Snapshot)
	c.acknowledge(m.From, c.log.commit)
}

func (c *Core) takeSnapshot(meta *SnapshotMeta) {
	if meta.Last.Index <= c.log.commit {
		return
	}
	if term, known := c.log.term(meta.Last.Index); known && term == meta.Last.Term {
		// The log holds it all. What follows was acknowledged and must stay.
		c.commitTo(meta.Last.Index)
		return
	}
	c.log.reset(meta)
	c.given = meta.Last.Index
	c.ready.Install = meta
	c.ready.Entries = nil
}

// commitTo raises the commit index.
func (c *Core) commitTo(index uint64) {
	if index <= c.log.commit {
		return
	}
	c.log.commit = index
	c.log.forgetMemberships()
}
