package workstate

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// catalogWithAccounts returns a catalog with access control in which each account has
// one key, its name, and the given weight.
func catalogWithAccounts(version int64, weight float64, names ...string) *catalog.Catalog {
	c := testCatalog(version)
	c.AccessControl = true
	for _, name := range names {
		c.Accounts = append(c.Accounts, catalog.Account{Name: name, Keys: []catalog.KeyDigest{catalog.DigestKey(name)}, Weight: weight})
	}
	return c
}

func keyOf(name string) *catalog.KeyDigest {
	if name == "" {
		return nil
	}
	digest := catalog.DigestKey(name)
	return &digest
}

// submitWith submits a job of one task with the key of an account at a time.
func submitWith(t *testing.T, m *Machine, id, account string, atMS int64) Code {
	t.Helper()
	spec := workload.Spec{Steps: []workload.Step{{Count: 1, Need: workload.Resources{MilliCPU: 500}}}}
	return apply(t, m, Command{AtMS: atMS, Submit: &Submit{ID: id, Host: "h", Path: "/q/" + id, Spec: spec, Key: keyOf(account)}}).Code
}

func cancelWith(t *testing.T, m *Machine, id, account string) Code {
	t.Helper()
	return apply(t, m, Command{Cancel: &Cancel{ID: id, Host: "h", Path: "/q/" + id, Key: keyOf(account)}}).Code
}

func jobNumber(n int) string { return fmt.Sprintf("%016x", n) }

// TestKeyIsCheckedWhenTheCommandIsApplied guards against a job that runs although its key was taken away between the leader's check and the commit.
func TestKeyIsCheckedWhenTheCommandIsApplied(t *testing.T) {
	m := NewMachine()
	apply(t, m, Command{Catalog: catalogWithAccounts(1, 100, "a", "b")})
	if code := submitWith(t, m, jobNumber(1), "a", 1); code != OK {
		t.Fatalf("code %d", code)
	}
	apply(t, m, Command{Catalog: catalogWithAccounts(2, 100, "b")})
	for _, m := range []*Machine{m, restoreCopy(t, m)} {
		if code := submitWith(t, m, jobNumber(2), "a", 2); code != Unauthorized || m.data.Jobs[jobNumber(2)] != nil {
			t.Errorf("submission with a removed key: code %d, job %+v", code, m.data.Jobs[jobNumber(2)])
		}
		if code := cancelWith(t, m, jobNumber(1), "a"); code != Unauthorized {
			t.Errorf("cancellation with a removed key: code %d", code)
		}
		if code := cancelWith(t, m, jobNumber(1), "b"); code != Forbidden || m.data.Jobs[jobNumber(1)].Outcome != Open {
			t.Errorf("cancellation by another account: code %d", code)
		}
		if code := submitWith(t, m, jobNumber(1), "b", 2); code != Forbidden {
			t.Errorf("repetition by another account: code %d", code)
		}
	}
	apply(t, m, Command{Catalog: catalogWithAccounts(3, 100, "a", "b")})
	if code := cancelWith(t, m, jobNumber(1), "a"); code != OK || m.data.Jobs[jobNumber(1)].Outcome != Cancelled {
		t.Errorf("cancellation by the account: code %d", code)
	}
}

// TestJobWithoutAccountIsOpenToItsQueuesCallers guards against jobs from before access control that nobody can cancel.
func TestJobWithoutAccountIsOpenToItsQueuesCallers(t *testing.T) {
	m := newTestMachine(t)
	apply(t, m, Command{Catalog: catalogWithAccounts(2, 1, "a")})
	if code := cancelWith(t, m, testJob, ""); code != Unauthorized {
		t.Errorf("without a key: code %d", code)
	}
	if code := cancelWith(t, m, testJob, "a"); code != OK {
		t.Errorf("with a key: code %d", code)
	}
}

