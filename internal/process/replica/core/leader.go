package core

import (
	"slices"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// progress is what a leader knows of one member, itself included.
type progress struct {
	// match is the last entry known to be synced there; next is sent next.
	match, next uint64
	// awaiting is the number of ticks since an append was sent that is not
	// answered, counted from 1; 0 if none is.
	awaiting int
	// snapshotting says that a snapshot is on its way.
	snapshotting bool
	// active says that the member was heard since the last quorum check.
	active bool
	// round is the newest heartbeat round that the member answered.
	round uint64
	// goal is the commit index at the last heartbeat; a learner that has
	// reached it has caught up.
	goal uint64
}

type pendingRead struct {
	id, index, round uint64
}

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
	c.appendOwn(Entry{Kind: Empty})
	c.broadcastHeartbeat()
}

// syncPeers makes the progress table match the membership in use.
func (c *Core) syncPeers() {
	kept := map[string]*progress{}
	for _, m := range c.Members() {
		p := c.peers[m.ID]
		if p == nil {
			p = &progress{next: c.log.last().Index + 1, active: true, goal: c.log.commit + 1}
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
	p.awaiting = 1
	c.send(id, Message{Append: &AppendRequest{
		Previous: Position{Index: previous, Term: term},
		Entries:  c.log.after(previous, c.config.MaxAppendBytes),
		Commit:   c.log.commit,
	}})
}

// SnapshotSent reports the end of a snapshot's transfer to a member.
func (c *Core) SnapshotSent(id string) {
	if p := c.peers[id]; p != nil {
		p.snapshotting = false
	}
}

func (c *Core) stepAppendReply(m *Message) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	p.active = true
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

// leaveIfRemoved ends the leadership once the own removal is committed.
func (c *Core) leaveIfRemoved() {
	if c.isVoter(c.config.ID) || c.log.newest().index > c.log.commit {
		return
	}
	if heir := c.bestHeir(); heir != "" {
		c.send(heir, Message{TakeOver: &TakeOver{}})
	}
	c.becomeFollower(c.state.Term, "")
}

func (c *Core) tickLeader() {
	if c.electionTicks >= c.config.ElectionTicks && !c.checkQuorum() {
		return
	}
	for _, p := range c.peers {
		if p.awaiting > 0 {
			p.awaiting++
		}
		if p.awaiting > 2*c.config.HeartbeatTicks {
			// The append or its answer was lost.
			p.awaiting = 0
		}
	}
	c.heartbeatTicks++
	if c.heartbeatTicks < c.config.HeartbeatTicks {
		return
	}
	c.heartbeatTicks = 0
	c.broadcastHeartbeat()
	c.sendAppends()
}

// checkQuorum ends a leadership without a majority: the leader is cut off,
// and another may have been elected.
func (c *Core) checkQuorum() bool {
	c.electionTicks = 0
	active := 0
	for _, id := range c.voters() {
		if id == c.config.ID || c.peers[id].active {
			active++
		}
	}
	if active < c.quorum() {
		c.becomeFollower(c.state.Term, "")
		return false
	}
	for _, p := range c.peers {
		p.active = false
	}
	return true
}

func (c *Core) broadcastHeartbeat() {
	for _, m := range c.Members() {
		c.sendHeartbeat(m.ID)
		c.peers[m.ID].goal = c.log.commit
	}
}

func (c *Core) sendHeartbeat(id string) {
	if id == c.config.ID {
		return
	}
	// No more than the member is known to hold: what lies beyond match may
	// differ from this log.
	commit := min(c.log.commit, c.peers[id].match)
	c.send(id, Message{Heartbeat: &Heartbeat{Commit: commit, Round: c.round}})
}

func (c *Core) stepHeartbeatReply(m *Message) {
	p := c.peers[m.From]
	if p == nil {
		return
	}
	p.active = true
	p.round = max(p.round, m.HeartbeatReply.Round)
	c.confirmReads()
	c.promoteLearner(m.From)
	c.sendAppend(m.From)
}

// Read asks for the confirmation that this process still leads; Ready.Reads
// names the id once a majority has answered a heartbeat sent after now.
func (c *Core) Read(id uint64) error {
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

// HandOver asks the voter with the longest log to take over once it holds
// the whole log. It says whether there is such a voter.
func (c *Core) HandOver() bool {
	if c.role != Leader {
		return false
	}
	c.heir = c.bestHeir()
	c.continueHandOver()
	return c.heir != ""
}

func (c *Core) continueHandOver() {
	if c.role != Leader || c.heir == "" || c.log.commit < c.log.last().Index {
		return
	}
	if p := c.peers[c.heir]; p != nil && p.match == c.log.last().Index {
		c.send(c.heir, Message{TakeOver: &TakeOver{}})
	}
}

// bestHeir returns the other active voter with the longest log, or "".
func (c *Core) bestHeir() string {
	heir := ""
	for _, id := range c.voters() {
		if id == c.config.ID || !c.peers[id].active {
			continue
		}
		if heir == "" || c.peers[id].match > c.peers[heir].match {
			heir = id
		}
	}
	return heir
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
	if p == nil || at < 0 || p.match == 0 || p.match < p.goal {
		return
	}
	members := slices.Clone(c.Members())
	members[at].Learner = false
	// While another change is pending the next answer tries again.
	_, _ = c.changeMembers(members)
}
