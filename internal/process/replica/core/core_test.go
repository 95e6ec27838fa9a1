package core

import (
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// threeVoters is the membership of the tests below.
var threeVoters = []replica.Member{{ID: "a", Link: "a", Disk: "da"}, {ID: "b", Link: "b", Disk: "db"}, {ID: "c", Link: "c", Disk: "dc"}}

// newTestCore returns voter a. Its log has one entry for each of the terms,
// starting at index 2.
func newTestCore(term uint64, terms ...uint64) *Core {
	p := Persistent{State: HardState{Term: term}, Base: Position{Index: 1}, Snapshot: SnapshotMeta{Last: Position{Index: 1}, Members: threeVoters}}
	for i, t := range terms {
		p.Entries = append(p.Entries, Entry{Index: uint64(i) + 2, Term: t})
	}
	config := Config{ID: "a", DiskID: "da", ElectionTicks: 5, HeartbeatTicks: 1, MaxAppendBytes: 1 << 10, Random: rand.New(rand.NewPCG(1, 1))}
	return New(config, p)
}

// lead makes the core the leader of the next term. Its first entry is not
// synced yet.
func lead(t *testing.T, c *Core) {
	t.Helper()
	for range 10 {
		c.Tick()
	}
	steps(t, c, Message{From: "a", Term: c.Term() + 1, VoteReply: &VoteReply{Pre: true, Granted: true}},
		Message{From: "b", Term: c.Term() + 1, VoteReply: &VoteReply{Pre: true, Granted: true}})
	steps(t, c, Message{From: "a", Term: c.Term(), VoteReply: &VoteReply{Granted: true}},
		Message{From: "b", Term: c.Term(), VoteReply: &VoteReply{Granted: true}})
	if c.Role() != Leader {
		t.Fatalf("role %s, want leader", c.Role())
	}
}

func steps(t *testing.T, c *Core, messages ...Message) {
	t.Helper()
	for _, m := range messages {
		m.To = c.config.ID
		if err := c.Step(m); err != nil {
			t.Fatal(err)
		}
	}
}

func TestPreVoteDoesNotIncreaseTerm(t *testing.T) {
	c := newTestCore(3)
	for range 100 {
		c.Tick()
	}
	if c.Term() != 3 {
		t.Errorf("a process without contact to others raised its term to %d", c.Term())
	}
}

func TestVoterIgnoresCandidateWhileLeaderSendsHeartbeats(t *testing.T) {
	c := newTestCore(3)
	steps(t, c, Message{From: "b", Term: 3, Heartbeat: &Heartbeat{}})
	steps(t, c, Message{From: "c", Term: 9, Vote: &VoteRequest{Last: Position{Index: 9, Term: 8}}})
	if c.Term() != 3 || c.Leader() != "b" {
		t.Errorf("term %d, leader %q after a candidate's message", c.Term(), c.Leader())
	}
}

func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	c := newTestCore(3)
	lead(t, c)
	for range 10 {
		c.Tick()
	}
	if c.Role() == Leader {
		t.Error("a leader without contact to any voter still leads")
	}
	if _, err := c.Propose([]byte("x")); !errors.Is(err, ErrNotLeader) {
		t.Errorf("proposal: %v", err)
	}
}

// TestEntryOfOlderTermIsNotCommittedByReplicaCount covers figure 3.7 of the dissertation:
// an entry of an older term that a majority holds can still be replaced, so
// counting its replicas must not commit it.
func TestEntryOfOlderTermIsNotCommittedByReplicaCount(t *testing.T) {
	c := newTestCore(4, 2)
	lead(t, c)
	steps(t, c, Message{From: "a", Term: 5, AppendReply: &AppendReply{Index: 2}}, Message{From: "b", Term: 5, AppendReply: &AppendReply{Index: 2}})
	if c.Commit() != 1 {
		t.Errorf("committed up to %d by counting replicas of an entry of an older term", c.Commit())
	}
	steps(t, c, Message{From: "a", Term: 5, AppendReply: &AppendReply{Index: 3}}, Message{From: "b", Term: 5, AppendReply: &AppendReply{Index: 3}})
	if c.Commit() != 3 {
		t.Errorf("committed up to %d, want 3", c.Commit())
	}
}

