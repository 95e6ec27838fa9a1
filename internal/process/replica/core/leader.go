package core

import "slices"

// progress is what a leader knows of one member, itself included.
type progress struct {
	// match is the last entry known to be synced there; next is sent next.
	match, next uint64
	// awaiting is the number of ticks since an append was sent that is not
	// answered, counted from 1; 0 if none is.
	awaiting int
	// patience is the number of ticks after which that append counts as
	// lost; losses counts the appends lost since the last reply.
	patience, losses int
	// snapshotting says that a snapshot is on its way.
	snapshotting bool
	// silent is the number of ticks since the member was heard.
	silent int
	// round is the newest heartbeat round that the member answered.
	round uint64
	// goal is the commit index at the last heartbeat; a learner that has
	// reached it has caught up.
	goal uint64
}

// becomeLeader begins the leadership of the current term.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.config.ID
	c.electionTicks = 0
	c.heartbeatTicks = 0
	c.reads = nil
	c.heir = ""
	c.peers = map[string]*progress{}
	c.termStart = c.log.last().Index + 1
	c.syncPeers()
	// A leader may count replicas only for entries of its own term; this
	// one commits what it inherited.
	c.appendOwn(Entry{Kind: NoOp})
	c.broadcastHeartbeat()
}

// syncPeers makes the progress table match the membership in use.
func (c *Core) syncPeers() {
	kept := map[string]*progress{}
	for _, m := range c.Members() {
		p := c.peers[m.ID]
		if p == nil {
			p = &progress{next: c.log.last().Index + 1, goal: c.log.commit + 1}
		}
		kept[m.ID] = p
	}
	c.peers = kept
}

// appendOwn appends entries of the leader and sends them.
func (c *Core) appendOwn(entries ...Entry) {
	next := c.log.last().Index + 1
	for i := range entries {
		entries[i].Index = next + uint64(i)
		entries[i].Term = c.state.Term
	}
	c.log.append(entries...)
	c.syncPeers()
	c.ready.Entries = joinEntries(c.ready.Entries, entries)
	// The leader counts itself only once its own disk holds the entries.
	c.sendAfterSync(c.config.ID, Message{AppendReply: &AppendReply{Index: c.log.last().Index}})
	c.sendAppends()
}

// sendAppends sends every member what it lacks.
func (c *Core) sendAppends() {
	for _, m := range c.Members() {
		c.sendAppend(m.ID)
	}
}

// sendAppend sends what the member lacks. One append is on its way to a
// member at a time; what is proposed meanwhile goes with the next.
func (c *Core) sendAppend(id string) {
	p := c.peers[id]
	if id == c.config.ID || p == nil || p.awaiting > 0 || p.snapshotting {
		return
	}
	last := c.log.last().Index
	if p.next > last && p.match == last {
		return
	}
	previous := min(p.next-1, last)
	term, known := c.log.term(previous)
	if !known {
		p.snapshotting = true
		c.ready.SendSnapshot = append(c.ready.SendSnapshot, id)
		return
	}
	entries := c.log.after(previous, c.config.MaxAppendBytes)
	p.awaiting = 1
	p.patience = c.patience(entries, p.losses)
	c.send(id, Message{Append: &AppendRequest{
		Previous: Position{Index: previous, Term: term},
		Entries:  entries,
		Commit:   c.log.commit,
	}})
}

// maxLossDoublings bounds how far repeats of a lost append are spaced out.
const maxLossDoublings = 3

// patience returns the ticks after which an append counts as lost: repeats of
// a large one that is still on its way would keep it from ever arriving.
func (c *Core) patience(entries []Entry, losses int) int {
	ticks := 2 * c.config.HeartbeatTicks
	if c.config.BytesPerTick > 0 {
		ticks += EntriesSize(entries) / c.config.BytesPerTick
	}
	return ticks << min(losses, maxLossDoublings)
}

