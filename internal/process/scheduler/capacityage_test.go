package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// outlivedCapacity is a time after which a capacity that has shrunk counts no more.
const outlivedCapacity = heartbeatInterval + capacityGrace + 100*time.Millisecond

// TestNewLeaderStartsNothingByACapacityOfLongAgo guards against a worker over its capacity, which has shrunk while there was no leader.
func TestNewLeaderStartsNothingByACapacityOfLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.stopEnforcingCapacity()
		w := f.addWorker("w1", 2000)
		f.lead()
		time.Sleep(time.Second)
		f.depose()
		w.resize(1000)
		time.Sleep(outlivedCapacity)
		f.submit(jobA, step(2))
		f.lead()
		defer f.depose()
		time.Sleep(heartbeatInterval)
		f.register(w, "vm-w1", "svc")
		f.await(jobA, workstate.Succeeded, 4*time.Second)
	})
}

// TestNewLeaderOrdersNoRecordedRunByACapacityOfLongAgo guards against the same by a start order that a former leader has recorded but not sent.
func TestNewLeaderOrdersNoRecordedRunByACapacityOfLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.stopEnforcingCapacity()
		w := f.addWorker("w1", 1000)
		w.resize(0)
		time.Sleep(outlivedCapacity)
		f.submit(jobA, step(1))
		f.commit(&workstate.Command{Progress: &workstate.Progress{Starts: []workstate.Start{{Task: workload.TaskID{Job: jobA}, Run: 1, Worker: "w1", Incarnation: w.incarnation}}}})
		f.lead()
		defer f.depose()
		time.Sleep(heartbeatInterval)
		f.addWorker("w2", 1000)
		f.await(jobA, workstate.Succeeded, 5*time.Second)
	})
}

// TestWorkerWhoseHeartbeatsAreLostGetsNothingByItsFormerCapacity guards against the same under a leader that the worker answers.
func TestWorkerWhoseHeartbeatsAreLostGetsNothingByItsFormerCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		f.stopEnforcingCapacity()
		w := f.addWorker("w1", 2000)
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		w.resize(1000)
		time.Sleep(outlivedCapacity)
		f.submit(jobA, step(2))
		time.Sleep(heartbeatInterval)
		f.register(w, "vm-w1", "svc")
		f.await(jobA, workstate.Succeeded, 4*time.Second)
	})
}

// TestNewLeaderThatHasHeardAWorkerStartsAtOnce guards against a pause after each change of leader.
func TestNewLeaderThatHasHeardAWorkerStartsAtOnce(t *testing.T) {
	for name, enforces := range map[string]bool{"enforces its capacity": true, "does not enforce it": false} {
		synctest.Test(t, func(t *testing.T) {
			f := newFixture(t, 100*time.Millisecond)
			if !enforces {
				f.stopEnforcingCapacity()
			}
			f.addWorker("w1", 1000)
			if enforces {
				f.heard.ForgetOthers(func(string, int64) bool { return false })
			}
			time.Sleep(time.Second)
			f.submit(jobA, step(1))
			f.lead()
			defer f.depose()
			time.Sleep(200 * time.Millisecond)
			if f.outcome(jobA) != workstate.Succeeded {
				t.Errorf("no task started on a worker that %s", name)
			}
		})
	}
}

// TestHeartbeatTellsACapacityOnlyOfItsOwnTime guards against a late heartbeat, or one of another incarnation, that is taken for the present.
func TestHeartbeatTellsACapacityOnlyOfItsOwnTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		capacity := func(milliCPU int64) *workload.Resources { return &workload.Resources{MilliCPU: milliCPU} }
		age := Limits{HeartbeatInterval: heartbeatInterval, CapacityGrace: capacityGrace}.maxCapacityAge()
		for name, c := range map[string]struct {
			heartbeat workcall.HeardHeartbeat
			known     bool
		}{
			"recent":                 {workcall.HeardHeartbeat{Incarnation: 7, ClockMS: 20_000, Capacity: capacity(2000)}, true},
			"with more capacity":     {workcall.HeardHeartbeat{Incarnation: 7, ClockMS: 20_000, Capacity: capacity(3000)}, true},
			"with less capacity":     {workcall.HeardHeartbeat{Incarnation: 7, ClockMS: 20_000, Capacity: capacity(1000)}, false},
			"of a former worker":     {workcall.HeardHeartbeat{Incarnation: 6, ClockMS: 20_000, Capacity: capacity(2000)}, false},
			"sent long ago":          {workcall.HeardHeartbeat{Incarnation: 7, ClockMS: 20_000 - age.Milliseconds() - 1, Capacity: capacity(2000)}, false},
			"without a clock":        {workcall.HeardHeartbeat{Incarnation: 7, Capacity: capacity(2000)}, true},
			"of an earlier software": {workcall.HeardHeartbeat{Incarnation: 7, ClockMS: 20_000}, true},
		} {
			l := newLoop(t.Context(), Options{Limits: Limits{HeartbeatInterval: heartbeatInterval, CapacityGrace: capacityGrace}}, 1)
			w := &worker{reg: workstate.Worker{ID: "w1", Incarnation: 7, Capacity: *capacity(2000)}}
			w.lease.Record(20_000, time.Now())
			if l.capacityKnown(w, time.Now()) {
				t.Error("known without a heartbeat")
			}
			c.heartbeat.Worker = "w1"
			l.heard.AddAll([]workcall.HeardHeartbeat{c.heartbeat})
			if known := l.capacityKnown(w, time.Now()); known != c.known {
				t.Errorf("heartbeat %s: known %t", name, known)
			}
			if l.capacityKnown(w, time.Now().Add(age+time.Millisecond)) {
				t.Errorf("heartbeat %s: known for ever", name)
			}
		}
	})
}
