package scheduler

import (
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/replica"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestRestartedWorkerLosesTheLabelsOfItsFormerIncarnation guards against tasks that start on a worker without their required label, since it restarted as another kind and has sent no heartbeat yet.
func TestRestartedWorkerLosesTheLabelsOfItsFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 10*time.Second)
		defer time.Sleep(time.Second)
		w := f.addWorker("w1", 4000)
		w.labels = []string{"a"}
		f.register(w, "vm-w1", "svc")
		f.lead()
		defer f.depose()
		time.Sleep(time.Second)
		f.workers.mu.Lock()
		f.workers.crash(w)
		next := f.workers.add("w1", 4000)
		next.labels = []string{"b"}
		f.workers.mu.Unlock()
		time.Sleep(time.Second)
		labelled := step(1)
		labelled.RequiredLabel = "a"
		f.submit(jobA, labelled)
		time.Sleep(2 * time.Second)
		if next.executes(f.workers, workload.TaskID{Job: jobA}) {
			t.Error("a task that requires label a executes on a worker with label b")
		}
		f.machine.Read(func(v *workstate.View) {
			if reg := v.Workers()["w1"]; reg.Incarnation != next.incarnation {
				t.Errorf("incarnation %d is registered, want %d", reg.Incarnation, next.incarnation)
			}
		})
	})
}

// TestHeartbeatWithOtherLabelsIsNews guards against labels that no later heartbeat of the worker corrects.
func TestHeartbeatWithOtherLabelsIsNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m, w := startMember(t, replica.Status{ID: "c1", Leader: "c2"})
		w.Labels = []string{"b"}
		if _, known := s.KnownHeartbeat(workcall.HeartbeatRequest{Worker: w}); known {
			t.Error("a follower acknowledged other labels")
		}
		m.status.Leader = "c1"
		if _, err := s.Heartbeat(t.Context(), workcall.HeartbeatRequest{Worker: w}); err != nil {
			t.Fatal(err)
		}
		s.machine.Read(func(v *workstate.View) {
			if got := v.Workers()["w1"].Labels; !slices.Equal(got, w.Labels) {
				t.Errorf("labels %v are registered, want %v", got, w.Labels)
			}
		})
	})
}

// TestEachFieldOfAHeartbeatIsNews guards against a registration that no later heartbeat corrects, since a field that the heartbeat states is not compared: labels were not, nor was the zone.
func TestEachFieldOfAHeartbeatIsNews(t *testing.T) {
	// The leader sets these itself, or orders heartbeats by them.
	ignored := []string{"ID", "Restarted", "Sequence", "Leaving", "EndsByOrder", "FirstClockMS"}
	fields := reflect.TypeFor[workstate.Worker]()
	for i := range fields.NumField() {
		field := fields.Field(i)
		if slices.Contains(ignored, field.Name) {
			continue
		}
		t.Run(field.Name, func(t *testing.T) {
			registered := workstate.Worker{ID: "w1", Labels: []string{"a"}}
			heartbeat := registered
			switch value := reflect.ValueOf(&heartbeat).Elem().Field(i).Addr().Interface().(type) {
			case *string:
				*value = "other"
			case *int64:
				*value = 7
			case *bool:
				*value = true
			case *[]string:
				*value = []string{"b"}
			case *workload.Resources:
				value.MilliCPU = 7
			default:
				t.Fatalf("no other value of type %T", value)
			}
			if sameWorker(&registered, &heartbeat) {
				t.Error("a heartbeat with another value has no news")
			}
		})
	}
}
