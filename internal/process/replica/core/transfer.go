package core

// TransferLeadership asks the voter with the longest log to take over once it holds
// the whole log. It says whether there is such a voter.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	c.heir = c.bestHeir()
	c.continueHandOver()
	return c.heir != ""
}

// continueHandOver asks the heir to take over once it holds all, and all is
// committed.
func (c *Core) continueHandOver() {
	if c.role != Leader || c.heir == "" || c.log.commit < c.log.last().Index {
		return
	}
	if p := c.peers[c.heir]; p != nil && p.match == c.log.last().Index {
		c.send(c.heir, Message{TimeoutNow: &TimeoutNow{}})
	}
}

// bestHeir returns the other active voter with the longest log, or "".
func (c *Core) bestHeir() string {
	heir := ""
	for _, id := range c.voters() {
		if id == c.config.ID || !c.isActive(id) {
			continue
		}
		if heir == "" || c.peers[id].match > c.peers[heir].match {
			heir = id
		}
	}
	return heir
}
