package scheduler

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/heartbeats"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// fixture is a leader with fake workers and a fake platform.
type fixture struct {
	t       *testing.T
	replica *fakeReplica
	machine *workstate.Machine
	workers *fakeWorkers
	vms     *fakePlatform
	limits  Limits
	adviser execution.Adviser
	// heard holds the heartbeats that the leader knows.
	heard heartbeats.Table
	end   context.CancelFunc
	ended chan struct{}
	loop  *loop
}

// testCatalog returns a configuration with one queue on the service "svc" and a
// standby pool.
func testCatalog() *catalog.Catalog {
	return &catalog.Catalog{
		Version:  1,
		Queues:   []catalog.Queue{{Name: "q", Host: "host", PathPrefix: "/q/", Service: "svc", Timeout: time.Second, MaxAttempts: 2, Stretch: 2, TargetLatency: time.Second}},
		Services: []catalog.Service{{Name: "svc", EnforcesCapacity: true}, {Name: "spare", Standby: true}},
	}
}

// newFixture returns a fixture without a leader. It must be called in a
// synctest bubble.
func newFixture(t *testing.T, duration time.Duration) *fixture {
	machine := workstate.NewMachine()
	f := &fixture{t: t, machine: machine, workers: newFakeWorkers(t, duration), vms: newFakePlatform()}
	f.limits = Limits{StopTimeout: 200 * time.Millisecond, LongestLease: longestLease * time.Millisecond, HolderLease: 3 * time.Second, Retention: 120 * time.Second, ActionRate: 64, HeartbeatInterval: heartbeatInterval, CapacityGrace: capacityGrace}
	f.replica = &fakeReplica{machine: machine, delay: 10 * time.Millisecond, term: 1}
	f.commit(&workstate.Command{Catalog: testCatalog()})
	return f
}

// newServer returns a server of the process that leads.
func (f *fixture) newServer() *Server {
	return &Server{replica: f.replica, machine: f.machine, log: slog.New(slog.DiscardHandler), wake: func() {}, onJobAccepted: func(string) {}, now: time.Now}
}

// commitUnseen commits a command of which the loop is not told.
func (f *fixture) commitUnseen(c *workstate.Command) workstate.Result {
	f.t.Helper()
	result, err := propose(context.Background(), f.replica, c, time.Now())
	if err != nil {
		f.t.Fatal(err)
	}
	return result
}

func (f *fixture) commit(c *workstate.Command) workstate.Result {
	f.t.Helper()
	result := f.commitUnseen(c)
	if f.loop != nil {
		f.loop.post(func(l *loop) { l.dirty = true })
	}
	return result
}

// addWorker adds a worker of "svc" on a VM of its own and registers it.
func (f *fixture) addWorker(id string, milliCPU int64) *fakeWorker {
	w := f.workers.add(id, milliCPU)
	f.register(w, "vm-"+id, "svc")
	return w
}

func (f *fixture) register(w *fakeWorker, vm, service string) {
	f.commit(&workstate.Command{Register: f.heartbeat(w, vm, service)})
	f.workers.mu.Lock()
	heard := w.heard()
	f.workers.mu.Unlock()
	f.heard.AddAll([]workcall.HeardHeartbeat{heard})
}

// heartbeat returns the next heartbeat of a worker.
func (f *fixture) heartbeat(w *fakeWorker, vm, service string) *workstate.Worker {
	f.workers.mu.Lock()
	defer f.workers.mu.Unlock()
	return &workstate.Worker{ID: w.id, Address: w.id, Service: service, VM: vm, Incarnation: w.incarnation, Capacity: w.capacity, Labels: w.labels, Sequence: w.announce(), FirstClockMS: w.clock()}
}

// leadWithJob starts a leader and submits jobA. Its tasks execute half a second later,
// when the function returns.
func (f *fixture) leadWithJob(steps ...workload.Step) {
	f.t.Helper()
	f.lead()
	time.Sleep(time.Second)
	f.submit(jobA, steps...)
	time.Sleep(500 * time.Millisecond)
}

// announceDrain commits the heartbeat by which a worker of "svc" announces that it drains.
func (f *fixture) announceDrain(w *fakeWorker, vm string) {
	heartbeat := f.heartbeat(w, vm, "svc")
	heartbeat.Draining = true
	f.commit(&workstate.Command{Register: heartbeat})
}

func (f *fixture) submit(id string, steps ...workload.Step) {
	f.t.Helper()
	spec := workload.Spec{Payload: "p", Steps: steps}
	f.workers.mu.Lock()
	f.workers.submitted[id] = spec
	f.workers.mu.Unlock()
	if r := f.commit(&workstate.Command{Submit: &workstate.Submit{ID: id, Host: "host", Path: "/q/" + id, Spec: spec}}); r.Code != workstate.OK {
		f.t.Fatalf("submit: %+v", r)
	}
}

// lead starts a leader with the replica's term.
func (f *fixture) lead() { f.leadWith(f.replica) }

// leadWith is lead with another replica of the same state.
func (f *fixture) leadWith(r replica.Replica) {
	ctx, cancel := context.WithCancel(context.Background())
	f.end = cancel
	f.ended = make(chan struct{})
	f.loop = newLoop(ctx, Options{
		Replica: r, Machine: f.machine, Workers: f.workers, Platform: f.vms, Adviser: f.adviser, Holder: "c1",
		Limits: f.limits,
		Log:    slog.New(slog.NewTextHandler(testLog{f.t}, nil)), Now: time.Now,
	}, f.replica.term)
	f.loop.heard = &f.heard
	go f.sendKnownHeartbeats(ctx)
	loop, ended := f.loop, f.ended
	go func() {
		loop.run()
		close(ended)
	}()
}

// sendKnownHeartbeats sends the heartbeats of workers that say what is registered.
func (f *fixture) sendKnownHeartbeats(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeatInterval):
		}
		f.workers.mu.Lock()
		f.machine.Read(func(v *workstate.View) {
			for id, w := range f.workers.workers {
				if reg := v.Workers()[id]; !w.unreachable && reg != nil && reg.Incarnation == w.incarnation && reg.Capacity == w.capacity {
					w.announce()
					f.heard.AddAll([]workcall.HeardHeartbeat{w.heard()})
				}
			}
		})
		f.workers.mu.Unlock()
	}
}

// depose stops the leader. The next one has a higher term.
func (f *fixture) depose() {
	f.end()
	<-f.ended
	// A call to a fake worker may be in its last sleep.
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
	f.loop = nil
	f.replica.term++
}

func (f *fixture) outcome(id string) workstate.Outcome {
	var outcome workstate.Outcome
	f.machine.Read(func(v *workstate.View) { outcome = v.Job(id).Outcome })
	return outcome
}

// await waits for a job to have an outcome.
func (f *fixture) await(id string, wanted workstate.Outcome, limit time.Duration) {
	f.t.Helper()
	for end := time.Now().Add(limit); f.outcome(id) != wanted; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("job %s is %d after %s, expected %d", id, f.outcome(id), limit, wanted)
		}
	}
}

// testLog writes log lines to the test's log in verbose mode.
type testLog struct{ t *testing.T }

func (l testLog) Write(line []byte) (int, error) {
	if testing.Verbose() {
		l.t.Log(string(line))
	}
	return len(line), nil
}

var _ io.Writer = testLog{}
