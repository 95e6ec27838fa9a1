package core

// TransferLeadership transfers the leadership to the active voter with the
// longest log, as soon as that voter holds the whole log. It reports whether
// there is such a voter.
func (c *Core) TransferLeadership() bool {
	if c.role != Leader {
		return false
	}
	c.transferee = c.bestTransferee()
	c.continueTransfer()
	return c.transferee != ""
}

// continueTransfer sends TimeoutNow to the transferee once it holds the
// whole log and every entry is committed.
func (c *Core) continueTransfer() {
	if c.role != Leader || c.transferee == "" || c.log.commit < c.log.last().Index {
		return
	}
	if p := c.peers[c.transferee]; p != nil && p.match == c.log.last().Index {
		c.send(c.transferee, Message{TimeoutNow: &TimeoutNow{}})
	}
}

// bestTransferee returns the other active voter with the longest log, or ""
// if no other voter is active.
func (c *Core) bestTransferee() string {
	best := ""
	for _, id := range c.voters() {
		if id == c.config.ID || !c.isActive(id) {
			continue
		}
		if best == "" || c.peers[id].match > c.peers[best].match {
			best = id
		}
	}
	return best
}
