package core

import "slices"

// progress is the state that a leader keeps for each member, itself included.
type progress struct {
	// match is the index of the last entry known to be synced on the member;
	// next is the index of the next entry to send.
	match, next uint64
	// ticksInFlight is the number of ticks, counted from 1, since the
	// unanswered append was sent; 0 if no append is unanswered.
	ticksInFlight int
	// timeoutTicks is the number of ticks after which that append counts as
	// lost; lostAppends counts the appends lost since the last reply.
	timeoutTicks, lostAppends int
	// sendingSnapshot is set while a snapshot is being transferred.
	sendingSnapshot bool
	// inactiveTicks is the number of ticks since the member's last reply, or
	// since this process began to lead if answered is not set.
	inactiveTicks int
	// answered is set once the member has replied to this leader.
	answered bool
	// confirmedAt is the tick at which this leader sent the newest message that the
	// member has answered: its vote or a heartbeat; 0 if there is none.
	confirmedAt uint64
	// round is the newest heartbeat round that the member answered.
	round uint64
	// catchUpIndex is the commit index at the last heartbeat. A learner whose
	// match has reached it has caught up.
	catchUpIndex uint64
}

// appendOwn appends entries of the current term to the leader's log and
// sends them to the members.
func (c *Core) appendOwn(entries ...Entry) {
	next := c.log.last().Index + 1
	for i := range entries {
		entries[i].Index = next + uint64(i)
		entries[i].Term = c.state.Term
	}
	c.log.append(entries...)
	c.updatePeers()
	c.ready.Entries = joinEntries(c.ready.Entries, entries)
	// The leader counts itself towards the majority only once its own disk
	// holds the entries.
	c.sendAfterSync(c.config.ID, Message{AppendReply: &AppendReply{Index: c.log.last().Index}})
	c.sendAppends()
}

// sendAppends sends every member the entries that it does not have yet.
func (c *Core) sendAppends() {
	for _, m := range c.Members() {
		c.sendAppend(m.ID)
	}
}

// sendAppend sends a member the entries that it does not have yet. At most
// one append per member is in flight; entries proposed in the meantime are
// sent with the next one.
func (c *Core) sendAppend(id string) {
	p := c.peers[id]
	if id == c.config.ID || p == nil || p.ticksInFlight > 0 || p.sendingSnapshot {
		return
	}
	last := c.log.last().Index
	if p.next > last && p.match == last {
		return
	}
	previous := min(p.next-1, last)
	term, known := c.log.term(previous)
	if !known {
		p.sendingSnapshot = true
		c.ready.SendSnapshot = append(c.ready.SendSnapshot, id)
		return
	}
	entries := c.log.after(previous, c.config.MaxAppendBytes)
	p.ticksInFlight = 1
	p.timeoutTicks = c.appendTimeout(entries, p.lostAppends)
	c.send(id, Message{Append: &AppendRequest{
		Previous: Position{Index: previous, Term: term},
		Entries:  entries,
		Commit:   c.log.commit,
	}})
}

// maxTimeoutDoublings limits the exponential growth of the append timeout.
const maxTimeoutDoublings = 3

// appendTimeout returns the number of ticks after which an append counts as
// lost. The timeout grows with the size: resending a large append that is
// still in transit would keep it from ever arriving.
func (c *Core) appendTimeout(entries []Entry, lostAppends int) int {
	ticks := 2 * c.config.HeartbeatTicks
	if c.config.BytesPerTick > 0 {
		ticks += EntriesSize(entries) / c.config.BytesPerTick
	}
	return ticks << min(lostAppends, maxTimeoutDoublings)
}

// SnapshotSent must be called when the transfer of a snapshot to a member
// has ended, whether or not it succeeded.
func (c *Core) SnapshotSent(id string) {
	if p := c.peers[id]; p != nil {
		p.sendingSnapshot = false
	}
}

// stepAppendReply updates a member's progress and sends it the next entries.
func (c *Core) stepAppendReply(m *Message) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	p.recordReply()
	p.lostAppends = 0
	reply := m.AppendReply
	if reply.Rejected > 0 {
		if reply.Rejected != p.next-1 || p.sendingSnapshot {
			return
		}
		p.next = max(p.match, min(reply.Hint, reply.Rejected-1)) + 1
		p.ticksInFlight = 0
		c.sendAppend(m.From)
		return
	}
	if reply.Index > p.match {
		p.match = reply.Index
	}
	p.next = max(p.next, p.match+1)
	p.ticksInFlight = 0
	c.advanceCommit()
	c.promoteLearner(m.From)
	c.sendAppend(m.From)
	c.continueTransfer()
}

// FollowersMatch returns the index up to which so many other voters have synced
// the log that they make a majority together with this leader.
func (c *Core) FollowersMatch() uint64 {
	if c.role != Leader {
		return 0
	}
	return c.reachedByMajority(func(id string) uint64 {
		if id == c.config.ID {
			return c.log.last().Index
		}
		return c.peers[id].match
	})
}

// reachedByMajority returns the highest value that a majority of the voters has
// reached, given the value of each.
func (c *Core) reachedByMajority(of func(id string) uint64) uint64 {
	var values []uint64
	for _, id := range c.voters() {
		values = append(values, of(id))
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}

// advanceCommit commits the highest entry of the current term that a
// majority of the voters has synced.
func (c *Core) advanceCommit() {
	if c.role != Leader {
		return
	}
	index := c.reachedByMajority(func(id string) uint64 { return c.peers[id].match })
	if index <= c.log.commit || index < c.termStart {
		return
	}
	c.commitTo(index)
	c.confirmReads()
	c.stepDownIfRemoved()
}
