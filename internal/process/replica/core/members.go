package core

import (
	"slices"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// leaveIfRemoved ends the leadership once the own removal is committed.
func (c *Core) leaveIfRemoved() {
	if c.isVoter(c.config.ID) || c.log.newest().index > c.log.commit {
		return
	}
	if heir := c.bestHeir(); heir != "" {
		c.send(heir, Message{TimeoutNow: &TimeoutNow{}})
	}
	c.becomeFollower(c.state.Term, "")
}

// AddLearner proposes a new member. Its index in the log is returned.
func (c *Core) AddLearner(member replica.Member) (uint64, error) {
	for _, m := range c.Members() {
		if m.ID == member.ID || m.Link == member.Link {
			return 0, ErrMemberExists
		}
	}
	member.Learner = true
	return c.changeMembers(append(slices.Clone(c.Members()), member))
}

// RemoveMember proposes a membership without the id.
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

// changeMembers appends a membership. One change at a time: majorities of
// neighbouring memberships share a voter, those of distant ones may not.
func (c *Core) changeMembers(members []replica.Member) (uint64, error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	if c.log.newest().index > c.log.commit || c.log.commit < c.termStart {
		return 0, ErrChangePending
	}
	// The new membership is in use as soon as it is in the log, for the
	// commit of its own entry too.
	c.appendOwn(Entry{Kind: Members, Members: members})
	return c.log.last().Index, nil
}

// promoteLearner makes a learner that has caught up a voter.
func (c *Core) promoteLearner(id string) {
	if c.role != Leader {
		return
	}
	p := c.peers[id]
	at := slices.IndexFunc(c.Members(), func(m replica.Member) bool { return m.ID == id && m.Learner })
	if at < 0 || !p.caughtUp() || !c.mayPromote() {
		return
	}
	members := slices.Clone(c.Members())
	members[at].Learner = false
	// While another change is pending the next answer tries again.
	_, _ = c.changeMembers(members)
}

// caughtUp says whether a member holds all that was committed at the last
// heartbeat.
func (p *progress) caughtUp() bool { return p != nil && p.match > 0 && p.match >= p.goal }

// mayPromote says whether one more voter is wanted. With odd voters a learner
// stands by until another one joins it or a voter is taken out: an even
// number bears no more losses than one less, and two halves of it that are
// cut off from each other both stand still.
func (c *Core) mayPromote() bool {
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

// silentElections is how many shortest election timeouts a voter may be
// silent before a learner takes its place: 3 s with the driver's ticks.
const silentElections = 5

// replaceSilentVoter takes a voter out that has been silent for long, if a
// learner stands by to take its place. The voter may be gone for good, and a
// second loss would leave no majority. It may also come back: it then joins
// as a learner, with the log that it has.
func (c *Core) replaceSilentVoter() {
	if !c.config.OddVoters || !c.hasStandby() {
		return
	}
	for _, m := range c.Members() {
		if m.Learner || m.ID == c.config.ID || c.peers[m.ID].silent < silentElections*c.config.ElectionTicks {
			continue
		}
		// While another change is pending the next tick tries again.
		_, _ = c.RemoveMember(m.ID)
		return
	}
}

// hasStandby says whether a learner is ready to vote.
func (c *Core) hasStandby() bool {
	return slices.ContainsFunc(c.Members(), func(m replica.Member) bool {
		return m.Learner && c.peers[m.ID].caughtUp() && c.isActive(m.ID)
	})
}
