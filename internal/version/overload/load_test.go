package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/placement"
)

// sizes are the tasks of each step of a job, skewed up to 4 times.
var sizes = []int{8, 8, 8, 8, 16, 32}

// load returns the jobs of 30 s, sent at rate(t) times what the pool can do.
func load(seed uint64, account func(i int, at time.Duration) string, rate func(time.Duration) float64) []*modelJob {
	r := rand.New(rand.NewPCG(seed, 1))
	var jobs []*modelJob
	due := 0.0
	for at := time.Duration(0); at < 30*time.Second; at += tick {
		for due += rate(at) * modelCores * tick.Seconds(); due > 0; {
			j := newModelJob(r, len(jobs), sizes[r.IntN(len(sizes))], account(len(jobs), at), at)
			jobs = append(jobs, j)
			for _, step := range j.truth {
				for _, duration := range step {
					due -= duration.Seconds()
				}
			}
		}
	}
	return jobs
}

// result counts what callers got, from when they first sent their job.
type result struct{ inTime, late, noUse, refused int }

func (r result) worth() float64 { return float64(r.inTime) + 0.25*float64(r.late) }

// played is a load after it was played.
type played struct {
	jobs []*modelJob
	sent []time.Duration
}

func play(jobs []*modelJob, rule bool) played {
	p := played{jobs: jobs}
	for _, j := range jobs {
		p.sent = append(p.sent, j.at)
	}
	m := &model{jobs: jobs, rule: rule}
	m.play(90 * time.Second)
	return p
}

func (p played) count(of func(*modelJob) bool) (r result) {
	for i, j := range p.jobs {
		took := j.ended - p.sent[i]
		switch {
		case !of(j):
		case j.accepted < 0:
			r.refused++
		case j.ended < 0 || took > placement.Useful(j.objective):
			r.noUse++
		case took > j.objective:
			r.late++
		default:
			r.inTime++
		}
	}
	return r
}

// burst is a pool that gets 5 times its mean rate for 4 s, and a twentieth after that.
func burst(seed uint64) []*modelJob {
	return load(seed, func(i int, _ time.Duration) string { return fmt.Sprint("a", i%20) }, func(at time.Duration) float64 {
		switch {
		case at < 6*time.Second:
			return 1
		case at < 10*time.Second:
			return 5
		}
		return 0.05
	})
}

// greedy is a pool at 0.6 of its room, in which an account sends 6 times its usual half for 6 s.
func greedy(seed uint64) []*modelJob {
	surge := func(at time.Duration) bool { return at >= 6*time.Second && at < 12*time.Second }
	jobs := load(seed, func(i int, at time.Duration) string {
		if i%2 == 0 && !surge(at) || surge(at) && i%7 < 6 {
			return "greedy"
		}
		return fmt.Sprint("a", i%10)
	}, func(at time.Duration) float64 {
		if surge(at) {
			return 0.3 + 1.8
		}
		return 0.6
	})
	tokens, last, number := 0.0, time.Duration(0), 0
	rate := 0.3 * modelCores / (16 * 14.0 / 8 * 1.2)
	for _, j := range jobs {
		if j.Account != "greedy" {
			continue
		}
		tokens, last, number = min(max(1, rate), tokens+rate*(j.at-last).Seconds()), j.at, number+1
		if tokens >= 1 {
			tokens--
			continue
		}
		j.OverRate = surge(j.at)
	}
	return jobs
}

// firstWaits returns how long the refused callers waited before they returned first, and
// how many of them were accepted then.
func (p played) firstWaits() (waits []time.Duration, accepted int) {
	for _, j := range p.jobs {
		if j.refusals == 0 {
			continue
		}
		waits = append(waits, j.firstWait)
		if j.returned {
			accepted++
		}
	}
	return waits, accepted
}

// TestRuleUnderABurstAndAGreedyAccount plays a burst of 5 times the mean for 4 s, and an
// account at 6 times its rate for 6 s. It guards against refusals that cost owed jobs
// their worth, and against times to return that are untrue or the same for all.
func TestRuleUnderABurstAndAGreedyAccount(t *testing.T) {
	for name, jobs := range map[string]func(uint64) []*modelJob{"burst": burst, "greedy": greedy} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprint(name, seed), func(t *testing.T) { checkRule(t, func() []*modelJob { return jobs(seed) }) })
		}
	}
}

func checkRule(t *testing.T, jobs func() []*modelJob) {
	without, with := play(jobs(), false), play(jobs(), true)
	for _, over := range []bool{false, true} {
		for _, size := range []int{8, 16, 32} {
			of := func(j *modelJob) bool { return j.OverRate == over && len(j.truth[0]) == size }
			t.Logf("over rate %t, %d tasks: without %+v, with %+v", over, size, without.count(of), with.count(of))
		}
	}
	owed := func(j *modelJob) bool { return !j.OverRate }
	if a, b := without.count(owed).worth(), with.count(owed).worth(); b < 0.98*a {
		t.Errorf("worth of the owed jobs %.1f with the rule, %.1f without", b, a)
	}
	waits, accepted := with.firstWaits()
	values := map[time.Duration]int{}
	for _, wait := range waits {
		values[wait]++
	}
	t.Logf("%d refused at first, %d of them accepted at their first return, waits %v", len(waits), accepted, values)
	if 2*accepted < len(waits) {
		t.Errorf("%d of %d refused jobs accepted at their first return", accepted, len(waits))
	}
	for wait, callers := range values {
		if 3*callers > len(waits) {
			t.Errorf("%d of %d callers return after %s", callers, len(waits), wait)
		}
	}
	for i, j := range with.jobs {
		if j.refusals > 0 {
			checkRefusal(t, jobs(), i)
		}
	}
}

// checkRefusal plays the same load with one job accepted that the rule refuses. The job
// must not be in time by a quarter of its objective.
func checkRefusal(t *testing.T, jobs []*modelJob, index int) {
	jobs[index].force = true
	p := play(jobs, true)
	j := jobs[index]
	if took := j.ended - p.sent[index]; j.ended >= 0 && took < j.objective*3/4 {
		t.Errorf("job %s (over rate %t) was refused and would have taken %s of %s", j.ID, j.OverRate, took, j.objective)
	}
}
