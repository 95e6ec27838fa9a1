package scheduler

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/overload"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// readReplica calls onBarrier before it answers a barrier. If unknown is set, proposals
// have no result.
type readReplica struct {
	*fakeReplica
	onBarrier func()
	unknown   bool
}

func (r *readReplica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if r.unknown {
		return nil, replica.ErrUnknownResult
	}
	return r.fakeReplica.Propose(ctx, command)
}

func (r *readReplica) ReadBarrier(context.Context) error {
	r.onBarrier()
	return nil
}

// admissionFixture is a leader's server whose catalog has access control.
type admissionFixture struct {
	*fixture
	server  *Server
	replica *readReplica
}

func newAdmissionFixture(t *testing.T) *admissionFixture {
	f := &admissionFixture{fixture: newFixture(t, time.Second)}
	f.useAccessControl()
	f.replica = &readReplica{fakeReplica: f.fixture.replica, onBarrier: func() {}}
	f.server = f.newServer()
	f.server.replica = f.replica
	return f
}

func (f *fixture) useAccessControl() {
	c := testCatalog()
	c.Version, c.AccessControl, c.Queues[0].Anonymous = 2, true, true
	f.commit(&workstate.Command{Catalog: c})
}

// overload publishes a load of an hour.
func (f *admissionFixture) overload() {
	room := workload.Resources{MilliCPU: 1000, MemoryMB: 1000}
	pool := &overload.Pool{Room: room, Planned: room, InUse: 1, WaitingTasks: 1}
	// Work of a higher priority goes before jobs of every account.
	pool.Add("", 1, -1, false, 3600)
	f.server.admission.Load.Publish(&admit.Snapshot{At: time.Now(), Pools: map[string]*overload.Pool{"svc": pool}})
}

func newRequest(id, attempt string) workcall.SubmitRequest {
	return workcall.SubmitRequest{Location: workcall.Location{Host: "host", Path: "/q/" + id}, Spec: workload.Spec{Steps: []workload.Step{step(1)}}, Attempt: attempt}
}

func (f *admissionFixture) submit(id, attempt string) workcall.SubmitResponse {
	f.t.Helper()
	answer, err := f.server.Submit(context.Background(), newRequest(id, attempt))
	if err != nil {
		f.t.Error(err)
	}
	return answer
}

func (f *admissionFixture) expect(id, attempt string, wanted workcall.Status) {
	f.t.Helper()
	if answer := f.submit(id, attempt); answer.Status != wanted || wanted == workcall.Overloaded && answer.RetryAfterMS <= 0 {
		f.t.Errorf("job %s, attempt %q: answer %+v, expected status %d", id, attempt, answer, wanted)
	}
}

func (f *admissionFixture) has(id string) (known bool) {
	f.machine.Read(func(v *workstate.View) { known = v.Job(id) != nil })
	return known
}

// TestLateCopyOfARefusedAttemptIsRefused guards against a job that runs from a submission
// whose caller was answered 429.
func TestLateCopyOfARefusedAttemptIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFixture(t)
		f.overload()
		f.expect(jobA, "one", workcall.Overloaded)
		f.server.admission.Load.Drop()
		time.Sleep(9 * time.Second)
		f.expect(jobA, "one", workcall.Overloaded)
		if f.has(jobA) {
			t.Error("the job was accepted")
		}
		f.expect(jobA, "two", workcall.OK)
		f.overload()
		f.expect(jobA, "three", workcall.OK)
	})
}

// TestJobThatIsKnownAfterABarrierIsNotRefused guards against the refusal of a job that a
// former leader has accepted.
func TestJobThatIsKnownAfterABarrierIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFixture(t)
		f.replica.onBarrier = func() {
			if !f.has(jobA) {
				f.fixture.submit(jobA, step(1))
			}
		}
		f.overload()
		f.expect(jobA, "one", workcall.OK)
	})
}

