package core

// campaign starts an election, or asks first whether one could be won.
// Pre-vote: a process that was cut off does not raise its term, so that its
// return does not depose a leader.
func (c *Core) campaign(pre bool) {
	c.resetElection()
	c.leader = ""
	c.votes = map[string]bool{}
	term := c.state.Term + 1
	if pre {
		c.role = PreCandidate
	} else {
		c.role = Candidate
		c.state = HardState{Term: term, Vote: c.config.ID}
	}
	request := VoteRequest{Pre: pre, Last: c.log.last(), LeadershipTransfer: c.handingOver && !pre}
	// The own vote counts once it is synced, like any other: it comes back
	// as a message. Requests that promise the own vote wait for it too.
	c.sendAfterSync(c.config.ID, Message{Term: term, VoteReply: &VoteReply{Pre: pre, Granted: true}})
	for _, id := range c.voters() {
		if id != c.config.ID {
			c.sendAfterSync(id, Message{Term: term, Vote: &request})
		}
	}
}

// leaseHolds says that a leader was heard within the shortest election
// timeout, or that this process leads.
func (c *Core) leaseHolds() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.electionTicks < c.config.ElectionTicks
}

func (c *Core) stepVote(m *Message) {
	request := m.Vote
	granted := c.upToDate(request.Last)
	if request.Pre {
		c.replyPreVote(m, granted && m.Term > c.state.Term)
		return
	}
	granted = granted && (c.state.Vote == "" || c.state.Vote == m.From)
	if granted {
		c.state.Vote = m.From
		c.resetElection()
	}
	// The vote must outlive a crash: a second vote in one term could make
	// two leaders.
	c.sendAfterSync(m.From, Message{VoteReply: &VoteReply{Granted: granted}})
}

// replyPreVote answers with the asked term if granted, else with the own.
func (c *Core) replyPreVote(m *Message, granted bool) {
	term := c.state.Term
	if granted {
		term = m.Term
	}
	c.send(m.From, Message{Term: term, VoteReply: &VoteReply{Pre: true, Granted: granted}})
}

// upToDate says that a log which ends at the position holds all that this
// process has acknowledged.
func (c *Core) upToDate(last Position) bool {
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

// stepTakeOver stands for election at once: the leader asks for it.
func (c *Core) stepTakeOver(m *Message) {
	if c.role == Leader || m.From != c.leader || !c.isVoter(c.config.ID) {
		return
	}
	c.handingOver = true
	c.campaign(false)
	c.handingOver = false
}
