package core

import "slices"

// becomeLeader makes this process the leader of the current term.
func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.config.ID
	c.electionTicks = 0
	c.heartbeatTicks = 0
	c.reads = nil
	c.transferee = ""
	c.peers = map[string]*progress{}
	c.termStart = c.log.last().Index + 1
	c.updatePeers()
	for id, granted := range c.votes {
		if p := c.peers[id]; p != nil && granted {
			p.confirmedAt = c.campaignedAt
		}
	}
	// A leader may commit only entries of its own term by counting replicas.
	// This entry also commits the entries of earlier terms.
	c.appendOwn(Entry{Kind: NoOp})
	c.broadcastHeartbeat()
}

// updatePeers adds and removes progress records according to the membership
// in use.
func (c *Core) updatePeers() {
	kept := map[string]*progress{}
	for _, m := range c.Members() {
		p := c.peers[m.ID]
		if p == nil {
			p = &progress{next: c.log.last().Index + 1, catchUpIndex: c.log.commit + 1}
		}
		kept[m.ID] = p
	}
	c.peers = kept
}

// tickLeader handles a tick on the leader.
func (c *Core) tickLeader() {
	for _, p := range c.peers {
		p.inactiveTicks++
		if p.ticksInFlight > 0 {
			p.ticksInFlight++
		}
		if p.ticksInFlight > p.timeoutTicks {
			// The append or its reply was lost.
			p.ticksInFlight = 0
			p.lostAppends++
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
	c.replaceInactiveVoter()
	c.broadcastHeartbeat()
	c.sendAppends()
}

// checkQuorum steps down if this leader has no contact with a majority of
// the voters, since another leader may have been elected. It reports whether
// this process still leads.
func (c *Core) checkQuorum() bool {
	c.electionTicks = 0
	if c.quorumSilence() < c.config.ElectionTicks {
		return true
	}
	c.becomeFollower(c.state.Term, "")
	return false
}

// quorumSilence returns the ticks since a majority of the voters, with this leader
// if it is one, last answered.
func (c *Core) quorumSilence() int {
	var silences []int
	for _, id := range c.voters() {
		if id == c.config.ID {
			silences = append(silences, 0)
			continue
		}
		silences = append(silences, c.peers[id].inactiveTicks)
	}
	slices.Sort(silences)
	return silences[c.quorum()-1]
}

// isActive reports whether a member answered within the shortest election
// timeout.
func (c *Core) isActive(id string) bool {
	return c.peers[id].inactiveTicks < c.config.ElectionTicks
}

// recordReply records that the member has replied.
func (p *progress) recordReply() {
	p.inactiveTicks = 0
	p.answered = true
}

// Responsive reports whether another member has answered this leader within
// the given number of ticks.
func (c *Core) Responsive(id string, ticks int) bool {
	p := c.peers[id]
	return c.role == Leader && id != c.config.ID && p != nil && p.answered && p.inactiveTicks <= ticks
}

// broadcastHeartbeat sends a heartbeat to all members.
func (c *Core) broadcastHeartbeat() {
	for _, m := range c.Members() {
		c.sendHeartbeat(m.ID)
		c.peers[m.ID].catchUpIndex = c.log.commit
	}
}

// sendHeartbeat sends the commit index and the newest round to a member.
func (c *Core) sendHeartbeat(id string) {
	if id == c.config.ID {
		return
	}
	// The commit index is limited to match: beyond it the member's log may
	// differ from this one.
	commit := min(c.log.commit, c.peers[id].match)
	c.send(id, Message{Heartbeat: &Heartbeat{Commit: commit, Round: c.round, SentAt: c.ticks}})
}

// sentTick returns the tick at which this leader sent the heartbeat that a reply
// answers. Members of the version before don't tell.
func (c *Core) sentTick(reply *HeartbeatReply) uint64 {
	if reply.SentAt == 0 {
		return c.ticks
	}
	return min(reply.SentAt, c.ticks)
}

// stepHeartbeatReply records the heartbeat round that a member has answered.
func (c *Core) stepHeartbeatReply(m *Message) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	if !c.isActive(m.From) {
		// After such a gap, an append sent earlier counts as lost, so that
		// the entries are sent again at once.
		p.ticksInFlight, p.lostAppends = 0, 0
	}
	p.recordReply()
	p.round = max(p.round, m.HeartbeatReply.Round)
	p.confirmedAt = max(p.confirmedAt, c.sentTick(m.HeartbeatReply))
	c.confirmReads()
	c.promoteLearner(m.From)
	c.sendAppend(m.From)
}
