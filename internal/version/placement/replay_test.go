package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// playedJob is a job of the played load: steps one after the other.
type playedJob struct {
	id       string
	accepted time.Time
	steps    []playedStep
	// at is the step that runs; left counts its tasks that have not ended,
	// unplaced those that have not started.
	at, left int
	unplaced []int
	ended    time.Time
}

type playedStep struct {
	count    int
	milliCPU int64
	// estimate is what the client said, lengths what the tasks take.
	estimate time.Duration
	lengths  []time.Duration
}

// playedLoad is a burst on one pool in virtual time.
type playedLoad struct {
	random  *rand.Rand
	jobs    []*playedJob
	workers []*Worker
}

const (
	playedStretch = 1.6
	playedTarget  = 600 * time.Millisecond
	playedTick    = 10 * time.Millisecond
	// playedMeanWork is about the mean work of a played job in core seconds.
	playedMeanWork = 25
)

// newBurst plays the first 12 seconds of a queue's turn: arrivals rise over
// 3 s to a rate that wants more than the workers hold.
func newBurst(seed uint64, workers int, peakPerSecond float64) *playedLoad {
	p := &playedLoad{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range workers {
		p.workers = append(p.workers, &Worker{ID: fmt.Sprint("w", i), Service: "s", Free: workload.Resources{MilliCPU: 64000, MemoryMB: 1 << 20}})
	}
	start := time.Unix(0, 0)
	for at := time.Duration(0); at < 12*time.Second; at += playedTick {
		rate := peakPerSecond * min(1, at.Seconds()/3)
		if p.random.Float64() < rate*playedTick.Seconds() {
			p.jobs = append(p.jobs, p.newJob(len(p.jobs), start.Add(at)))
		}
	}
	return p
}

func (p *playedLoad) newJob(number int, at time.Time) *playedJob {
	job := &playedJob{id: fmt.Sprint(number), accepted: at}
	for range 1 + p.random.IntN(2) {
		length := time.Duration((0.3 + p.random.ExpFloat64()*0.5) * float64(time.Second))
		step := playedStep{count: 1 + p.random.IntN(11), milliCPU: 1500 + p.random.Int64N(4000)}
		step.estimate = time.Duration(float64(length) * (0.75 + p.random.Float64()*0.5))
		for range step.count {
			step.lengths = append(step.lengths, time.Duration(float64(length)*(0.85+p.random.Float64()*0.3)))
		}
		job.steps = append(job.steps, step)
	}
	job.enter(0)
	return job
}

func (j *playedJob) enter(step int) {
	j.at = step
	j.unplaced = nil
	if step == len(j.steps) {
		return
	}
	j.left = j.steps[step].count
	for i := range j.steps[step].count {
		j.unplaced = append(j.unplaced, i)
	}
}

// chain is the longest chain by a measure of steps.
func (j *playedJob) chain(from int, length func(*playedStep) time.Duration) time.Duration {
	sum := time.Duration(0)
	for i := from; i < len(j.steps); i++ {
		sum += length(&j.steps[i])
	}
	return sum
}

func estimated(s *playedStep) time.Duration { return s.estimate }

func actual(s *playedStep) time.Duration { return slices.Max(s.lengths) }

// inTime says whether the caller got the result within the objective, which
// counts the work as it was.
func (j *playedJob) inTime() bool {
	allowed := time.Duration(playedStretch*float64(j.chain(0, actual))) + playedTarget
	return !j.ended.IsZero() && j.ended.Sub(j.accepted) <= allowed
}

func (j *playedJob) work() float64 {
	sum := 0.0
	for i := j.at; i < len(j.steps); i++ {
		s := &j.steps[i]
		sum += float64(s.count) * float64(s.milliCPU) / 1000 * s.estimate.Seconds()
	}
	return sum
}

func (j *playedJob) objective() *Objective {
	return &Objective{
		Accepted: j.accepted, Chain: j.chain(0, estimated), Remaining: j.chain(j.at, estimated),
		Stretch: playedStretch, Target: playedTarget, Work: j.work(), MeanWork: playedMeanWork,
	}
}

type playedEnd struct {
	at     time.Time
	job    *playedJob
	worker *Worker
	charge workload.Resources
}

// play serves the load with an order of jobs and returns the share of the
// callers that got their result in time.
func (p *playedLoad) play(rank func(*playedJob, time.Time) float64) float64 {
	byID := map[string]*Worker{}
	for _, w := range p.workers {
		byID[w.ID] = w
	}
	var running []playedEnd
	for at := time.Duration(0); at < 30*time.Second; at += playedTick {
		now := time.Unix(0, 0).Add(at)
		running = finish(running, now)
		running = append(running, p.start(now, byID, rank)...)
	}
	inTime := 0
	for _, job := range p.jobs {
		if job.inTime() {
			inTime++
		}
	}
	return float64(inTime) / float64(len(p.jobs))
}

func finish(running []playedEnd, now time.Time) []playedEnd {
	return slices.DeleteFunc(running, func(e playedEnd) bool {
		if e.at.After(now) {
			return false
		}
		e.worker.Free = e.worker.Free.Add(e.charge)
		e.job.left--
		if e.job.left == 0 {
			e.job.enter(e.job.at + 1)
			if e.job.at == len(e.job.steps) {
				e.job.ended = now
			}
		}
		return true
	})
}

func (p *playedLoad) start(now time.Time, byID map[string]*Worker, rank func(*playedJob, time.Time) float64) []playedEnd {
	var groups []*Group
	jobs := map[string]*playedJob{}
	for _, job := range p.jobs {
		if job.accepted.After(now) || len(job.unplaced) == 0 {
			continue
		}
		jobs[job.id] = job
		groups = append(groups, &Group{
			Job: job.id, Step: job.at, Indexes: job.unplaced, Service: "s",
			Charge: workload.Resources{MilliCPU: job.steps[job.at].milliCPU}, Rank: rank(job, now),
		})
	}
	var started []playedEnd
	for _, placed := range Plan(groups, p.workers) {
		job := jobs[placed.Group.Job]
		job.unplaced = slices.DeleteFunc(slices.Clone(job.unplaced), func(i int) bool { return i == placed.Index })
		started = append(started, playedEnd{
			at: now.Add(job.steps[job.at].lengths[placed.Index]), job: job, worker: byID[placed.Worker], charge: placed.Group.Charge,
		})
	}
	return started
}

// mean plays several seeds of a burst.
func mean(workers int, peak float64, rank func(*playedJob, time.Time) float64) float64 {
	sum := 0.0
	const seeds = 5
	for seed := range uint64(seeds) {
		sum += newBurst(seed, workers, peak).play(rank)
	}
	return sum / seeds
}

func firstCome(j *playedJob, _ time.Time) float64 { return j.accepted.Sub(time.Unix(0, 0)).Seconds() }

func ranked(j *playedJob, now time.Time) float64 { return j.objective().Rank(now) }

func TestCallersOfABurstAreServedInTimeMoreOftenThanByFirstCome(t *testing.T) {
	for _, load := range []struct {
		workers int
		peak    float64
		// gain is the share of callers that must be served in time beyond
		// those by first come.
		gain float64
	}{{8, 25, 0.1}, {8, 45, 0.3}, {14, 45, 0.1}, {30, 45, 0}} {
		first, own := mean(load.workers, load.peak, firstCome), mean(load.workers, load.peak, ranked)
		t.Logf("%d workers, %.0f jobs a second: in time %.2f by first come, %.2f ranked", load.workers, load.peak, first, own)
		if own < first+load.gain {
			t.Errorf("%d workers, %.0f jobs a second: in time %.2f, by first come %.2f", load.workers, load.peak, own, first)
		}
	}
}
