package core

// campaign starts an election or, with pre set, a pre-vote, which asks
// whether an election could be won. With pre-vote a process that was
// partitioned does not raise its term, so that it does not depose the leader
// when it reconnects.
func (c *Core) campaign(pre bool) {
	c.resetElection()
	c.leader = ""
	c.votes = map[string]bool{}
	term := c.state.Term + 1
	if pre {
		c.role = PreCandidate
		c.electionDeadline = c.preVoteTimeout()
	} else {
		c.role = Candidate
		c.state = HardState{Term: term, Vote: c.config.ID}
		c.campaignedAt = c.ticks
	}
	request := VoteRequest{Pre: pre, Last: c.log.last(), LeadershipTransfer: c.transferCampaign && !pre}
	// This process's own vote counts only once it is synced, like any other
	// vote, so it is sent as a message to itself. The vote requests imply
	// that vote and wait for the sync too.
	c.sendAfterSync(c.config.ID, Message{Term: term, VoteReply: &VoteReply{Pre: pre, Granted: true}})
	for _, id := range c.voters() {
		if id != c.config.ID {
			c.sendAfterSync(id, Message{Term: term, Vote: &request})
		}
	}
}

// preVoteTimeout returns the time, in ticks, after which a process that knows no
// leader asks for pre-votes. It is shorter than an election timeout: a pre-vote
// deposes no leader, since the voters in contact with one ignore it.
func (c *Core) preVoteTimeout() int {
	shortest := max(c.config.ElectionTicks/4, 1)
	return shortest + c.config.Random.IntN(max(c.config.ElectionTicks/2, 1))
}

// hasLease reports whether this process leads or was contacted by a leader
// within the shortest election timeout.
func (c *Core) hasLease() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.electionTicks < c.config.ElectionTicks
}

func (c *Core) stepVote(m *Message) {
	request := m.Vote
	granted := c.isUpToDate(request.Last)
	if request.Pre {
		c.replyPreVote(m, granted && m.Term > c.state.Term)
		return
	}
	granted = granted && (c.state.Vote == "" || c.state.Vote == m.From)
	if granted {
		c.state.Vote = m.From
		c.resetElection()
	}
	// The vote must be durable: a process that voted twice in one term after
	// a crash could make two leaders.
	c.sendAfterSync(m.From, Message{VoteReply: &VoteReply{Granted: granted}})
}

// replyPreVote answers a pre-vote with the requested term if it is granted,
// and with this process's term otherwise.
func (c *Core) replyPreVote(m *Message, granted bool) {
	term := c.state.Term
	if granted {
		term = m.Term
	}
	c.send(m.From, Message{Term: term, VoteReply: &VoteReply{Pre: true, Granted: granted}})
}

// isUpToDate reports whether a log that ends at the position contains every
// entry that this process has acknowledged.
func (c *Core) isUpToDate(last Position) bool {
	own := c.log.last()
	if last.Term != own.Term {
		return last.Term > own.Term
	}
	return last.Index >= own.Index
}

func (c *Core) stepVoteReply(m *Message) {
	expected := Candidate
	term := c.state.Term
	if m.VoteReply.Pre {
		expected = PreCandidate
		term++
	}
	if c.role != expected || !m.VoteReply.Granted || m.Term != term {
		return
	}
	c.votes[m.From] = true
	if c.countVotes() < c.quorum() {
		return
	}
	if m.VoteReply.Pre {
		c.campaign(false)
		return
	}
	c.becomeLeader()
}

func (c *Core) countVotes() int {
	count := 0
	for _, id := range c.voters() {
		if c.votes[id] {
			count++
		}
	}
	return count
}

// stepTimeoutNow starts an election at once, at the request of the leader.
func (c *Core) stepTimeoutNow(m *Message) {
	if c.role == Leader || m.From != c.leader || !c.isVoter(c.config.ID) {
		return
	}
	c.transferCampaign = true
	c.campaign(false)
	c.transferCampaign = false
}
