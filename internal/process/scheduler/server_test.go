package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestKnownJobIsAcceptedAgainWithoutALogEntry submits a job again, like a
// client whose answer was late. The log must not grow.
func TestKnownJobIsAcceptedAgainWithoutALogEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		s := f.newServer()
		request := workcall.SubmitRequest{Location: workcall.Location{Host: "host", Path: "/q/" + jobA}, Spec: workload.Spec{Steps: []workload.Step{step(1)}}}
		for range 3 {
			if answer, err := s.Submit(context.Background(), request); err != nil || answer.Status != workcall.OK {
				t.Fatalf("answer %+v, error %v", answer, err)
			}
		}
		// The first command is the fixture's configuration.
		if f.replica.index != 2 {
			t.Errorf("%d commands in the log, expected the configuration and the job", f.replica.index)
		}
	})
}

// TestRepeatedSubmissionFollowsTheAcceptedJob guards against a 404 or 400 for a job that runs or has run: its route was removed after it was accepted.
func TestRepeatedSubmissionFollowsTheAcceptedJob(t *testing.T) {
	request := workcall.SubmitRequest{Location: workcall.Location{Host: "host", Path: "/q/" + jobA}, Spec: workload.Spec{Steps: []workload.Step{step(1)}}}
	for name, c := range map[string]struct {
		accessControl, ended bool
		queues               []catalog.Queue
	}{
		"no queue":                     {},
		"ended":                        {ended: true},
		"another queue":                {queues: []catalog.Queue{{Name: "all", Host: "host", PathPrefix: "/", Service: "svc"}}},
		"access control":               {accessControl: true},
		"access control, ended":        {accessControl: true, ended: true},
		"access control, another open": {accessControl: true, queues: []catalog.Queue{{Name: "all", Host: "host", PathPrefix: "/", Service: "svc", Anonymous: true}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, time.Second)
				s := f.newServer()
				next := testCatalog()
				next.Version, next.AccessControl, next.Queues[0].Anonymous = 2, c.accessControl, true
				f.commit(&workstate.Command{Catalog: next})
				submit := func(path string) workcall.Status {
					at := request
					at.Path = path
					answer, err := s.Submit(t.Context(), at)
					if err != nil {
						t.Error(err)
					}
					return answer.Status
				}
				if status := submit("/q/" + jobA); status != workcall.OK {
					t.Fatalf("status %d", status)
				}
				if c.ended {
					f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: jobA, Host: "host", Path: "/q/" + jobA}})
				}
				removed := testCatalog()
				removed.Version, removed.AccessControl, removed.Queues = 3, c.accessControl, c.queues
				f.commit(&workstate.Command{Catalog: removed})
				if status := submit("/q/" + jobA); status != workcall.OK {
					t.Errorf("repeated submission of an accepted job: status %d", status)
				}
				if status := submit("/q/" + jobB); status == workcall.OK {
					t.Error("a new job is accepted though its route was removed")
				}
				if status := submit("/other/" + jobA); status == workcall.OK {
					t.Error("a submission at another location is taken for a repetition")
				}
				// The leader has proposed the repetition before it knew of the job.
				late := &workstate.Command{Submit: &workstate.Submit{ID: jobA, Host: "host", Path: "/q/" + jobA, Spec: request.Spec}}
				if result := f.commit(late); result.Code != workstate.OK || !result.Repeated {
					t.Errorf("repeated command of an accepted job: %+v", result)
				}
			})
		})
	}
}

// TestJobIDOfAnotherQueueIsNotARepetition guards against a submission that is answered as accepted, and never runs, since a job of another queue has its id.
func TestJobIDOfAnotherQueueIsNotARepetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		s := f.newServer()
		next := testCatalog()
		next.Version = 2
		next.Queues = append(next.Queues, catalog.Queue{Name: "o", Host: "host", PathPrefix: "/o/", Service: "svc"})
		f.commit(&workstate.Command{Catalog: next})
		spec := workload.Spec{Steps: []workload.Step{step(1)}}
		for _, c := range []struct {
			path string
			want workcall.Status
		}{{"/q/", workcall.OK}, {"/o/", workcall.Overloaded}, {"/q/", workcall.OK}} {
			answer, err := s.Submit(t.Context(), workcall.SubmitRequest{Location: workcall.Location{Host: "host", Path: c.path + jobA}, Spec: spec})
			if err != nil || answer.Status != c.want {
				t.Errorf("submission to %s: %+v, %v, expected status %d", c.path, answer, err, c.want)
			}
			if c.want == workcall.Overloaded && (answer.RetryAfterMS <= 0 || answer.Known) {
				t.Errorf("submission to %s: %+v, expected a time to retry after", c.path, answer)
			}
		}
		// The leader has proposed the other job before it knew of the first one.
		late := &workstate.Command{Submit: &workstate.Submit{ID: jobA, Host: "host", Path: "/o/" + jobA, Spec: spec}}
		if result := f.commit(late); result.Code != workstate.OtherJob {
			t.Errorf("command of a job whose id is taken: %+v", result)
		}
		// Once the first job is gone, the same submission is accepted.
		f.commit(&workstate.Command{Cancel: &workstate.Cancel{ID: jobA, Host: "host", Path: "/q/" + jobA}})
		f.commit(&workstate.Command{AtMS: time.Now().UnixMilli(), PurgeJobs: &workstate.PurgeJobs{EndedBeforeMS: time.Now().Add(time.Hour).UnixMilli()}})
		answer, err := s.Submit(t.Context(), workcall.SubmitRequest{Location: workcall.Location{Host: "host", Path: "/o/" + jobA}, Spec: spec})
		if err != nil || answer.Status != workcall.OK {
			t.Errorf("submission after the other job was purged: %+v, %v", answer, err)
		}
	})
}
