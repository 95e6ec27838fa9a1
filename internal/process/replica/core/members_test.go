package core

import (
	"errors"
	"testing"

	"arbutusward.example/arbutusward/internal/process/replica"
)

// synced acknowledges the whole log on behalf of the given members.
func synced(t *testing.T, c *Core, ids ...string) {
	t.Helper()
	for _, id := range ids {
		steps(t, c, Message{From: id, Term: c.Term(), AppendReply: &AppendReply{Index: c.Last().Index}})
	}
}

func TestMembersChangeOneAtATime(t *testing.T) {
	c := newTestCore(1)
	lead(t, c)
	if _, err := c.RemoveMember("c"); !errors.Is(err, ErrChangePending) {
		t.Errorf("before the leader has committed: %v", err)
	}
	synced(t, c, "a", "b")
	if _, err := c.AddLearner(replica.Member{ID: "d", Link: "d"}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.RemoveMember("c"); !errors.Is(err, ErrChangePending) {
		t.Errorf("while another change is pending: %v", err)
	}
	synced(t, c, "a", "b")
	if _, err := c.RemoveMember("c"); err != nil {
		t.Errorf("after the change is committed: %v", err)
	}
}

func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	c := newTestCore(1)
	lead(t, c)
	synced(t, c, "a", "b")
	if _, err := c.AddLearner(replica.Member{ID: "d", Link: "d"}); err != nil {
		t.Fatal(err)
	}
	synced(t, c, "a", "b")
	if _, err := c.Propose([]byte("x")); err != nil {
		t.Fatal(err)
	}
	before := c.Commit()
	steps(t, c, Message{From: "a", Term: 2, AppendReply: &AppendReply{Index: c.Last().Index}},
		Message{From: "d", Term: 2, AppendReply: &AppendReply{Index: c.Commit() - 1}})
	if c.isVoter("d") {
		t.Error("a learner that is behind was promoted")
	}
	steps(t, c, Message{From: "d", Term: 2, AppendReply: &AppendReply{Index: c.Last().Index}})
	if c.Commit() != before || !c.isVoter("d") {
		t.Errorf("commit index %d after a learner's acknowledgement, want %d; voter %v", c.Commit(), before, c.isVoter("d"))
	}
}

func TestLearnerStaysOnStandbyWhileItWouldMakeTheVotersEven(t *testing.T) {
	c := newTestCore(1)
	c.config.OddVoters = true
	lead(t, c)
	synced(t, c, "a", "b", "c")
	join := func(id string) {
		t.Helper()
		if _, err := c.AddLearner(replica.Member{ID: id, Link: id}); err != nil {
			t.Fatal(err)
		}
		synced(t, c, "a", "b", "c")
	}
	catchUp := func(ids ...string) {
		t.Helper()
		for _, id := range ids {
			steps(t, c, Message{From: id, Term: 2, AppendReply: &AppendReply{Index: c.Last().Index}})
			synced(t, c, "a", "b", "c")
		}
	}
	join("d")
	catchUp("d")
	if c.isVoter("d") {
		t.Error("a learner became the fourth voter")
	}
	join("e")
	catchUp("d", "e", "d")
	if !c.isVoter("d") || !c.isVoter("e") {
		t.Errorf("voters %v after a second learner has caught up", c.voters())
	}
	join("f")
	catchUp("f")
	if c.isVoter("f") {
		t.Error("a learner became the sixth voter")
	}
	if _, err := c.RemoveMember("e"); err != nil {
		t.Fatal(err)
	}
	synced(t, c, "a", "b", "c")
	catchUp("f")
	if !c.isVoter("f") {
		t.Errorf("voters %v: no learner replaced the removed voter", c.voters())
	}
}

func TestLearnerReplacesAnInactiveVoter(t *testing.T) {
	c := newTestCore(1)
	c.config.OddVoters = true
	lead(t, c)
	synced(t, c, "a", "b", "c")
	if _, err := c.AddLearner(replica.Member{ID: "d", Link: "d"}); err != nil {
		t.Fatal(err)
	}
	synced(t, c, "a", "b", "c")
	tickWithReplies := func(ticks int) {
		t.Helper()
		for range ticks {
			for _, id := range []string{"b", "d"} {
				steps(t, c, Message{From: id, Term: 2, AppendReply: &AppendReply{Index: c.Last().Index}})
			}
			synced(t, c, "a", "b")
			c.Tick()
		}
	}
	tickWithReplies(replaceAfterElections*c.config.ElectionTicks - 2)
	if !c.isVoter("c") || c.isVoter("d") {
		t.Errorf("voters %v before the timeout for replacing an inactive voter", c.voters())
	}
	tickWithReplies(6)
	if c.isVoter("c") || !c.isVoter("d") {
		t.Errorf("voters %v after the timeout for replacing an inactive voter", c.voters())
	}
}
