package core

import (
	"cmp"
	"slices"
)

// pendingRead is a read that waits until a majority has answered its
// heartbeat round.
type pendingRead struct {
	id, index, round uint64
}

// ReadIndex requests a confirmation that this process still leads. The id is
// listed in Ready.Reads once a majority has answered a heartbeat that was
// sent after this call.
func (c *Core) ReadIndex(id uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	c.round++
	// A new leader does not know how far its predecessors committed until it
	// has committed an entry of its own term.
	index := max(c.log.commit, c.termStart)
	c.reads = append(c.reads, pendingRead{id: id, index: index, round: c.round})
	for _, id := range c.confirmers() {
		c.sendHeartbeat(id)
	}
	c.confirmReads()
	return nil
}

// confirmers returns the voters that are asked to confirm the leadership for a
// read: with this process one more than a majority, those that answered last.
// The periodic heartbeat asks the others, so that a read is delayed but not lost
// if several of these do not answer.
func (c *Core) confirmers() []string {
	var others []string
	for _, id := range c.voters() {
		if id != c.config.ID {
			others = append(others, id)
		}
	}
	slices.SortStableFunc(others, func(a, b string) int {
		return cmp.Compare(c.peers[a].inactiveTicks, c.peers[b].inactiveTicks)
	})
	return others[:min(len(others), c.quorum())]
}

// confirmReads moves the reads whose round a majority has answered to the
// next Ready.
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

// confirmedRound returns the newest round that a majority has answered.
func (c *Core) confirmedRound() uint64 {
	return c.reachedByMajority(func(id string) uint64 {
		if id == c.config.ID {
			return c.round
		}
		return c.peers[id].round
	})
}
