package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// simulatedJob is a job whose steps run one after the other.
type simulatedJob struct {
	id       string
	accepted time.Time
	steps    []simulatedStep
	// step is the current step, remaining the number of its tasks that have
	// not ended, and unplaced lists those that have not started.
	step, remaining int
	unplaced        []int
	ended           time.Time
}

type simulatedStep struct {
	count    int
	milliCPU int64
	// estimate is the client's estimate; durations are the real ones of the
	// tasks.
	estimate  time.Duration
	durations []time.Duration
}

// simulation simulates a burst of jobs on one pool in virtual time.
type simulation struct {
	random  *rand.Rand
	jobs    []*simulatedJob
	workers []*Worker
	// overhead is the time that a task holds its worker beside its work.
	overhead time.Duration
}

const (
	simulatedStretch       = 1.6
	simulatedTargetLatency = 600 * time.Millisecond
	simulationTick         = 10 * time.Millisecond
	// simulatedMeanWork is roughly the mean work of a simulated job in core
	// seconds.
	simulatedMeanWork = 25
)

// newBurst returns a simulation of the first 12 seconds of a burst: within 3 s
// the arrival rate rises to more than the workers can serve.
func newBurst(seed uint64, workers int, peakPerSecond float64) *simulation {
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range workers {
		sim.workers = append(sim.workers, &Worker{ID: fmt.Sprint("w", i), Service: "s", Free: workload.Resources{MilliCPU: 64000, MemoryMB: 1 << 20}})
	}
	start := time.Unix(0, 0)
	for at := time.Duration(0); at < 12*time.Second; at += simulationTick {
		rate := peakPerSecond * min(1, at.Seconds()/3)
		if sim.random.Float64() < rate*simulationTick.Seconds() {
			sim.jobs = append(sim.jobs, sim.newJob(len(sim.jobs), start.Add(at)))
		}
	}
	return sim
}

func (sim *simulation) newJob(number int, at time.Time) *simulatedJob {
	job := &simulatedJob{id: fmt.Sprint(number), accepted: at}
	for range 1 + sim.random.IntN(2) {
		length := time.Duration((0.3 + sim.random.ExpFloat64()*0.5) * float64(time.Second))
		step := simulatedStep{count: 1 + sim.random.IntN(11), milliCPU: 1500 + sim.random.Int64N(4000)}
		step.estimate = time.Duration(float64(length) * (0.75 + sim.random.Float64()*0.5))
		for range step.count {
			step.durations = append(step.durations, time.Duration(float64(length)*(0.85+sim.random.Float64()*0.3)))
		}
		job.steps = append(job.steps, step)
	}
	job.enter(0)
	return job
}

func (j *simulatedJob) enter(step int) {
	j.step = step
	j.unplaced = nil
	if step == len(j.steps) {
		return
	}
	j.remaining = j.steps[step].count
	for i := range j.steps[step].count {
		j.unplaced = append(j.unplaced, i)
	}
}

// chain returns the total duration of the steps from a given one on.
func (j *simulatedJob) chain(from int, duration func(*simulatedStep) time.Duration) time.Duration {
	sum := time.Duration(0)
	for i := from; i < len(j.steps); i++ {
		sum += duration(&j.steps[i])
	}
	return sum
}

func estimated(s *simulatedStep) time.Duration { return s.estimate }

func actual(s *simulatedStep) time.Duration { return slices.Max(s.durations) }

// inTime reports whether the caller got the result within the objective, which
// is calculated from the real durations.
func (j *simulatedJob) inTime() bool {
	allowed := time.Duration(simulatedStretch*float64(j.chain(0, actual))) + simulatedTargetLatency
	return !j.ended.IsZero() && j.ended.Sub(j.accepted) <= allowed
}

func (j *simulatedJob) work() float64 {
	sum := 0.0
	for i := j.step; i < len(j.steps); i++ {
		s := &j.steps[i]
		sum += float64(s.count) * float64(s.milliCPU) / 1000 * s.estimate.Seconds()
	}
	return sum
}

func (j *simulatedJob) objective() *Objective {
	return &Objective{
		Accepted: j.accepted, Chain: j.chain(0, estimated), Remaining: j.chain(j.step, estimated),
		Stretch: simulatedStretch, TargetLatency: simulatedTargetLatency, Work: j.work(), MeanWork: simulatedMeanWork,
	}
}

type simulatedRun struct {
	at     time.Time
	job    *simulatedJob
	index  int
	worker *Worker
	charge workload.Resources
}

// run simulates the burst with jobs ordered by a rank. It returns the share of
// callers that got their result in time.
func (sim *simulation) run(rank func(*simulatedJob, time.Time) float64) float64 {
	byID := map[string]*Worker{}
	for _, w := range sim.workers {
		byID[w.ID] = w
	}
	var running []simulatedRun
	for at := time.Duration(0); at < 30*time.Second; at += simulationTick {
		now := time.Unix(0, 0).Add(at)
		running = finish(running, now)
		running = append(running, sim.start(now, byID, rank)...)
	}
	inTime := 0
	for _, job := range sim.jobs {
		if job.inTime() {
			inTime++
		}
	}
	return float64(inTime) / float64(len(sim.jobs))
}

