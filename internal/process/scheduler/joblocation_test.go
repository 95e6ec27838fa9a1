package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// TestCallAtAnotherLocationDoesNotReachTheJobWithItsID guards against a caller that reads or cancels an accepted job of another queue, host or account by the job's id.
func TestCallAtAnotherLocationDoesNotReachTheJobWithItsID(t *testing.T) {
	for _, format := range []int{workstate.FormatPacked, workstate.NewestFormat} {
		for name, key := range map[string]*catalog.KeyDigest{"no access control": nil, "the same account": keyOf("a"), "another account": keyOf("b")} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, time.Second)
					s := f.newServer()
					c := testCatalog()
					owner := key
					if key != nil {
						c, owner = catalogWithAccounts(2, "a", "b"), keyOf("a")
					}
					c.Version = 2
					c.Queues = append(c.Queues, catalog.Queue{Name: "o", Host: "host", PathPrefix: "/o/", Service: "svc"}, catalog.Queue{Name: "q2", Host: "host2", PathPrefix: "/q/", Service: "svc"})
					f.commit(&workstate.Command{Catalog: c})
					f.commit(&workstate.Command{RaiseFormat: &workstate.RaiseFormat{Format: format}})
					accepted := workcall.Location{Host: "host", Path: "/q/" + jobA}
					request := workcall.SubmitRequest{Location: accepted, Spec: workload.Spec{Steps: []workload.Step{step(1)}}, Key: owner}
					if answer, err := s.Submit(t.Context(), request); err != nil || answer.Status != workcall.OK {
						t.Fatalf("submission: %+v, %v", answer, err)
					}
					for _, at := range []workcall.Location{
						{Host: "host", Path: "/o/" + jobA}, {Host: "host2", Path: "/q/" + jobA}, {Host: "host", Path: "/nowhere/" + jobA},
						{Host: "host", Path: "/q/x/y/" + jobA}, {Host: "host", Path: "/q//" + jobA}, {Host: "host", Path: jobA}, {Host: "", Path: "host/q/" + jobA + "/"},
					} {
						// A call for an id that no job has is answered in the same way.
						unknown := workcall.Location{Host: at.Host, Path: at.Path[:len(at.Path)-len(jobA)] + "dddddddddddddddd"}
						want, err := s.Job(t.Context(), workcall.JobRequest{Location: unknown, Key: key})
						if err != nil || want.Status == workcall.OK {
							t.Fatalf("read of an unknown job at %+v: %+v, %v", unknown, want, err)
						}
						if read, err := s.Job(t.Context(), workcall.JobRequest{Location: at, Key: key}); err != nil || read != want {
							t.Errorf("read at %+v: %+v, %v, expected %+v", at, read, err, want)
						}
						if cancelled, err := s.Cancel(t.Context(), workcall.JobRequest{Location: at, Key: key}); err != nil || cancelled.Status != want.Status {
							t.Errorf("cancellation at %+v: %+v, %v, expected status %d", at, cancelled, err, want.Status)
						}
					}
					if read, err := s.Job(t.Context(), workcall.JobRequest{Location: accepted, Key: owner}); err != nil || read.Status != workcall.OK || read.Outcome != workstate.Open {
						t.Errorf("the accepted job: %+v, %v", read, err)
					}
				})
			})
		}
	}
}

// TestJobOfAQueueWhosePrefixEndsInNoSlashIsFound guards against a 410 for an accepted job, whose id was taken to begin after the last slash.
func TestJobOfAQueueWhosePrefixEndsInNoSlashIsFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		s := f.newServer()
		c := testCatalog()
		c.Version, c.Queues[0].PathPrefix = 2, "/v1-"
		f.commit(&workstate.Command{Catalog: c})
		at := workcall.Location{Host: "host", Path: "/v1-" + jobA}
		request := workcall.SubmitRequest{Location: at, Spec: workload.Spec{Steps: []workload.Step{step(1)}}}
		submit := func() {
			t.Helper()
			if answer, err := s.Submit(t.Context(), request); err != nil || answer.Status != workcall.OK {
				t.Fatalf("submission: %+v, %v", answer, err)
			}
		}
		submit()
		// The longer prefix covers the path of the job.
		next := testCatalog()
		next.Version, next.Queues[0].PathPrefix = 3, "/v1-"+jobA[:1]
		f.commit(&workstate.Command{Catalog: next})
		submit()
		if read, err := s.Job(t.Context(), workcall.JobRequest{Location: at}); err != nil || read.Status != workcall.OK {
			t.Errorf("read: %+v, %v", read, err)
		}
		if cancelled, err := s.Cancel(t.Context(), workcall.JobRequest{Location: at}); err != nil || cancelled.Status != workcall.OK {
			t.Errorf("cancellation: %+v, %v", cancelled, err)
		}
		if outcome := f.outcome(jobA); outcome != workstate.Cancelled {
			t.Errorf("outcome %d", outcome)
		}
	})
}
