package control

import (
	"context"
	"sync"
	"time"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/version/view"
)

// fakeEntry sends reports over a link, like an entry.
type fakeEntry struct {
	control *testControl
	node    *link.Node
	self    view.Entry
	mu      sync.Mutex
	// confirm returns the epoch to confirm for a draining VM.
	confirm      func(vm state.OwnedVM) (epoch uint64, ok bool)
	unresponsive bool
	// notLive lists the VMs whose targets the entry does not report as live.
	notLive map[string]bool
}

func (c *testControl) entry(id string) *fakeEntry {
	c.t.Helper()
	node, _, _ := c.node(id)
	e := &fakeEntry{control: c, node: node, self: view.Entry{ID: id, Zone: "za", Link: node.Address()}, notLive: map[string]bool{}, confirm: confirmAll}
	ctx, cancel := context.WithCancel(context.Background())
	_, err := link.Call[message.Watch, message.WatchAnswer](ctx, node, c.server.node.Address(), message.WatchKind, message.Watch{Entry: e.self})
	c.must(err)
	var done sync.WaitGroup
	done.Go(func() { e.run(ctx) })
	c.t.Cleanup(func() {
		cancel()
		done.Wait()
		_ = node.Close()
	})
	return e
}

func confirmAll(vm state.OwnedVM) (uint64, bool) { return vm.Epoch, true }

func confirmNothing(state.OwnedVM) (uint64, bool) { return 0, false }

func (e *fakeEntry) update(change func(*fakeEntry)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

func (e *fakeEntry) run(ctx context.Context) {
	for ctx.Err() == nil {
		if report, ok := e.report(); ok {
			// A failed report looks like an unresponsive entry, which the tests
			// cover as well.
			_, _ = link.Call[message.Report, message.ReportAnswer](ctx, e.node, e.control.server.node.Address(), message.ReportKind, report)
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (e *fakeEntry) report() (message.Report, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.control.server.machine.Fleet()
	report := message.Report{EntryID: e.self.ID, Zone: "za", Incarnation: "run-1", Revision: f.Revision, Version: f.Version}
	for _, vm := range f.VMs {
		report.Targets = append(report.Targets, message.TargetHealth{VM: vm.Name, Live: !e.notLive[vm.Name]})
		if epoch, ok := e.confirm(vm); ok && vm.Phase == view.Draining {
			report.Drained = append(report.Drained, message.DrainedVM{VM: vm.Name, Epoch: epoch})
		}
	}
	report.Full = true
	report.TargetsDigest = message.DigestTargets(report.Targets)
	return report, !e.unresponsive
}
