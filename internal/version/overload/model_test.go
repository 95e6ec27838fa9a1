package overload

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/version/catalog"
	"arbutusward.example/arbutusward/internal/version/durations"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// The model plays one pool in steps of tick, with jobs of two dependent steps.
const (
	tick       = 50 * time.Millisecond
	modelCores = 400
	maxReturns = 4
	taskTime   = 1200 * time.Millisecond
)

var modelQueue = catalog.Queue{Stretch: 1.6, TargetLatency: 600 * time.Millisecond}

// modelJob is a job whose caller sends it at a time, and again when it was refused.
type modelJob struct {
	Job
	spec                 workload.Spec
	at                   time.Duration
	truth                [2][]time.Duration
	objective            time.Duration
	accepted, ended      time.Duration
	next                 [2]int
	done                 [2]int
	refusals             int
	returned, turnedAway bool
	firstWait            time.Duration
	force                bool
}

type modelRun struct {
	job         *modelJob
	step        int
	began, ends time.Duration
}

// newModelJob returns a job with tasks of about taskTime, of which 3% take 7 times as
// long, and estimates that are off by up to 0.9 of the value.
func newModelJob(r *rand.Rand, number, tasks int, account string, at time.Duration) *modelJob {
	j := &modelJob{at: at, accepted: -1, ended: -1}
	j.ID, j.Account, j.Weight = fmt.Sprintf("%016x", number), account, 1
	chain := time.Duration(0)
	for s := range j.truth {
		base := time.Duration((0.7 + 0.5*r.Float64()) * float64(taskTime))
		chain += base
		step := workload.Step{Count: tasks, Need: workload.Resources{MilliCPU: 1000, MemoryMB: 1}, Estimate: time.Duration((0.1 + 1.8*r.Float64()) * float64(base))}
		if s > 0 {
			step.DependsOn = []int{s - 1}
		}
		j.spec.Steps = append(j.spec.Steps, step)
		for range tasks {
			duration := base
			if r.Float64() < 0.03 {
				duration *= 7
			}
			j.truth[s] = append(j.truth[s], duration)
		}
	}
	j.objective = time.Duration(modelQueue.Stretch*float64(chain)) + modelQueue.TargetLatency
	return j
}

// model plays jobs, with the rule or without.
type model struct {
	jobs      []*modelJob
	rule      bool
	durations durations.Model
	running   []modelRun
	now       time.Duration
}

func (m *model) play(until time.Duration) {
	for ; m.now < until; m.now += tick {
		m.endRuns()
		pool := m.snapshot()
		for _, j := range m.jobs {
			if j.accepted < 0 && !j.turnedAway && j.at <= m.now {
				m.submit(pool, j)
			}
		}
		m.place()
	}
}

func (m *model) endRuns() {
	m.running = slices.DeleteFunc(m.running, func(r modelRun) bool {
		if r.ends > m.now {
			return false
		}
		m.durations.Add(r.job.spec.Steps[r.step].Estimate, r.ends-r.began)
		r.job.done[r.step]++
		if r.step == 1 && r.job.done[1] == len(r.job.truth[1]) {
			r.job.ended = m.now
		}
		return true
	})
}

func (m *model) submit(p *Pool, j *modelJob) {
	j.Assess(&j.spec, &modelQueue, m.durations, p.Room)
	verdict := Decide(p, &j.Job)
	if verdict.Refused == "" || !m.rule || j.force {
		j.accepted, j.returned = m.now, j.refusals == 1
		return
	}
	j.refusals++
	if j.refusals > maxReturns {
		j.turnedAway = true
		return
	}
	// The caller waits for whole seconds.
	wait := (verdict.RetryAfter + time.Second - 1).Truncate(time.Second)
	if j.refusals == 1 {
		j.firstWait = wait
	}
	j.at = m.now + wait
}

func (m *model) snapshot() *Pool {
	room := workload.Resources{MilliCPU: modelCores * 1000, MemoryMB: 1_000_000}
	p := &Pool{Room: room, Planned: room, InUse: float64(len(m.running))}
	for _, r := range m.running {
		p.Running += Remaining(m.durations.Predict(r.job.spec.Steps[r.step].Estimate), m.now-r.began).Seconds()
	}
	for _, j := range m.jobs {
		if j.accepted < 0 || j.ended >= 0 || m.now-j.accepted > placement.Useful(j.Objective) {
			continue
		}
		p.WaitingTasks += j.waiting()
		if !j.OverRate {
			p.AddArrival(j.Work, m.now-j.accepted)
		}
		for s := range j.truth {
			p.Add(j.Account, 1, 0, j.OverRate, StepWork(&j.spec.Steps[s], len(j.truth[s])-j.next[s], m.durations, room))
		}
	}
	return p
}

// waiting returns the number of tasks that may start.
func (j *modelJob) waiting() int {
	if j.done[0] < len(j.truth[0]) {
		return len(j.truth[0]) - j.next[0]
	}
	return len(j.truth[1]) - j.next[1]
}

// place starts tasks: those of owed jobs that are of use first, then those of the others
// that are, then the rest.
func (m *model) place() {
	open := slices.DeleteFunc(slices.Clone(m.jobs), func(j *modelJob) bool { return j.accepted < 0 || j.ended >= 0 || j.waiting() == 0 })
	slices.SortStableFunc(open, func(a, b *modelJob) int {
		return cmp.Or(cmp.Compare(m.class(a), m.class(b)), cmp.Compare(a.accepted, b.accepted))
	})
	for _, j := range open {
		for j.waiting() > 0 && len(m.running) < modelCores {
			s := 0
			if j.done[0] == len(j.truth[0]) {
				s = 1
			}
			m.running = append(m.running, modelRun{job: j, step: s, began: m.now, ends: m.now + j.truth[s][j.next[s]]})
			j.next[s]++
		}
	}
}

func (m *model) class(j *modelJob) int {
	age := m.now - j.accepted
	switch {
	case age > placement.Useful(j.Objective):
		return 3
	case j.OverRate:
		return 2
	case age > j.Objective:
		return 1
	}
	return 0
}