// SnapshotSent reports the end of a snapshot's transfer to a member.
func (c *Core) SnapshotSent(id string) {
	if p := c.peers[id]; p != nil {
		p.snapshotting = false
	}
}

// stepAppendReply notes what a member holds and sends it what follows.
func (c *Core) stepAppendReply(m *Message) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	p.silent = 0
	p.losses = 0
	reply := m.AppendReply
	if reply.Rejected > 0 {
		if reply.Rejected != p.next-1 || p.snapshotting {
			return
		}
		p.next = max(p.match, min(reply.Hint, reply.Rejected-1)) + 1
		p.awaiting = 0
		c.sendAppend(m.From)
		return
	}
	if reply.Index > p.match {
		p.match = reply.Index
	}
	p.next = max(p.next, p.match+1)
	p.awaiting = 0
	c.advanceCommit()
	c.promoteLearner(m.From)
	c.sendAppend(m.From)
	c.continueHandOver()
}

// advanceCommit commits the highest entry of the own term that a majority
// of the voters has synced.
func (c *Core) advanceCommit() {
	if c.role != Leader {
		return
	}
	var matches []uint64
	for _, id := range c.voters() {
		matches = append(matches, c.peers[id].match)
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.quorum()]
	if index <= c.log.commit || index < c.termStart {
		return
	}
	c.commitTo(index)
	c.confirmReads()
	c.tellCommit()
	c.leaveIfRemoved()
}

// tellCommit tells idle members the commit index; busy ones learn it from
// the next append.
func (c *Core) tellCommit() {
	for _, m := range c.Members() {
		if p := c.peers[m.ID]; p.awaiting == 0 {
			c.sendHeartbeat(m.ID)
		}
	}
}

// tickLeader passes one unit of time in a leader.
func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.silent++
		if p.awaiting > 0 {
			p.awaiting++
		}
		if p.awaiting > p.patience {
			// The append or its answer was lost.
			p.awaiting = 0
			p.losses++
		}
	}
	if c.electionTicks >= c.config.ElectionTicks && !c.checkQuorum() {
		return
	}
	c.heartbeatTicks++
	if c.heartbeatTicks < c.config.HeartbeatTicks {
		return
	}
	c.heartbeatTicks = 0
	c.replaceSilentVoter()
	c.broadcastHeartbeat()
	c.sendAppends()
}

// checkQuorum ends a leadership without a majority: the leader is cut off,
// and another may have been elected.
func (c *Core) checkQuorum() bool {
	c.electionTicks = 0
	active := 0
	for _, id := range c.voters() {
		if id == c.config.ID || c.isActive(id) {
			active++
		}
	}
	if active >= c.quorum() {
		return true
	}
	c.becomeFollower(c.state.Term, "")
	return false
}

// isActive says that a member was heard within the shortest election timeout.
func (c *Core) isActive(id string) bool {
	return c.peers[id].silent < c.config.ElectionTicks
}

// broadcastHeartbeat sends a heartbeat to all members.
func (c *Core) broadcastHeartbeat() {
	for _, m := range c.Members() {
		c.sendHeartbeat(m.ID)
		c.peers[m.ID].goal = c.log.commit
	}
}

// sendHeartbeat sends the commit index and the newest round to a member.
func (c *Core) sendHeartbeat(id string) {
	if id == c.config.ID {
		return
	}
	// No more than the member is known to hold: what lies beyond match may
	// differ from this log.
	commit := min(c.log.commit, c.peers[id].match)
	c.send(id, Message{Heartbeat: &Heartbeat{Commit: commit, Round: c.round}})
}

// stepHeartbeatReply notes the round that a member has confirmed.
func (c *Core) stepHeartbeatReply(m *Message) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	if !c.isActive(m.From) {
		// What was sent before is lost for sure.
		p.awaiting, p.losses = 0, 0
	}
	p.silent = 0
	p.round = max(p.round, m.HeartbeatReply.Round)
	c.confirmReads()
	c.promoteLearner(m.From)
	c.sendAppend(m.From)
}
