package explain

import (
	"context"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusward.example/arbutusward/internal/process/scheduler/admit"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/access"
	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/overload"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const newID = "00000000000000aa"

var testQueue = catalog.Queue{Name: "q", Host: "h", PathPrefix: "/q/", Service: "svc", Timeout: time.Second, Stretch: 2, TargetLatency: time.Second}

// testSnapshot is of a job with four tasks of a core and a later step, behind another
// account's step of three tasks, on two workers of four cores.
func testSnapshot() *Snapshot {
	core := workload.Resources{MilliCPU: 1000}
	steps := []workload.Step{{Count: 4, Need: core, Estimate: time.Second}, {Count: 1, Need: core, Estimate: time.Second, DependsOn: []int{0}}}
	list := []catalog.Account{{Name: "a", Weight: 1, Limit: workload.Resources{MilliCPU: 4000}}, {Name: "b", Weight: 1}}
	now := time.UnixMilli(1_000_000)
	return &Snapshot{
		Subject: Subject{Queue: &testQueue, Account: &list[0], ID: newID, Spec: &workload.Spec{Steps: steps}},
		At:      now,
		Groups: []*placement.Group{
			{Job: newID, Account: "a", Service: "svc", Charge: core, Indexes: []int{0, 1, 2, 3}, Total: 4, Rank: 2},
			{Job: "after", Account: "b", Service: "svc", Charge: core, Indexes: []int{0, 1, 2, 3}, Total: 4, Rank: 3},
			{Job: "before", Account: "b", Service: "svc", Charge: core, Indexes: []int{0, 1, 2}, Total: 3, Rank: 1},
		},
		Open: []*placement.Worker{
			{ID: "w1", Service: "svc", Free: workload.Resources{MilliCPU: 4000}},
			{ID: "w2", Service: "svc", Free: workload.Resources{MilliCPU: 4000}},
		},
		AnsweredAt: map[string]time.Time{"w1": now.Add(-300 * time.Millisecond)},
		Accounts:   fairshare.New(list),
	}
}

// TestReasonWhyTasksWait guards against an explanation that differs from what the plan
// does: tasks that it lets start although something holds them back, or a wrong reason.
func TestReasonWhyTasksWait(t *testing.T) {
	cases := map[string]struct {
		change  func(*Snapshot)
		starts  int
		reason  string
		waiting int
	}{
		"room":   {func(*Snapshot) {}, 4, "", 0},
		"quota":  {func(s *Snapshot) { s.Accounts.Executes("a", workload.Resources{MilliCPU: 3000}) }, 1, ReasonQuota, 3},
		"behind": {func(s *Snapshot) { s.Open = s.Open[:1] }, 1, ReasonRoom, 3},
		"label":  {func(s *Snapshot) { s.Groups[0].Label = "gpu" }, 0, ReasonLabel + " gpu", 4},
		"none":   {func(s *Snapshot) { s.Open = nil }, 0, ReasonNoWorker, 4},
		"gang": {func(s *Snapshot) {
			s.Groups[0].Gang, s.Open = true, s.Open[:1]
		}, 0, ReasonGang, 4},
		"few on each": {func(s *Snapshot) { s.Groups[0].MaxPerWorker = 1 }, 2, ReasonMaxPerWorker, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := testSnapshot()
			c.change(s)
			a := Explain(s)
			first, starts := a.Steps[0], 0
			for _, on := range first.Starts {
				starts += on.Tasks
			}
			if starts != c.starts || first.Reason != c.reason || first.Waiting != c.waiting {
				t.Errorf("%+v, expected %d starts and %d waiting for %q", first, c.starts, c.waiting, c.reason)
			}
			if o := first.Order; o.StepsBefore != 1 || o.TasksBefore != 3 || o.OwnTasksBefore != 0 || o.Tier != "in time" {
				t.Errorf("order %+v", o)
			}
			if later := a.Steps[1]; later.Reason != ReasonEarlier || later.Waiting != 1 || later.Order != nil {
				t.Errorf("later step %+v", later)
			}
		})
	}
}

// TestSubmissionIsJudgedLikeByAdmission guards against an explanation that promises what
// a full pool refuses, under an hour's backlog of the account.
func TestSubmissionIsJudgedLikeByAdmission(t *testing.T) {
	s := testSnapshot()
	room := workload.Resources{MilliCPU: 8000, MemoryMB: 8000}
	pool := &overload.Pool{Room: room, Planned: room, InUse: 8, Running: 8, WaitingTasks: 100}
	pool.Add("a", 1, 0, false, 8*3600)
	s.Load = &admit.Snapshot{At: s.At.Add(-50 * time.Millisecond), Pools: map[string]*overload.Pool{"svc": pool}}
	got := Explain(s).Admission
	if got.Outcome != Refused || got.Reason != string(overload.TooLate) || got.RetryAfterMS < 1000 || got.LoadAgeMS != 50 {
		t.Errorf("%+v", got)
	}
	s = testSnapshot()
	s.Malformed = true
	if got := Explain(s).Admission; got.Outcome != Refused {
		t.Errorf("a job with a malformed id: %+v", got)
	}
}