// TestAccountUseAfterRestore guards against a new leader that starts more than an account's limit, since it does not count what executes.
func TestAccountUseAfterRestore(t *testing.T) {
	m := NewMachine()
	apply(t, m, Command{Catalog: catalogWithAccounts(1, 100, "a")})
	apply(t, m, Command{Register: &Worker{ID: "w0", Address: "a0", VM: "v0", Service: "s", Incarnation: 1}})
	submitWith(t, m, jobNumber(1), "a", 1)
	start(t, m, workload.TaskID{Job: jobNumber(1)}, 1, "w0")
	want := workload.Resources{MilliCPU: 500}
	for _, m := range []*Machine{m, restoreCopy(t, m)} {
		m.Read(func(v *View) {
			if use := v.AccountUse()["a"]; use != want || v.Job(jobNumber(1)).Account != "a" {
				t.Errorf("use %+v, job %+v", use, v.Job(jobNumber(1)))
			}
		})
	}
}

// overRateOf submits jobs at a time and returns how many of them are over the rate.
func overRateOf(t *testing.T, m *Machine, first, count int, account string, atMS int64) int {
	t.Helper()
	over := 0
	for n := first; n < first+count; n++ {
		if code := submitWith(t, m, jobNumber(n), account, atMS); code != OK {
			t.Fatalf("job %d: code %d", n, code)
		}
		if m.data.Jobs[jobNumber(n)].OverRate {
			over++
		}
	}
	return over
}

// TestJobsBeyondTheRateAreMarked guards against an account whose burst of eight times its rate displaces the jobs of others, also after a change of the leader.
func TestJobsBeyondTheRateAreMarked(t *testing.T) {
	m := NewMachine()
	apply(t, m, Command{Catalog: catalogWithAccounts(1, 2.5, "a", "b")})
	if over := overRateOf(t, m, 0, 20, "a", 1000); over != 15 {
		t.Errorf("%d of 20 jobs over the rate at once, expected 15", over)
	}
	m = restoreCopy(t, m)
	if over := overRateOf(t, m, 20, 4, "a", 1800); over != 2 {
		t.Errorf("%d of 4 jobs over the rate after 0.8 s, expected 2", over)
	}
	if over := overRateOf(t, m, 40, 1, "b", 1800); over != 0 {
		t.Error("another account pays")
	}
	apply(t, m, Command{Catalog: catalogWithAccounts(2, 1e300, "a")})
	if _, kept := m.data.Buckets["b"]; kept {
		t.Error("the bucket of a removed account is kept")
	}
	if over := overRateOf(t, m, 60, 3, "a", 1<<50); over != 0 {
		t.Errorf("%d of 3 jobs over a rate without a bound", over)
	}
}

// markedOfRandomArrivals submits the jobs of an account at random times, some per second on
// average, and returns the share of them that are over the rate.
func markedOfRandomArrivals(t *testing.T, weight, perSecond float64, span time.Duration, seed uint64) float64 {
	t.Helper()
	m := NewMachine()
	apply(t, m, Command{Catalog: catalogWithAccounts(1, weight, "a")})
	random := rand.New(rand.NewPCG(seed, 5))
	count, over := 0, 0
	for at := random.ExpFloat64() / perSecond; at < span.Seconds(); at += random.ExpFloat64() / perSecond {
		over += overRateOf(t, m, count, 1, "a", int64(1000*at))
		count++
	}
	return float64(over) / float64(count)
}

// TestRandomArrivalsAgainstTheRate guards against marks on a small account that stays below its rate, and against an account far above its rate of which few jobs are marked.
func TestRandomArrivalsAgainstTheRate(t *testing.T) {
	for _, weight := range []float64{1, 3, 80} {
		below := markedOfRandomArrivals(t, weight, 0.8*weight, time.Duration(float64(4000*time.Second)/weight), 1)
		above, seeds := 0.0, uint64(20)
		for seed := range seeds {
			above += markedOfRandomArrivals(t, weight, 6*weight, 6*time.Second, seed) / float64(seeds)
		}
		t.Logf("weight %v: %.3f of the jobs at 0.8 of the rate are marked, %.3f in 6 s of 6 times the rate", weight, below, above)
		if below > 0.05 || above < 0.6 {
			t.Errorf("weight %v: %.3f of the jobs at 0.8 of the rate are marked, %.3f in 6 s of 6 times the rate", weight, below, above)
		}
	}
}