func finish(running []simulatedRun, now time.Time) []simulatedRun {
	return slices.DeleteFunc(running, func(e simulatedRun) bool {
		if e.at.After(now) {
			return false
		}
		e.worker.Free = e.worker.Free.Add(e.charge)
		e.job.remaining--
		if e.job.remaining == 0 {
			e.job.enter(e.job.step + 1)
			if e.job.step == len(e.job.steps) {
				e.job.ended = now
			}
		}
		return true
	})
}

func (sim *simulation) start(now time.Time, byID map[string]*Worker, rank func(*simulatedJob, time.Time) float64) []simulatedRun {
	var groups []*Group
	jobs := map[string]*simulatedJob{}
	for _, job := range sim.jobs {
		if job.accepted.After(now) || len(job.unplaced) == 0 {
			continue
		}
		jobs[job.id] = job
		groups = append(groups, &Group{
			Job: job.id, Step: job.step, Indexes: job.unplaced, Service: "s",
			Charge: workload.Resources{MilliCPU: job.steps[job.step].milliCPU}, Rank: rank(job, now),
		})
	}
	var started []simulatedRun
	for _, placed := range Plan(groups, sim.workers) {
		job := jobs[placed.Group.Job]
		job.unplaced = slices.DeleteFunc(slices.Clone(job.unplaced), func(i int) bool { return i == placed.Index })
		started = append(started, simulatedRun{
			at: now.Add(sim.overhead + job.steps[job.step].durations[placed.Index]), job: job, index: placed.Index, worker: byID[placed.Worker], charge: placed.Group.Charge,
		})
	}
	return started
}

// meanInTime returns the mean share of callers served in time over several
// seeds of a burst.
func meanInTime(workers int, peak float64, rank func(*simulatedJob, time.Time) float64) float64 {
	return meanInTimeWith(0, workers, peak, rank)
}

// meanInTimeWith is meanInTime with an overhead of each task.
func meanInTimeWith(overhead time.Duration, workers int, peak float64, rank func(*simulatedJob, time.Time) float64) float64 {
	sum := 0.0
	const seeds = 5
	for seed := range uint64(seeds) {
		sim := newBurst(seed, workers, peak)
		sim.overhead = overhead
		sum += sim.run(rank)
	}
	return sum / seeds
}

func byArrival(j *simulatedJob, _ time.Time) float64 {
	return j.accepted.Sub(time.Unix(0, 0)).Seconds()
}

func byRank(j *simulatedJob, now time.Time) float64 { return j.objective().Rank(now) }

func TestRankOrderServesMoreBurstCallersInTimeThanArrivalOrder(t *testing.T) {
	for _, load := range []struct {
		workers int
		peak    float64
		// gain is the minimum increase of the share of callers served in time
		// over serving in order of arrival.
		gain float64
	}{{8, 25, 0.1}, {8, 45, 0.3}, {14, 45, 0.1}, {30, 45, 0}} {
		inOrder, ranked := meanInTime(load.workers, load.peak, byArrival), meanInTime(load.workers, load.peak, byRank)
		t.Logf("%d workers, %.0f jobs a second: in time %.2f by arrival, %.2f by rank", load.workers, load.peak, inOrder, ranked)
		if ranked < inOrder+load.gain {
			t.Errorf("%d workers, %.0f jobs a second: in time %.2f by rank, %.2f by arrival", load.workers, load.peak, ranked, inOrder)
		}
	}
}

// TestJobsThatCannotBeInTimeAnyMoreDoNotMakeOthersLate guards against a burst in which all jobs are just late, because those that are late already go first.
func TestJobsThatCannotBeInTimeAnyMoreDoNotMakeOthersLate(t *testing.T) {
	for _, load := range []struct {
		workers  int
		peak     float64
		overhead time.Duration
		// gain is the minimum increase of the share of callers served in time.
		gain float64
	}{{8, 25, 300 * time.Millisecond, 0.05}, {14, 45, 300 * time.Millisecond, 0.05}, {22, 45, 300 * time.Millisecond, 0}, {30, 45, 300 * time.Millisecond, 0}, {22, 45, 80 * time.Millisecond, 0}} {
		byKnownOverhead := func(j *simulatedJob, now time.Time) float64 {
			o := j.objective()
			o.Remaining += time.Duration(len(j.steps)-j.step) * load.overhead
			return o.Rank(now)
		}
		without, with := meanInTimeWith(load.overhead, load.workers, load.peak, byRank), meanInTimeWith(load.overhead, load.workers, load.peak, byKnownOverhead)
		t.Logf("%d workers, %.0f jobs a second, %s for each step: in time %.2f, %.2f if that is known", load.workers, load.peak, load.overhead, without, with)
		if with < without+load.gain {
			t.Errorf("%d workers, %.0f jobs a second, %s for each step: in time %.2f, %.2f if that is known", load.workers, load.peak, load.overhead, without, with)
		}
	}
}
