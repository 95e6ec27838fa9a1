package core

import "arbutusward.example/arbutusward/internal/process/replica"

// Role is the Raft role of a process in its current term.
type Role uint8

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Core is the consensus state of one process. It is not safe for
// concurrent use.
type Core struct {
	config Config
	state  HardState
	log    entryLog
	role   Role
	leader string

	// ticks counts the ticks of this process, from 1. campaignedAt is its value when
	// this process last asked for votes.
	ticks, campaignedAt uint64
	// electionTicks counts the ticks since the last message of a leader or,
	// on a leader, since its last quorum check.
	electionTicks    int
	electionDeadline int
	heartbeatTicks   int
	// transferCampaign is set while this process starts an election at the
	// request of the leader.
	transferCampaign bool
	votes            map[string]bool

	// The following fields are used only while this process leads.
	peers map[string]*progress
	// termStart is the index of this leader's first entry.
	termStart  uint64
	round      uint64
	reads      []pendingRead
	transferee string

	// delivered is the index of the last committed entry that was returned in
	// a Ready.
	delivered  uint64
	savedState HardState
	ready      Ready
}

// New returns a core that starts as a follower with the state from the disk.
func New(config Config, p Persistent) *Core {
	c := &Core{config: config, state: p.State, savedState: p.State, ticks: 1}
	c.log.base = p.Base
	c.log.commit = p.Snapshot.Last.Index
	c.log.memberships = []membership{{index: p.Snapshot.Last.Index, members: p.Snapshot.Members}}
	c.log.entries = p.Entries
	for i := range p.Entries {
		if p.Entries[i].Kind == Members && p.Entries[i].Index > p.Snapshot.Last.Index {
			c.log.memberships = append(c.log.memberships, membership{index: p.Entries[i].Index, members: p.Entries[i].Members})
		}
	}
	c.delivered = p.Snapshot.Last.Index
	c.becomeFollower(p.State.Term, "")
	c.electionDeadline = c.preVoteTimeout()
	return c
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.state.Term }

// Leader returns the id of the leader, or "" if none is known.
func (c *Core) Leader() string { return c.leader }

// LeaderSilence returns the ticks since this process last knew of a leader in
// contact with a majority: on a follower since the leader's last message, on
// the leader since a majority last answered. It reports false if no leader is
// known.
func (c *Core) LeaderSilence() (ticks int, known bool) {
	if c.leader == "" {
		return 0, false
	}
	if c.role != Leader {
		return c.electionTicks, true
	}
	return c.quorumSilence(), true
}

// Unconfirmed returns the ticks since this leader sent the newest message that a
// majority has answered, for which no other process can have begun to lead. The
// answers may have been on their way for long. It reports false on another process.
func (c *Core) Unconfirmed() (ticks int, leads bool) {
	if c.role != Leader {
		return 0, false
	}
	sent := c.reachedByMajority(func(id string) uint64 {
		if id == c.config.ID {
			return c.ticks
		}
		return c.peers[id].confirmedAt
	})
	return int(c.ticks - sent), true
}

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.log.commit }

// Last returns the position of the last entry of the log.
func (c *Core) Last() Position { return c.log.last() }

// Base returns the position of the last entry that was compacted away.
func (c *Core) Base() Position { return c.log.base }

// Members returns the membership in use, which may not be committed yet.
func (c *Core) Members() []replica.Member { return c.log.currentMembership().members }

// MembersAt returns the membership as of a committed index. The index must
// not be older than the newest committed membership.
func (c *Core) MembersAt(index uint64) []replica.Member {
	found := c.log.memberships[0].members
	for _, m := range c.log.memberships {
		if m.index <= index {
			found = m.members
		}
	}
	return found
}

// Tail returns the base position and the entries that would remain after a
// compaction up to the index.
func (c *Core) Tail(index uint64) (Position, []Entry) {
	term, known := c.log.term(index)
	if !known {
		return c.log.base, c.log.between(c.log.base.Index, c.log.last().Index)
	}
	return Position{Index: index, Term: term}, c.log.between(index, c.log.last().Index)
}

// TermAt returns the term of the entry at the index and whether that entry
// is still in the log.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.term(index) }

// Compact drops the entries up to the index. A synced snapshot must cover
// them.
func (c *Core) Compact(index uint64) { c.log.compact(index) }

// Tick advances the clock by one tick.
func (c *Core) Tick() {
	c.ticks++
	c.electionTicks++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionTicks >= c.electionDeadline && c.isVoter(c.config.ID) {
		c.campaign(true)
	}
}

// Propose appends commands to the leader's log and returns the index of the
// first one.
func (c *Core) Propose(commands ...[]byte) (first uint64, err error) {
	if c.role != Leader {
		return 0, ErrNotLeader
	}
	first = c.log.last().Index + 1
	entries := make([]Entry, len(commands))
	for i, command := range commands {
		entries[i] = Entry{Kind: Command, Data: command}
	}
	c.appendOwn(entries...)
	return first, nil
}

func (c *Core) becomeFollower(term uint64, leader string) {
	if term != c.state.Term {
		c.state = HardState{Term: term}
	}
	c.role = Follower
	c.leader = leader
	c.transferCampaign = false
	c.peers = nil
	c.reads = nil
	c.transferee = ""
	c.votes = nil
	c.resetElection()
}

func (c *Core) resetElection() {
	c.electionTicks = 0
	c.electionDeadline = c.config.ElectionTicks + c.config.Random.IntN(c.config.ElectionTicks)
}

func (c *Core) isVoter(id string) bool {
	for _, m := range c.Members() {
		if m.ID == id {
			return !m.Learner
		}
	}
	return false
}

// voters returns the ids of the voters.
func (c *Core) voters() []string {
	var ids []string
	for _, m := range c.Members() {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// quorum returns the size of the smallest majority of the voters.
func (c *Core) quorum() int { return len(c.voters())/2 + 1 }
