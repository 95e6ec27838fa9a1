package scheduler

import (
	"log/slog"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
)

// memberReplica is a fake replica of a process with a given status.
type memberReplica struct {
	*fakeReplica
	status replica.Status
}

func (m *memberReplica) Status() replica.Status { return m.status }

// startMember returns the server of member c1 in a deployment whose state has
// worker w1.
func startMember(t *testing.T, status replica.Status) (*Server, *memberReplica, workstate.Worker) {
	f := newFixture(t, time.Second)
	m := &memberReplica{f.replica, status}
	s := &Server{replica: m, machine: f.machine, log: slog.New(slog.DiscardHandler), address: "admin-1", wake: func() {}, onHeartbeats: func([]workcall.HeardHeartbeat) {}, now: time.Now}
	w := workstate.Worker{ID: "w1", Address: "10.0.0.1:80", Service: "svc", VM: "vm-1", Incarnation: 5}
	if _, err := propose(t.Context(), m, &workstate.Command{Register: &w}, time.Now()); err != nil {
		t.Fatal(err)
	}
	return s, m, w
}

// TestFollowerAcknowledgesHeartbeatsWithoutNews guards against a leader that spends its processor on the heartbeats of the whole fleet.
func TestFollowerAcknowledgesHeartbeatsWithoutNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m, w := startMember(t, replica.Status{ID: "c1", Leader: "c2"})
		answer, known := s.KnownHeartbeat(workcall.HeartbeatRequest{Worker: w})
		if !known || answer.Status != workcall.OK || answer.NextAddress != "admin-1" {
			t.Errorf("%+v, known %v", answer, known)
		}
		if heard := s.heard.Take("c2"); !reflect.DeepEqual(heard, []workcall.HeardHeartbeat{{Worker: "w1", Incarnation: w.Incarnation, Capacity: &w.Capacity}}) {
			t.Errorf("the leader will be told of %v", heard)
		}
		draining, restarted, unknown := w, w, w
		draining.Draining, restarted.Incarnation, unknown.ID = true, 6, "w2"
		for name, news := range map[string]workstate.Worker{"draining": draining, "restarted": restarted, "unknown": unknown} {
			if _, known := s.KnownHeartbeat(workcall.HeartbeatRequest{Worker: news}); known {
				t.Errorf("a follower acknowledged a worker that is %s", name)
			}
		}
		for name, status := range map[string]replica.Status{
			"leads":              {ID: "c1", Leader: "c1"},
			"knows no leader":    {ID: "c1"},
			"is cut off from it": {ID: "c1", Leader: "c2", LeaderSilence: 2 * workcall.MaxLeaderSilence},
		} {
			m.status = status
			if _, known := s.KnownHeartbeat(workcall.HeartbeatRequest{Worker: w}); known {
				t.Errorf("a process that %s acknowledged a heartbeat as a follower", name)
			}
		}
	})
}

// TestHeardHeartbeatHasTheClockOfItsWorker guards against a leader that cannot tell a late heartbeat from one sent after a start.
func TestHeardHeartbeatHasTheClockOfItsWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m, w := startMember(t, replica.Status{ID: "c1", Leader: "c2"})
		want := []workcall.HeardHeartbeat{{Worker: "w1", Incarnation: w.Incarnation, Sequence: 3, ClockMS: 700, Capacity: &w.Capacity}}
		request := workcall.HeartbeatRequest{Worker: w, Sequence: 3, ClockMS: 700}
		if _, known := s.KnownHeartbeat(request); !known || !reflect.DeepEqual(s.heard.Take("c2"), want) {
			t.Error("a follower does not tell the leader of the clock")
		}
		m.status.Leader = "c1"
		s.onHeartbeats = func(heard []workcall.HeardHeartbeat) {
			if !reflect.DeepEqual(heard, want) {
				t.Errorf("the leader has heard %+v", heard)
			}
		}
		if _, err := s.Heartbeat(t.Context(), request); err != nil {
			t.Error(err)
		}
	})
}

// TestLeaderSendsHeartbeatsToItsFollowers names the member to which a worker of the leader turns next.
func TestLeaderSendsHeartbeatsToItsFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		members := []replica.Member{{ID: "c1", Link: "link-1", Admin: "admin-1"}, {ID: "c2", Link: "link-2", Admin: "admin-2"}, {ID: "c3", Link: "link-3", Admin: "admin-3"}}
		s, m, w := startMember(t, replica.Status{ID: "c1", Leader: "c1", Members: members, Responsive: []string{"link-3"}})
		answer, err := s.Heartbeat(t.Context(), workcall.HeartbeatRequest{Worker: w})
		if err != nil || answer.NextAddress != "admin-3" {
			t.Errorf("%+v %v", answer, err)
		}
		m.status.Responsive = nil
		answer, err = s.Heartbeat(t.Context(), workcall.HeartbeatRequest{Worker: w})
		if err != nil || answer.NextAddress != "admin-1" {
			t.Errorf("without followers: %+v %v", answer, err)
		}
	})
}

// TestHeartbeatsOfAWorkerRestartedWithAnEarlierClockCount guards against a drain that is acknowledged and ignored, and a worker without starts: a heartbeat of the former, removed incarnation counts as the newest for good.
func TestHeartbeatsOfAWorkerRestartedWithAnEarlierClockCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m, w := startMember(t, replica.Status{ID: "c1", Leader: "c1"})
		beat(t, s, w, 9, 8000)
		sequence := int64(9)
		if _, err := propose(t.Context(), m, &workstate.Command{Deregister: &workstate.Deregister{ID: "w1", Incarnation: w.Incarnation, Sequence: &sequence}}, time.Now()); err != nil {
			t.Fatal(err)
		}
		w.Incarnation--
		beat(t, s, w, 1, 2000)
		w.Draining = true
		beat(t, s, w, 2, 2000)
		s.machine.Read(func(v *workstate.View) {
			if known := v.Workers()["w1"]; known == nil || !known.Draining {
				t.Errorf("%+v is registered after the heartbeat of a draining worker", known)
			}
		})
		s.relayHeardOnce(t.Context(), nil)
		beat(t, s, w, 3, 2000)
		if newest, known := s.heard.NewestOf("w1"); !known || newest.Incarnation != w.Incarnation {
			t.Errorf("the newest heartbeat is %+v", newest)
		}
	})
}