func apply(t *testing.T, m *workstate.Machine, c workstate.Command) {
	t.Helper()
	encoded, err := cbor.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	m.Apply(1, encoded)
}

// TestExamineChangesNothingAndTellsNoStranger guards against a query that takes a token
// of its account, and against answers to callers whose key is refused.
func TestExamineChangesNothingAndTellsNoStranger(t *testing.T) {
	known := "00000000000000bb"
	m := workstate.NewMachine()
	account := func(name string) catalog.Account {
		return catalog.Account{Name: name, Weight: 1, Keys: []catalog.KeyDigest{catalog.DigestKey(name)}}
	}
	apply(t, m, workstate.Command{AtMS: 1, Catalog: &catalog.Catalog{
		Version: 1, Queues: []catalog.Queue{testQueue}, Services: []catalog.Service{{Name: "svc"}},
		Accounts: []catalog.Account{account("a"), account("b")}, AccessControl: true,
	}})
	spec := workload.Spec{Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 1}}}}
	digest := catalog.DigestKey("a")
	// The bucket of an account of weight 1 holds five jobs.
	for _, id := range []string{known, "00000000000000b1", "00000000000000b2", "00000000000000b3", "00000000000000b4"} {
		apply(t, m, workstate.Command{AtMS: 5000, Submit: &workstate.Submit{ID: id, Host: "h", Path: "/q/" + id, Spec: spec, Key: &digest}})
	}
	before, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		key, id  string
		reason   access.Reason
		known    bool
		overRate bool
	}{
		{"a", newID, access.Allowed, false, true},
		{"a", newID, access.Allowed, false, true},
		{"b", newID, access.Allowed, false, false},
		{"a", known, access.Allowed, true, true},
		{"b", known, access.OtherAccount, false, false},
		{"x", known, access.UnknownKey, false, false},
		{"", newID, access.KeyMissing, false, false},
	} {
		var key *catalog.KeyDigest
		if c.key != "" {
			digest := catalog.DigestKey(c.key)
			key = &digest
		}
		var s Subject
		m.Read(func(v *workstate.View) {
			s = Examine(v, Query{Host: "h", Path: "/q/" + c.id, Key: key, Spec: &spec}, 5000)
		})
		if s.Denied != c.reason || (s.Known != nil) != c.known || s.OverRate != c.overRate {
			t.Errorf("key %q, job %s: %+v", c.key, c.id, s)
		}
		if s.Denied != access.Allowed && (s.Spec != nil || s.Account != nil || Explain(&Snapshot{Subject: s}).Admission != nil) {
			t.Errorf("key %q is refused and told %+v", c.key, s)
		}
	}
	after, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded(t, before), decoded(t, after)) {
		t.Error("the state has changed")
	}
	apply(t, m, workstate.Command{AtMS: 6000, Catalog: &catalog.Catalog{
		Version: 2, Queues: []catalog.Queue{{Name: "other", Host: "h", PathPrefix: "/other/", Service: "svc"}}, Services: []catalog.Service{{Name: "svc"}},
		Accounts: []catalog.Account{account("a"), account("b")}, AccessControl: true,
	}})
	m.Read(func(v *workstate.View) {
		if s := Examine(v, Query{Host: "h", Path: "/q/" + known, Key: &digest}, 5000); s.Known == nil || s.Queue == nil || s.ID != known {
			t.Errorf("a known job by the path of its removed queue: %+v", s)
		}
		s := Examine(v, Query{Host: "h", Path: "/other/" + known, Key: &digest, Spec: &spec}, 5000)
		if admission := Explain(&Snapshot{Subject: s}).Admission; s.Known != nil || admission == nil || admission.Outcome != Refused {
			t.Errorf("the id of a known job at another location: %+v", s)
		}
	})
}

// decoded returns the content of a snapshot. Its encoding lists maps in any order.
func decoded(t *testing.T, snapshot []byte) (content any) {
	t.Helper()
	if err := cbor.Unmarshal(snapshot, &content); err != nil {
		t.Fatal(err)
	}
	return content
}

// TestQueriesArePaced guards against queries that take the leader's time from its rounds.
func TestQueriesArePaced(t *testing.T) {
	p, now := Pacer{}, time.Now()
	for i := range 9 {
		if wait, err := p.reserve(now); err != nil || wait != time.Duration(i)*interval {
			t.Errorf("query %d waits %s: %v", i, wait, err)
		}
	}
	if err := p.Wait(context.Background()); !errors.Is(err, ErrBusy) {
		t.Errorf("one more: %v", err)
	}
}
