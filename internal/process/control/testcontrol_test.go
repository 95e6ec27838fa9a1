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

// TakeDelays returns none.
func (r *fakeReplica) TakeDelays() replica.Delays { return replica.Delays{} }

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

// isDraining reports whether b-4, the VM that apply moves, is draining.
func (c *testControl) isDraining() bool { return c.vm("b-4").Phase == view.Draining }

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