// TestSubmissionInFlightAnswersItsCopies guards against a refusal while the same job is
// being proposed, and after a proposal whose result is unknown.
func TestSubmissionInFlightAnswersItsCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFixture(t)
		f.replica.setDelay(300 * time.Millisecond)
		go f.submit(jobA, "one")
		time.Sleep(100 * time.Millisecond)
		f.overload()
		start := time.Now()
		f.expect(jobA, "two", workcall.OK)
		if took := time.Since(start); took != 200*time.Millisecond {
			t.Errorf("answered after %s, expected the end of the proposal", took)
		}
		f.server.admission.Load.Drop()
		f.replica.unknown = true
		if _, err := f.server.Submit(context.Background(), newRequest("bbbbbbbbbbbbbbbb", "one")); err == nil {
			t.Fatal("the proposal has a result")
		}
		f.replica.unknown = false
		f.overload()
		f.expect("bbbbbbbbbbbbbbbb", "one", workcall.OK)
	})
}

// TestSubmissionInFlightAnswersOnlyItsAccount guards against a 200 for a key of another account, and against the 401 of one caller for another one, while the same job is being proposed.
func TestSubmissionInFlightAnswersOnlyItsAccount(t *testing.T) {
	for _, c := range []struct {
		first, second string
		want          workcall.Status
	}{
		{"a", "b", workcall.Forbidden},
		{"removed", "a", workcall.Overloaded},
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newAdmissionFixture(t)
			f.commit(&workstate.Command{Catalog: catalogWithAccounts(3, "a", "b", "removed")})
			submit := func(key string) workcall.SubmitResponse {
				r := newRequest(jobA, key)
				r.Key = keyOf(key)
				answer, err := f.server.Submit(context.Background(), r)
				if err != nil {
					t.Error(err)
				}
				return answer
			}
			f.replica.setDelay(200 * time.Millisecond)
			go f.commit(&workstate.Command{Catalog: catalogWithAccounts(4, "a", "b")})
			time.Sleep(100 * time.Millisecond)
			f.replica.setDelay(300 * time.Millisecond)
			go submit(c.first)
			time.Sleep(50 * time.Millisecond)
			f.overload()
			if answer := submit(c.second); answer.Status != c.want {
				t.Errorf("%s after %s: %+v, expected status %d", c.second, c.first, answer, c.want)
			}
		})
	}
}

// TestUnknownLoadAccepts guards against refusals by an old load, and where the catalog
// does not ask for them.
func TestUnknownLoadAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newAdmissionFixture(t)
		f.overload()
		time.Sleep(1100 * time.Millisecond)
		f.expect(jobA, "", workcall.OK)
		c := testCatalog()
		c.Version = 3
		f.commit(&workstate.Command{Catalog: c})
		f.overload()
		f.expect("bbbbbbbbbbbbbbbb", "", workcall.OK)
	})
}

// TestLoopPublishesItsLoad plays a pool of 4 cores that gets 40 jobs of 8 tasks at once. It guards
// against a load that leaves out waiting work or later steps.
func TestLoopPublishesItsLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.useAccessControl()
		f.addWorker("w1", 4000)
		f.lead()
		defer f.depose()
		var board admit.Board
		f.loop.post(func(l *loop) { l.admission.board = &board })
		time.Sleep(time.Second)
		if s := board.Newest(time.Now()); s == nil || s.Pools["svc"].WaitingTasks != 0 || s.Pools["svc"].Room.MilliCPU != 4000 {
			t.Fatalf("load of an idle pool: %+v", s)
		}
		first, second := step(8), step(8, 0)
		first.Estimate, second.Estimate = time.Second, time.Second
		for i := range 40 {
			f.submit(fmt.Sprintf("%016x", i), first, second)
		}
		time.Sleep(300 * time.Millisecond)
		pool := board.Newest(time.Now()).Pools["svc"]
		if pool.WaitingTasks != 316 || pool.InUse != 4 || len(pool.Backlogs) != 1 || pool.Backlogs[0].Owed != 636 {
			t.Errorf("load %+v", pool)
		}
	})
}