func TestLeaderDoesNotCountItselfBeforeItsSync(t *testing.T) {
	c := newTestCore(1)
	lead(t, c)
	steps(t, c, Message{From: "b", Term: 2, AppendReply: &AppendReply{Index: 2}})
	if c.Commit() != 1 {
		t.Errorf("committed %d with one synced copy of three", c.Commit())
	}
}

func TestLateSnapshotKeepsAcknowledgedEntries(t *testing.T) {
	c := newTestCore(2, 2, 2, 2)
	meta := SnapshotMeta{Last: Position{Index: 3, Term: 2}, Members: threeVoters}
	steps(t, c, Message{From: "b", Term: 2, Snapshot: &meta})
	if c.Last().Index != 4 || c.Commit() != 3 {
		t.Errorf("the log ends at %d, committed %d", c.Last().Index, c.Commit())
	}
}

func TestReadWaitsForAMajority(t *testing.T) {
	c := newTestCore(1)
	lead(t, c)
	steps(t, c, Message{From: "a", Term: 2, AppendReply: &AppendReply{Index: 2}}, Message{From: "b", Term: 2, AppendReply: &AppendReply{Index: 2}})
	if err := c.ReadIndex(7); err != nil {
		t.Fatal(err)
	}
	if reads := c.Ready().Reads; len(reads) > 0 {
		t.Fatalf("read %v returned without a confirmation", reads)
	}
	steps(t, c, Message{From: "c", Term: 2, HeartbeatReply: &HeartbeatReply{Round: c.round}})
	if reads := c.Ready().Reads; len(reads) != 1 || reads[0] != (ConfirmedRead{ID: 7, Index: 2}) {
		t.Errorf("reads %v", reads)
	}
}

// TestReadAsksNoMoreVotersThanItNeeds guards against reads whose cost for the leader grows with all members, and against reads that no later heartbeat confirms.
func TestReadAsksNoMoreVotersThanItNeeds(t *testing.T) {
	c := newTestCore(1)
	lead(t, c)
	steps(t, c, Message{From: "a", Term: 2, AppendReply: &AppendReply{Index: 2}}, Message{From: "b", Term: 2, AppendReply: &AppendReply{Index: 2}})
	for _, id := range []string{"d", "e", "f", "g"} {
		c.log.memberships[0].members = append(c.log.memberships[0].members, replica.Member{ID: id, Link: id})
	}
	c.updatePeers()
	for _, id := range []string{"b", "c"} {
		c.peers[id].inactiveTicks = 3
	}
	c.Ready()
	if err := c.ReadIndex(7); err != nil {
		t.Fatal(err)
	}
	asked := map[string]bool{}
	for _, m := range c.Ready().Messages {
		asked[m.To] = m.Heartbeat != nil
	}
	if len(asked) != 4 || asked["b"] && asked["c"] {
		t.Errorf("asked %v of six other voters", asked)
	}
	c.Tick()
	for _, m := range c.Ready().Messages {
		if m.Heartbeat != nil && m.Heartbeat.Round != c.round {
			t.Errorf("the next heartbeat to %s has round %d, the read has %d", m.To, m.Heartbeat.Round, c.round)
		}
	}
}

func TestMessageToReplacedDiskIsRefused(t *testing.T) {
	c := newTestCore(1)
	c.config.DiskID = "empty"
	m := Message{From: "b", To: "a", ToDisk: "da", Term: 2, Vote: &VoteRequest{Last: Position{Index: 9, Term: 1}}}
	if err := c.Step(m); !errors.Is(err, ErrDiskReplaced) {
		t.Errorf("error %v", err)
	}
}

// FuzzMessage decodes arbitrary messages and steps what decodes.
func FuzzMessage(f *testing.F) {
	for _, m := range []Message{
		{From: "b", To: "a", Term: 2, Vote: &VoteRequest{Last: Position{Index: 2, Term: 1}}},
		{From: "b", To: "a", Term: 2, Append: &AppendRequest{Previous: Position{Index: 1}, Entries: []Entry{{Index: 2, Term: 2}}}},
		{From: "b", To: "a", Term: 2, Snapshot: &SnapshotMeta{Last: Position{Index: 5, Term: 2}, Members: threeVoters}},
	} {
		data, err := cbor.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if err := cbor.Unmarshal(data, &m); err != nil {
			return
		}
		c := newTestCore(1, 1, 1)
		m.To = "a"
		if m.Check() != nil {
			return
		}
		// An error is fine; a panic is not.
		_ = c.Step(m)
		c.Ready()
	})
}
