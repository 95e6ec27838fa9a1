package overload

import (
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// fullPool is a pool of 100 cores in which an account has an hour of work waiting.
func fullPool() *Pool {
	room := workload.Resources{MilliCPU: 100_000, MemoryMB: 100_000}
	p := &Pool{Room: room, Planned: room, InUse: 100, Running: 100, WaitingTasks: 1000}
	p.Add("large", 1, 1, false, 360_000)
	return p
}

func shortJob() Job {
	return Job{ID: "0123456789abcdef", Account: "large", Weight: 1, Priority: 1, Work: 10, Chain: 2 * time.Second, Last: time.Second, Objective: 4 * time.Second}
}

// TestJobsThatAreAccepted guards against refusals that a backlog does not justify.
func TestJobsThatAreAccepted(t *testing.T) {
	for name, change := range map[string]func(*Pool, *Job){
		"nothing waits":                  func(p *Pool, _ *Job) { p.WaitingTasks = 0 },
		"tasks wait for quota, not room": func(p *Pool, _ *Job) { p.InUse = 30 },
		"nothing is known of the room":   func(p *Pool, _ *Job) { p.Planned = workload.Resources{} },
		"exempt":                         func(_ *Pool, j *Job) { j.Exempt = true },
		"no objective":                   func(_ *Pool, j *Job) { j.Objective = 0 },
		"higher priority":                func(_ *Pool, j *Job) { j.Priority = 0 },
		"an account without backlog":     func(_ *Pool, j *Job) { j.Account = "small" },
		"backlog over the rate":          func(p *Pool, _ *Job) { p.Backlogs[0].Owed, p.Backlogs[0].OverRate = 0, 360_000 },
		"VMs about to come":              func(p *Pool, _ *Job) { p.Planned.MilliCPU *= 1000 },
	} {
		p, j := fullPool(), shortJob()
		if Decide(p, &j).Refused != TooLate {
			t.Fatal("the job of the full pool is accepted")
		}
		if change(p, &j); Decide(p, &j).Refused != "" {
			t.Errorf("%s: refused", name)
		}
	}
}

// TestWorkBeyondAQuotaDelaysNoOtherAccount plays a pool of which an account with a quota of a tenth has an hour of work waiting, before the jobs of another one by its priority. It guards against refusals of jobs that run in the rest of the room.
func TestWorkBeyondAQuotaDelaysNoOtherAccount(t *testing.T) {
	for _, overRate := range []bool{false, true} {
		p, j := fullPool(), shortJob()
		j.Account, j.Priority, j.OverRate = "small", 2, overRate
		if Decide(p, &j).Refused == "" {
			t.Fatalf("over rate %t: accepted behind an hour of work", overRate)
		}
		p.LimitAccount("large", workload.Resources{MilliCPU: 10_000, MemoryMB: 10_000})
		if v := Decide(p, &j); v.Refused != "" {
			t.Errorf("over rate %t: %+v", overRate, v)
		}
		p.LimitAccount("large", workload.Resources{MilliCPU: 10_000, MemoryMB: 500_000})
		if v := Decide(p, &j); v.Refused == "" {
			t.Errorf("over rate %t: accepted though the quota is five times the pool's memory", overRate)
		}
		j.Account = "large"
		p.LimitAccount("large", workload.Resources{MilliCPU: 10_000})
		if v := Decide(p, &j); v.Refused == "" {
			t.Errorf("over rate %t: accepted behind the account's own work", overRate)
		}
	}
}

// TestRetryAfterStaysWithinUse guards against callers that are sent away for longer than
// their job is of use, as by an hour's backlog.
func TestRetryAfterStaysWithinUse(t *testing.T) {
	p, j := fullPool(), shortJob()
	for _, overRate := range []bool{false, true} {
		j.OverRate = overRate
		if after := Decide(p, &j).RetryAfter; after < time.Second || after > placement.Useful(j.Objective) {
			t.Errorf("over rate %t: return after %s", overRate, after)
		}
	}
}

// TestPlannedVMs guards against a pool that is judged by the VMs it has while others
// have VMs to give away.
func TestPlannedVMs(t *testing.T) {
	planned := PlannedVMs(map[string]PoolSize{
		"short": {Serving: 4, Desired: 12}, "calm": {Serving: 6, Desired: 4}, "standby": {Idle: 3},
	})
	if planned["short"] != 9 || planned["calm"] != 6 {
		t.Errorf("planned %v", planned)
	}
}
