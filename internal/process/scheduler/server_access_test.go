package scheduler

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/workcall"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

func keyOf(name string) *catalog.KeyDigest {
	digest := catalog.DigestKey(name)
	return &digest
}

// catalogWithAccounts returns the test catalog with access control, with one key, its
// name, for each account.
func catalogWithAccounts(version int64, names ...string) *catalog.Catalog {
	c := testCatalog()
	c.Version, c.AccessControl = version, true
	for _, name := range names {
		c.Accounts = append(c.Accounts, catalog.Account{Name: name, Keys: []catalog.KeyDigest{catalog.DigestKey(name)}, Weight: 100})
	}
	return c
}

// TestCallsAreCheckedByTheLeader guards against calls that a key of another account, or none, gets through.
func TestCallsAreCheckedByTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		s := f.newServer()
		f.commit(&workstate.Command{Catalog: catalogWithAccounts(2, "a", "b")})
		at := workcall.Location{Host: "host", Path: "/q/" + jobA}
		spec := workload.Spec{Steps: []workload.Step{step(1)}}
		ctx := context.Background()
		entries, accepted := f.replica.index, false
		for _, c := range []struct {
			key  *catalog.KeyDigest
			want workcall.Status
			// log is the number of commands that the calls add.
			log uint64
		}{
			{keyOf("other"), workcall.Unauthorized, 0},
			{nil, workcall.Unauthorized, 0},
			{keyOf("a"), workcall.OK, 1},
			{keyOf("a"), workcall.OK, 0},
			{keyOf("b"), workcall.Forbidden, 0},
			{keyOf("other"), workcall.Unauthorized, 0},
			{nil, workcall.Unauthorized, 0},
		} {
			submitted, err := s.Submit(ctx, workcall.SubmitRequest{Location: at, Spec: spec, Key: c.key})
			if err != nil || submitted.Status != c.want || f.replica.index-entries != c.log {
				t.Errorf("submission: %+v, %v, %d commands, expected status %d", submitted, err, f.replica.index-entries, c.want)
			}
			if c.want != workcall.OK && submitted.Known != accepted {
				t.Errorf("refused submission: %+v, the job is known: %t", submitted, accepted)
			}
			accepted = accepted || c.want == workcall.OK
			read, err := s.Job(ctx, workcall.JobRequest{Location: at, Key: c.key})
			if err != nil || read.Status != c.want {
				t.Errorf("read: %+v, %v, expected status %d", read, err, c.want)
			}
			if c.want != workcall.OK {
				cancelled, err := s.Cancel(ctx, workcall.JobRequest{Location: at, Key: c.key})
				if err != nil || cancelled.Status != c.want {
					t.Errorf("cancellation: %+v, %v, expected status %d", cancelled, err, c.want)
				}
			}
			entries = f.replica.index
		}
		count, err := s.Pending(ctx, workcall.PendingRequest{Location: workcall.Location{Host: "host", Path: "/q/"}})
		if err != nil || count.Status != workcall.Unauthorized || count.CatalogVersion != 2 {
			t.Errorf("count: %+v, %v", count, err)
		}
	})
}

// TestLaggingLeaderDoesNotDecideByItsOldCatalog guards against a repeated submission that a removed key gets answered, and against the refusal of a new key.
func TestLaggingLeaderDoesNotDecideByItsOldCatalog(t *testing.T) {
	machine := workstate.NewMachine()
	r := &laggingReplica{fakeReplica: &fakeReplica{machine: machine, term: 1}}
	s := &Server{replica: r, machine: machine, log: slog.New(slog.DiscardHandler), wake: func() {}, onJobAccepted: func(string) {}, now: time.Now}
	for _, c := range []struct {
		version         int64
		owner, job, key string
		want            workcall.Status
	}{
		{2, "a", jobA, "a", workcall.OK},
		{3, "b", jobA, "a", workcall.Unauthorized},
		{4, "c", "bbbbbbbbbbbbbbbb", "c", workcall.OK},
	} {
		r.committed = []*workstate.Command{{Catalog: catalogWithAccounts(c.version, c.owner)}}
		answer, err := s.Submit(t.Context(), workcall.SubmitRequest{
			Location: workcall.Location{Host: "host", Path: "/q/" + c.job}, Spec: workload.Spec{Steps: []workload.Step{step(1)}}, Key: keyOf(c.key),
		})
		if err != nil || answer.Status != c.want {
			t.Errorf("%+v: %+v, %v", c, answer, err)
		}
	}
}

// TestEndedJobIsReadAfterItsQueueWasRemoved guards against a 404 for a job whose state is still kept: it was submitted without a key, has ended, and its queue was removed.
func TestEndedJobIsReadAfterItsQueueWasRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, time.Second)
		s := f.newServer()
		open := catalogWithAccounts(2, "a")
		open.Queues[0].Anonymous = true
		f.commit(&workstate.Command{Catalog: open})
		at := workcall.Location{Host: "host", Path: "/q/" + jobA}
		spec := workload.Spec{Steps: []workload.Step{step(1)}}
		if answer, err := s.Submit(t.Context(), workcall.SubmitRequest{Location: at, Spec: spec}); err != nil || answer.Status != workcall.OK {
			t.Fatalf("submission: %+v, %v", answer, err)
		}
		if answer, err := s.Cancel(t.Context(), workcall.JobRequest{Location: at}); err != nil || answer.Status != workcall.OK {
			t.Fatalf("cancellation: %+v, %v", answer, err)
		}
		for version := range int64(2) {
			removed := catalogWithAccounts(3+version, "a")
			removed.Queues = nil
			f.commit(&workstate.Command{Catalog: removed})
			if answer, err := s.Job(t.Context(), workcall.JobRequest{Location: at}); err != nil || answer.Status != workcall.OK || answer.Outcome != workstate.Cancelled {
				t.Errorf("read: %+v, %v", answer, err)
			}
			if answer, err := s.Cancel(t.Context(), workcall.JobRequest{Location: at}); err != nil || answer.Status != workcall.OK {
				t.Errorf("repeated cancellation: %+v, %v", answer, err)
			}
		}
	})
}
