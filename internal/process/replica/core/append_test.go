package core

import "testing"

// entriesTo returns the number of entries sent to a member since the last
// call.
func entriesTo(c *Core, id string) int {
	count := 0
	for _, m := range c.Ready().Messages {
		if m.To == id && m.Append != nil {
			count += len(m.Append.Entries)
		}
	}
	return count
}

// tickWithHeartbeats advances the clock while both followers answer
// heartbeats, and returns the number of entries sent to b.
func tickWithHeartbeats(t *testing.T, c *Core, ticks int) (sentToB int) {
	t.Helper()
	for range ticks {
		c.Tick()
		for _, id := range []string{"b", "c"} {
			steps(t, c, Message{From: id, Term: c.Term(), HeartbeatReply: &HeartbeatReply{Round: c.round}})
		}
		sentToB += entriesTo(c, "b")
	}
	return sentToB
}

// leadAndPropose makes c the leader, has b acknowledge the log and proposes a
// command, whose append is ready to be sent to b.
func leadAndPropose(t *testing.T, c *Core, command []byte) {
	t.Helper()
	lead(t, c)
	steps(t, c, Message{From: "b", Term: 2, AppendReply: &AppendReply{Index: 2}})
	c.Ready()
	if _, err := c.Propose(command); err != nil {
		t.Fatal(err)
	}
}

func TestLargeAppendIsNotSentAgainWhileItMayBeOnItsWay(t *testing.T) {
	c := newTestCore(1)
	c.config.BytesPerTick = 1 << 10
	leadAndPropose(t, c, make([]byte, 20<<10))
	if sent := entriesTo(c, "b") + tickWithHeartbeats(t, c, 20); sent != 1 {
		t.Errorf("an append that takes 20 ticks was sent %d times within them", sent)
	}
	if sent := tickWithHeartbeats(t, c, 10); sent != 1 {
		t.Errorf("a lost append was sent %d times again", sent)
	}
}

func TestLostAppendIsSentAgainLessAndLessOften(t *testing.T) {
	c := newTestCore(1)
	leadAndPropose(t, c, []byte("x"))
	early := entriesTo(c, "b") + tickWithHeartbeats(t, c, 12)
	later := tickWithHeartbeats(t, c, 40)
	if early < 2 || early > 4 || later > 4 {
		t.Errorf("sent %d times in 12 ticks, %d times in the next 40", early, later)
	}
}

func TestMemberThatAnswersAgainGetsItsAppendAtOnce(t *testing.T) {
	c := newTestCore(1)
	leadAndPropose(t, c, []byte("x"))
	for range 60 {
		c.Tick()
		steps(t, c, Message{From: "c", Term: 2, HeartbeatReply: &HeartbeatReply{Round: c.round}})
	}
	entriesTo(c, "b")
	steps(t, c, Message{From: "b", Term: 2, HeartbeatReply: &HeartbeatReply{Round: c.round}})
	if sent := entriesTo(c, "b"); sent != 1 {
		t.Errorf("sent %d entries to a member that answers again", sent)
	}
}

func TestFollowersMatchLeavesOutTheLeader(t *testing.T) {
	c := newTestCore(1)
	leadAndPropose(t, c, []byte("x"))
	last := c.Last().Index
	steps(t, c, Message{From: "a", Term: 2, AppendReply: &AppendReply{Index: last}})
	if got := c.FollowersMatch(); got != last-1 {
		t.Errorf("the followers hold %d before any has acknowledged %d", got, last)
	}
	steps(t, c, Message{From: "c", Term: 2, AppendReply: &AppendReply{Index: last}})
	if got := c.FollowersMatch(); got != last || c.Commit() != last {
		t.Errorf("the followers hold %d, %d is committed, want %d", got, c.Commit(), last)
	}
}
