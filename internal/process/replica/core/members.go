package core

import (
	"slices"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// stepDownIfRemoved gives up the leadership once the removal of this process
// is committed.
func (c *Core) stepDownIfRemoved() {
	if c.isVoter(c.config.ID) || c.log.currentMembership().index > c.log.commit {
		return
	}
	if transferee := c.bestTransferee(); transferee != "" {
		c.send(transferee, Message{TimeoutNow: &TimeoutNow{}})
	}
	c.becomeFollower(c.state.Term, "")
}

// AddLearner proposes a membership with a new learner and returns the index
// of the log entry.
func (c *Core) AddLearner(member replica.Member) (uint64, error) {
	for _, m := range c.Members() {
		if m.ID == member.ID || m.Link == member.Link {
			return 0, ErrMemberExists
		}
	}
	member.Learner = true
	return c.changeMembers(append(slices.Clone(c.Members()), member))
}

// RemoveMember proposes a membership without the member and returns the
// index of the log entry.
func (c *Core) RemoveMember(id string) (uint64, error) {
	members := slices.DeleteFunc(slices.Clone(c.Members()), func(m replica.Member) bool { return m.ID == id })
	if len(members) == len(c.Members()) {
		return 0, ErrNoSuchMember
	}
	if !slices.ContainsFunc(members, func(m replica.Member) bool { return !m.Learner }) {
		return 0, ErrLastVoter
	}
	return c.changeMembers(members)
}

// changeMembers appends a membership entry. Only one change may be pending:
// the majorities of two consecutive memberships always share a voter, those
// of memberships further apart may not.
func (c *Core) changeMembers(members []replica.Member) (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if c.log.currentMembership().index > c.log.commit || c.log.commit < c.termStart {
		return 0, ErrChangePending
	}
	// The new membership is in use as soon as it is in the log; the entry
	// itself is committed by a majority of the new membership.
	c.appendOwn(Entry{Kind: Members, Members: members})
	return c.log.last().Index, nil
}

// promoteLearner proposes to make the member a voter if it is a learner that
// has caught up.
func (c *Core) promoteLearner(id string) {
	if c.role != Leader {
		return
	}
	p := c.peers[id]
	at := slices.IndexFunc(c.Members(), func(m replica.Member) bool { return m.ID == id && m.Learner })
	if at < 0 || !p.caughtUp() || !c.shouldPromote() {
		return
	}
	members := slices.Clone(c.Members())
	members[at].Learner = false
	// If another change is pending, the member's next reply retries this.
	_, _ = c.changeMembers(members)
}

// caughtUp reports whether a member holds every entry that was committed at
// the last heartbeat.
func (p *progress) caughtUp() bool { return p != nil && p.match > 0 && p.match >= p.catchUpIndex }

// shouldPromote reports whether a learner should become a voter now. With
// OddVoters and an odd number of voters, a learner stays on standby until a
// second learner is ready or a voter is removed: an even number of voters
// tolerates no more failures than one voter less, and a partition of it into
// two equal halves leaves neither half with a majority.
func (c *Core) shouldPromote() bool {
	if !c.config.OddVoters || len(c.voters())%2 == 0 {
		return true
	}
	ready := 0
	for _, m := range c.Members() {
		if m.Learner && c.peers[m.ID].caughtUp() && c.isActive(m.ID) {
			ready++
		}
	}
	return ready > 1
}

// replaceAfterElections is the number of shortest election timeouts after
// which a learner replaces a voter that does not answer: 3 s with the
// driver's ticks.
const replaceAfterElections = 5

// replaceInactiveVoter removes a voter that has not answered for
// replaceAfterElections, if a learner on standby can take its place. The
// voter may be lost permanently, and a second loss would leave no majority.
// If the voter comes back, it joins again as a learner and keeps its log.
func (c *Core) replaceInactiveVoter() {
	if !c.config.OddVoters || !c.hasStandby() {
		return
	}
	for _, m := range c.Members() {
		if m.Learner || m.ID == c.config.ID || c.peers[m.ID].inactiveTicks < replaceAfterElections*c.config.ElectionTicks {
			continue
		}
		// If another change is pending, the next heartbeat retries this.
		_, _ = c.RemoveMember(m.ID)
		return
	}
}

// hasStandby reports whether a learner is active and has caught up.
func (c *Core) hasStandby() bool {
	return slices.ContainsFunc(c.Members(), func(m replica.Member) bool {
		return m.Learner && c.peers[m.ID].caughtUp() && c.isActive(m.ID)
	})
}
