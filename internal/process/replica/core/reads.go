package core

import "slices"

// pendingRead is a read that waits for a majority to answer its round.
type pendingRead struct {
	id, index, round uint64
}

// ReadIndex asks for the confirmation that this process still leads; Ready.Reads
// names the id once a majority has answered a heartbeat sent after now.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.round++
	// A new leader knows the commit index of its predecessors only once it
	// has committed an entry of its own.
	index := max(c.log.commit, c.termStart)
	c.reads = append(c.reads, pendingRead{id: id, index: index, round: c.round})
	c.broadcastHeartbeat()
	c.confirmReads()
	return nil
}

// confirmReads releases the reads whose round a majority has answered.
func (c *Core) confirmReads() {
	if c.log.commit < c.termStart {
		return
	}
	confirmed := c.confirmedRound()
	for len(c.reads) > 0 && c.reads[0].round <= confirmed {
		c.ready.Reads = append(c.ready.Reads, ConfirmedRead{ID: c.reads[0].id, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

// confirmedRound is the newest round that a majority has answered.
func (c *Core) confirmedRound() uint64 {
	var rounds []uint64
	for _, id := range c.voters() {
		if id == c.config.ID {
			rounds = append(rounds, c.round)
			continue
		}
		rounds = append(rounds, c.peers[id].round)
	}
	slices.Sort(rounds)
	return rounds[len(rounds)-c.quorum()]
}
