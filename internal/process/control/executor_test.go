package control

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"arbutusward.example/arbutusward/internal/connection/link"
	"arbutusward.example/arbutusward/internal/connection/message"
	"arbutusward.example/arbutusward/internal/process/adminhttp"
	"arbutusward.example/arbutusward/internal/process/keys"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/settings"
	"arbutusward.example/arbutusward/internal/process/state"
	"arbutusward.example/arbutusward/internal/process/timeline"
	"arbutusward.example/arbutusward/internal/standin"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// executorDocument has one zone with two pools of four VMs. The pool of VM
// b-4 is a format argument.
const executorDocument = `{
  "schema": 1, "deployment": "executor",
  "zones": [{"name": "za", "racks": ["r1", "r2"]}],
  "pools": [{"name": "a", "tolerate": {}, "min_dwell_s": 1}, {"name": "b", "tolerate": {}, "min_dwell_s": 1}],
  "vms": [
    {"name": "a", "count": 4, "pool": "a", "zone": "za", "rack": "r1", "cpu_cores": 1, "memory_gib": 1},
    {"name": "b", "count": 3, "pool": "b", "zone": "za", "rack": "r2", "cpu_cores": 1, "memory_gib": 1},
    {"name": "b-4", "pool": %q, "zone": "za", "rack": "r2", "cpu_cores": 1, "memory_gib": 1}
  ],
  "services": [
    {"name": "a", "pool": "a", "path_prefix": "/a/", "class": "interactive", "deadline_ms": 100, "budget": {"promised_slots": 16}},
    {"name": "b", "pool": "b", "path_prefix": "/b/", "class": "interactive", "deadline_ms": 100, "budget": {"promised_slots": 16}}
  ],
  "waves": [{"name": "w", "pools": ["a"], "settle_s": 1}],
  "weights": {"buffer": 1, "rollout": 1, "moves": 1}
}`

// fakeReplica is a replica of one process without a log. The test changes its
// leadership.
type fakeReplica struct {
	machine *state.Machine
	changes chan bool

	mu    sync.Mutex
	index uint64
}

// Propose applies the command.
func (r *fakeReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.index++
	return r.machine.Apply(r.index, command), nil
}

// ReadBarrier returns at once.
func (r *fakeReplica) ReadBarrier(context.Context) error { return nil }

// Status returns the state of a leader.
func (r *fakeReplica) Status() replica.Status { return replica.Status{Role: "leader", Term: 1} }

// AddMember returns an error.
func (r *fakeReplica) AddMember(context.Context, replica.Member) error { return replica.ErrStopped }

// RemoveMember returns an error.
func (r *fakeReplica) RemoveMember(context.Context, string) error { return replica.ErrStopped }

// LeaderChanges delivers the changes that the test sends.
func (r *fakeReplica) LeaderChanges() <-chan bool { return r.changes }

// Stop does nothing.
func (r *fakeReplica) Stop() error { return nil }

// testControl is a control process with fake entries.
type testControl struct {
	t        *testing.T
	dir      string
	server   *Server
	replica  *fakeReplica
	platform *standin.Platform
}

func newTestControl(t *testing.T) *testControl {
	t.Helper()
	gin.SetMode(gin.ReleaseMode)
	c := &testControl{t: t, dir: t.TempDir(), platform: standin.NewPlatform(200 * time.Millisecond)}
	c.must(keys.Init(c.dir + "/ca"))
	platformServer := httptest.NewServer(c.platform.Handler())
	t.Cleanup(platformServer.Close)
	node, ring, recorder := c.node("control-1")
	s := &settings.Control{ID: "control-1", Zone: "za", Link: node.Address(), Admin: "127.0.0.1:0", Platform: platformServer.URL}
	machine := state.NewMachine()
	log := slog.New(slog.DiscardHandler)
	c.replica = &fakeReplica{machine: machine, changes: make(chan bool, 1)}
	c.replica.changes <- true
	c.server = New(s, c.replica, machine, node, adminhttp.New(ring, recorder, log), recorder, log)
	c.must(c.server.Start())
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := c.server.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	c.apply("b")
	return c
}

func (c *testControl) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// node issues keys and opens a link for a process.
func (c *testControl) node(id string) (*link.Node, *keys.Ring, *timeline.Recorder) {
	c.t.Helper()
	folder := filepath.Join(c.dir, id)
	c.must(keys.Issue(c.dir+"/ca", folder, id))
	ring, err := keys.Load(folder)
	c.must(err)
	recorder := timeline.NewRecorder(id, "za")
	node, err := link.Listen("127.0.0.1:0", ring, recorder, slog.New(slog.DiscardHandler))
	c.must(err)
	return node, ring, recorder
}

// apply submits the document with b-4 in the given pool.
func (c *testControl) apply(pool string) {
	c.t.Helper()
	submit := state.DocumentSubmission{Base: c.server.machine.Fleet().Version, Text: fmt.Appendf(nil, executorDocument, pool)}
	_, err := propose[state.DocumentSubmissionAnswer](context.Background(), c.server, state.SubmitDocument, submit)
	c.must(err)
}

func (c *testControl) startWave() {
	c.t.Helper()
	_, err := propose[plan.WaveRun](context.Background(), c.server, state.StartWave, state.WaveStart{Wave: "w"})
	c.must(err)
}

func (c *testControl) vm(name string) state.OwnedVM { return c.server.machine.Fleet().VMs[name] }

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

func (c *testControl) eventually(limit time.Duration, what string, check func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if check() {
			return
		}
	}
	c.t.Fatalf("not within %s: %s; plan outcome %+v", limit, what, c.server.planOutcome.Load())
}

// holds checks that a condition stays true.
func (c *testControl) holds(during time.Duration, what string, check func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(during); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !check() {
			c.t.Fatalf("%s does not hold", what)
		}
	}
}

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
	c.eventually(5*time.Second, "b-4 drains", func() bool { return c.vm("b-4").Phase == view.Draining })
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
	c.eventually(5*time.Second, "b-4 drains", func() bool { return c.vm("b-4").Phase == view.Draining })
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
		c.holds(100*time.Millisecond, "draining", func() bool { return c.vm("b-4").Phase == view.Draining })
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
	c.eventually(5*time.Second, "b-4 drains", func() bool { return c.vm("b-4").Phase == view.Draining })
	second.update(func(e *fakeEntry) { e.unresponsive = true })
	c.holds(reportLifetime+time.Second, "draining", func() bool { return c.vm("b-4").Phase == view.Draining })
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
