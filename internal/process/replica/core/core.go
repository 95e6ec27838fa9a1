package core

import (
	"math/rand/v2"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// Role is the part that a process plays in its term.
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

// Config fixes the behaviour of a core.
type Config struct {
	// ID names this process, DiskID its data folder.
	ID, DiskID string
	// ElectionTicks is the shortest election timeout; the longest is twice
	// that. HeartbeatTicks is the time between heartbeats.
	ElectionTicks, HeartbeatTicks int
	// OddVoters keeps the number of voters odd: a learner beyond that stands
	// by.
	OddVoters bool
	// MaxAppendBytes bounds the entries in one message.
	MaxAppendBytes int
	// BytesPerTick is the rate at which a large append is expected to arrive
	// at the least; 0 expects any at once.
	BytesPerTick int
	// Random draws the election timeouts.
	Random *rand.Rand
}

// Persistent is what a process finds on its disk at start.
type Persistent struct {
	State HardState
	// Base is the last entry before Entries.
	Base     Position
	Entries  []Entry
	Snapshot SnapshotMeta
}

// Ready is what the owner has to do, in the order of its fields.
type Ready struct {
	// State, Install and Entries go to the disk in this order.
	State *HardState
	// Install is a received snapshot that replaces the log and the state.
	Install *SnapshotMeta
	// Entries are to be appended. The first may replace an earlier entry of
	// its index and all after it.
	Entries []Entry
	// Messages may be sent at once.
	Messages []Message
	// AfterSync must be sent only once all of the above, and all of earlier
	// Readys, is synced. Messages to this process itself are for Step.
	AfterSync []Message
	// Committed must be applied in order.
	Committed []Entry
	// Reads are confirmed: each may be answered once its index is applied.
	Reads []ConfirmedRead
	// SendSnapshot names peers that need the newest snapshot.
	SendSnapshot []string
}

// ConfirmedRead is a read whose leadership was confirmed after its start.
type ConfirmedRead struct {
	ID, Index uint64
}

// Core is the consensus state of one process. It is not safe for
// concurrent use.
type Core struct {
	config Config
	state  HardState
	log    entryLog
	role   Role
	leader string

	// electionTicks counts since a leader was heard, or, in a leader, since
	// the last check of its quorum.
	electionTicks    int
	electionDeadline int
	heartbeatTicks   int
	// handingOver marks a candidate that the last leader asked to stand.
	handingOver bool
	votes       map[string]bool

	// The following is a leader's.
	peers map[string]*progress
	// termStart is the index of this leader's first entry.
	termStart uint64
	round     uint64
	reads     []pendingRead
	heir      string

	// given is the last committed entry that a Ready held.
	given      uint64
	savedState HardState
	ready      Ready
}

// New returns a follower with what the disk holds.
func New(config Config, p Persistent) *Core {
	c := &Core{config: config, state: p.State, savedState: p.State}
	c.log.base = p.Base
	c.log.commit = p.Snapshot.Last.Index
	c.log.memberships = []membership{{index: p.Snapshot.Last.Index, members: p.Snapshot.Members}}
	c.log.entries = p.Entries
	for i := range p.Entries {
		if p.Entries[i].Kind == Members && p.Entries[i].Index > p.Snapshot.Last.Index {
			c.log.memberships = append(c.log.memberships, membership{index: p.Entries[i].Index, members: p.Entries[i].Members})
		}
	}
	c.given = p.Snapshot.Last.Index
	c.becomeFollower(p.State.Term, "")
	return c
}

// Role returns the current role.
func (c *Core) Role() Role { return c.role }

// Term returns the current term.
func (c *Core) Term() uint64 { return c.state.Term }

// Leader returns the id of the leader, or "" if none is known.
func (c *Core) Leader() string { return c.leader }

// Commit returns the last index known to be committed.
func (c *Core) Commit() uint64 { return c.log.commit }

// Last returns the last entry of the log.
func (c *Core) Last() Position { return c.log.last() }

// Base returns the last entry that is no longer in the log.
func (c *Core) Base() Position { return c.log.base }

// Members returns the membership in use.
func (c *Core) Members() []replica.Member { return c.log.newest().members }

// MembersAt returns the membership as of a committed index that is not
// older than the newest committed membership.
func (c *Core) MembersAt(index uint64) []replica.Member {
	found := c.log.memberships[0].members
	for _, m := range c.log.memberships {
		if m.index <= index {
			found = m.members
		}
	}
	return found
}

// Tail returns the position and the entries that remain after a compaction
// at the index.
func (c *Core) Tail(index uint64) (Position, []Entry) {
	term, known := c.log.term(index)
	if !known {
		return c.log.base, c.log.between(c.log.base.Index, c.log.last().Index)
	}
	return Position{Index: index, Term: term}, c.log.between(index, c.log.last().Index)
}

// TermAt returns the term of an entry that is still in the log.
func (c *Core) TermAt(index uint64) (uint64, bool) { return c.log.term(index) }

// Compact forgets entries up to the index, which a synced snapshot covers.
func (c *Core) Compact(index uint64) { c.log.compact(index) }

// Ready returns what is to be done since the last call.
func (c *Core) Ready() Ready {
	out := c.ready
	c.ready = Ready{}
	if c.state != c.savedState {
		state := c.state
		out.State = &state
		c.savedState = state
	}
	if c.log.commit > c.given {
		out.Committed = c.log.between(c.given, c.log.commit)
		c.given = c.log.commit
	}
	return out
}

// Tick passes one unit of time.
func (c *Core) Tick() {
	c.electionTicks++
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.electionTicks >= c.electionDeadline && c.isVoter(c.config.ID) {
		c.campaign(true)
	}
}

// Propose appends a command to the leader's log.
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
	c.handingOver = false
	c.peers = nil
	c.reads = nil
	c.heir = ""
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

// quorum is the smallest majority of the voters.
func (c *Core) quorum() int { return len(c.voters())/2 + 1 }

// message fills in the envelope.
func (c *Core) message(to string, m Message) Message {
	m.From, m.To = c.config.ID, to
	if m.Term == 0 {
		m.Term = c.state.Term
	}
	for _, member := range c.Members() {
		if member.ID == to {
			m.ToDisk = member.Disk
		}
	}
	return m
}

// send queues a message that promises nothing about this process's disk.
func (c *Core) send(to string, m Message) {
	c.ready.Messages = append(c.ready.Messages, c.message(to, m))
}

// sendAfterSync queues a vote or an acknowledgement.
func (c *Core) sendAfterSync(to string, m Message) {
	c.ready.AfterSync = append(c.ready.AfterSync, c.message(to, m))
}

// Envelope returns a message to a member without a body.
func (c *Core) Envelope(to string) Message { return c.message(to, Message{}) }
