package core

import (
	"math/rand/v2"
	"testing"
)

// newVoter returns voter a with an election timeout of 12 to 24 ticks, as it
// starts from its disk.
func newVoter(seed uint64) *Core {
	p := Persistent{State: HardState{Term: 3}, Base: Position{Index: 1}, Snapshot: SnapshotMeta{Last: Position{Index: 1}, Members: threeVoters}}
	return New(Config{ID: "a", DiskID: "da", ElectionTicks: 12, HeartbeatTicks: 2, MaxAppendBytes: 1 << 10, Random: rand.New(rand.NewPCG(seed, 1))}, p)
}

// ticksToPreVote returns the number of ticks after which the core asks for
// pre-votes.
func ticksToPreVote(t *testing.T, c *Core) int {
	t.Helper()
	for ticks := 1; ticks < 100; ticks++ {
		c.Tick()
		for _, m := range c.Ready().AfterSync {
			if m.Vote != nil && m.Vote.Pre {
				return ticks
			}
		}
	}
	t.Fatal("no pre-vote")
	return 0
}

// TestVoterWithoutALeaderAsksForVotesSoon guards against a deployment whose
// control VMs all lost power and that waits for a whole election timeout, or for
// several if the others are back a little later.
func TestVoterWithoutALeaderAsksForVotesSoon(t *testing.T) {
	for seed := range uint64(50) {
		c := newVoter(seed)
		for try := range 3 {
			if ticks := ticksToPreVote(t, c); ticks >= c.config.ElectionTicks {
				t.Fatalf("seed %d: pre-vote %d after %d ticks", seed, try, ticks)
			}
		}
	}
}

// TestVoterOfALeaderWaitsTheElectionTimeout guards against elections while the
// leader is only slow.
func TestVoterOfALeaderWaitsTheElectionTimeout(t *testing.T) {
	for seed := range uint64(50) {
		c := newVoter(seed)
		steps(t, c, Message{From: "b", Term: 3, Heartbeat: &Heartbeat{}})
		if ticks := ticksToPreVote(t, c); ticks < c.config.ElectionTicks {
			t.Fatalf("seed %d: pre-vote after %d ticks", seed, ticks)
		}
	}
}

// TestMemberIsNotResponsiveBeforeItsFirstReply guards against a new leader that
// gives work to the member whose death made it the leader.
func TestMemberIsNotResponsiveBeforeItsFirstReply(t *testing.T) {
	c := newTestCore(3)
	lead(t, c)
	if c.Responsive("b", 5) || c.Responsive("c", 5) {
		t.Error("a member that has not replied is responsive")
	}
	steps(t, c, Message{From: "b", Term: c.Term(), HeartbeatReply: &HeartbeatReply{}})
	if !c.Responsive("b", 5) || c.Responsive("c", 5) {
		t.Error("only the member that has replied is responsive")
	}
}

// TestLeaderSilenceIsTheAgeOfTheMajority guards against a leader that accepts
// jobs although its log reaches no majority.
func TestLeaderSilenceIsTheAgeOfTheMajority(t *testing.T) {
	c := newTestCore(3)
	if _, known := c.LeaderSilence(); known {
		t.Error("a voter without a leader knows one")
	}
	steps(t, c, Message{From: "b", Term: 3, Heartbeat: &Heartbeat{}})
	c.Tick()
	c.Tick()
	if ticks, known := c.LeaderSilence(); !known || ticks != 2 {
		t.Errorf("follower: silence of %d ticks, known %v", ticks, known)
	}
	c = newTestCore(3)
	lead(t, c)
	for range 3 {
		c.Tick()
	}
	if ticks, _ := c.LeaderSilence(); ticks != 3 {
		t.Errorf("leader: silence of %d ticks", ticks)
	}
	steps(t, c, Message{From: "b", Term: c.Term(), HeartbeatReply: &HeartbeatReply{}})
	if ticks, _ := c.LeaderSilence(); ticks != 0 {
		t.Errorf("leader with a majority: silence of %d ticks", ticks)
	}
}
