package control

import (
	"context"
	"fmt"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/standin"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// TestMoveNeedsEveryEntrysConfirmationUnderItsEpoch checks that a VM keeps
// draining while one entry confirms nothing, confirms an older epoch, or is
// unresponsive. It fails if unconfirmedEntries omits one of these checks.
func TestMoveNeedsEveryEntrysConfirmationUnderItsEpoch(t *testing.T) {
	c := newTestControl(t)
	c.entry("entry-1")
	second := c.entry("entry-2")
	second.update(func(e *fakeEntry) { e.confirm = confirmNothing })
	c.apply("a")
	draining := func() bool { return c.vm("b-4").Phase == view.Draining && c.vm("b-4").Pool == "b" }
	c.eventually(5*time.Second, "b-4 drains", draining)
	c.holds(time.Second, "draining without a confirmation", draining)
	second.update(func(e *fakeEntry) {
		e.confirm = func(vm state.OwnedVM) (uint64, bool) { return vm.Epoch - 1, true }
	})
	c.holds(time.Second, "draining on the confirmation of an older epoch", draining)
	second.update(func(e *fakeEntry) { e.unresponsive = true })
	c.holds(reportLifetime+time.Second, "draining while an entry is unresponsive", draining)
	second.update(func(e *fakeEntry) { e.unresponsive, e.confirm = false, confirmAll })
	c.eventually(5*time.Second, "b-4 serves pool a", func() bool {
		return c.vm("b-4").Phase == view.Serving && c.vm("b-4").Pool == "a"
	})
}

// TestDocumentChangedBackCancelsTheMove fails if moves.Plan does not compare
// the VM's desired pool with the pool of the active move.
func TestDocumentChangedBackCancelsTheMove(t *testing.T) {
	c := newTestControl(t)
	c.entry("entry-1").update(func(e *fakeEntry) { e.confirm = confirmNothing })
	c.apply("a")
	c.eventually(5*time.Second, "b-4 drains", c.isDraining)
	epoch := c.vm("b-4").Epoch
	c.apply("b")
	c.eventually(5*time.Second, "b-4 serves pool b again", func() bool {
		vm := c.vm("b-4")
		return vm.Phase == view.Serving && vm.Pool == "b" && vm.Epoch > epoch
	})
}

// TestLateReportOfAnEarlierIncarnationConfirmsNothing sends a confirmation of
// an entry's earlier incarnation after the next one has reported. It fails
// without the check in incarnations.
func TestLateReportOfAnEarlierIncarnationConfirmsNothing(t *testing.T) {
	c := newTestControl(t)
	entry := c.entry("entry-1")
	entry.update(func(e *fakeEntry) { e.confirm = confirmNothing })
	c.apply("a")
	c.eventually(5*time.Second, "b-4 drains", c.isDraining)
	entry.update(func(e *fakeEntry) { e.unresponsive = true })
	next, _ := entry.report()
	next.Incarnation = "run-2"
	entry.update(func(e *fakeEntry) { e.confirm = confirmAll })
	late, _ := entry.report()
	for range 10 {
		_, err := link.Call[message.Report, message.ReportAnswer](context.Background(), entry.node, c.server.node.Address(), message.ReportKind, next)
		c.must(err)
		if _, err := link.Call[message.Report, message.ReportAnswer](context.Background(), entry.node, c.server.node.Address(), message.ReportKind, late); err == nil {
			t.Fatal("the report of an earlier incarnation was accepted")
		}
		c.holds(100*time.Millisecond, "draining", c.isDraining)
	}
}

// TestUnresponsiveEntryBlocksUntilAnOperatorRemovesIt fails if an unresponsive
// entry counts as confirmed, or if its removal does not end the wait.
func TestUnresponsiveEntryBlocksUntilAnOperatorRemovesIt(t *testing.T) {
	c := newTestControl(t)
	c.entry("entry-1")
	second := c.entry("entry-2")
	second.update(func(e *fakeEntry) { e.confirm = confirmNothing })
	c.apply("a")
	c.eventually(5*time.Second, "b-4 drains", c.isDraining)
	second.update(func(e *fakeEntry) { e.unresponsive = true })
	c.holds(reportLifetime+time.Second, "draining", c.isDraining)
	removal := state.EntryRemoval{ID: "entry-2", Attestation: "the VM was taken out of its rack"}
	_, err := propose[state.EntryRemoval](context.Background(), c.server, state.RemoveEntry, removal)
	c.must(err)
	c.eventually(5*time.Second, "b-4 serves pool a", func() bool { return c.vm("b-4").Pool == "a" })
}

// TestNewLeaderEndsAWaveWithoutASecondReboot takes the leadership away and
// gives it back while VMs reboot, so that orders are repeated. It fails if
// the idempotency key of an order differs between calls.
func TestNewLeaderEndsAWaveWithoutASecondReboot(t *testing.T) {
	c := newTestControl(t)
	c.entry("entry-1")
	for i := 1; i <= 4; i++ {
		target, err := c.platform.Add(standin.TargetConfig{VM: fmt.Sprintf("a-%d", i)})
		c.must(err)
		t.Cleanup(target.Kill)
	}
	c.startWave()
	rebooting := func() bool {
		for _, run := range c.server.machine.Fleet().Runs {
			return run.Count()[plan.Rebooting] > 0
		}
		return false
	}
	c.eventually(5*time.Second, "a VM reboots", rebooting)
	for range 3 {
		c.replica.changes <- false
		c.replica.changes <- true
		time.Sleep(planInterval + 100*time.Millisecond)
	}
	c.eventually(40*time.Second, "the run has ended", func() bool {
		for _, run := range c.server.machine.Fleet().Runs {
			return run.Status == plan.Ended
		}
		return false
	})
	for i := 1; i <= 4; i++ {
		if boots := c.platform.Info(fmt.Sprintf("a-%d", i)).Boots; boots != 2 {
			t.Errorf("a-%d has booted %d times, expected its first start and one reboot", i, boots)
		}
	}
}
