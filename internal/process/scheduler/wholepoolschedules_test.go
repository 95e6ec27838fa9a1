package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusward.example/arbutusward/internal/version/workload"
)

// Shape of a random schedule of waves over whole pools.
const (
	wholePoolTime = 12 * time.Second
	// wholePoolEnd is the time after the last deadline by which all waves have ended.
	wholePoolEnd = 40 * time.Second
	// lostAbsence is the time without a run after which a long-running task is lost,
	// though there is room for it.
	lostAbsence = 9 * time.Second
	// firstShortJob is the number of the first job of short tasks. Jobs of long-running
	// tasks have lower ones.
	firstShortJob = 1001
)

// numberedJob returns the id of a job of the schedule.
func numberedJob(number int) string { return fmt.Sprintf("%016x", number) }

// TestRandomWavesOverWholePools overlaps waves, most of them over all VMs of a pool, with
// short tasks and changes of the leader. Long-running tasks must not be away for long nor
// beyond their disruption budgets, caps must hold, and the waves must end.
func TestRandomWavesOverWholePools(t *testing.T) {
	eachSeed(t, quarterOfSeeds, func(t *testing.T, seed uint64) { newWholePoolSchedule(t, seed).run() })
}

// wholePoolSchedule is one random sequence of waves over the VMs of one pool.
type wholePoolSchedule struct {
	*fixture
	seed    uint64
	random  *rand.Rand
	names   []string
	away    *absences
	budgets map[string]int
	waves   int64
	last    time.Time
	short   int
}

func newWholePoolSchedule(t *testing.T, seed uint64) *wholePoolSchedule {
	s := &wholePoolSchedule{fixture: newFixture(t, time.Hour), seed: seed, random: rand.New(rand.NewPCG(seed, 3)), budgets: map[string]int{}}
	s.limits.FencingEnforced = true
	s.workers.startup = time.Duration(s.random.IntN(2)) * 700 * time.Millisecond
	s.replaceWorkers(2 * time.Second)
	for i := range 2 + s.random.IntN(7) {
		s.names = append(s.names, s.addLabelledVM(i))
	}
	s.workers.durationOf = func(id workload.TaskID, _ int) time.Duration {
		if id.Job < numberedJob(firstShortJob) {
			return time.Hour
		}
		return 800 * time.Millisecond
	}
	return s
}

func (s *wholePoolSchedule) run() {
	s.lead()
	time.Sleep(6 * time.Second)
	s.submitLongRunning()
	time.Sleep(2 * time.Second)
	changed := s.random.IntN(2) == 0
	for end := time.Now().Add(wholePoolTime); time.Now().Before(end); {
		switch s.random.IntN(6) {
		case 0, 1:
			s.startRandomWave()
		case 2, 3:
			s.submit(numberedJob(firstShortJob+s.short), step(1+s.random.IntN(2*len(s.names))))
			s.short++
		case 4:
			if !changed {
				changed = true
				s.depose()
				s.lead()
			}
		}
		s.observe(time.Duration(100+100*s.random.IntN(10)) * time.Millisecond)
	}
	for end := s.last.Add(wholePoolEnd); time.Now().Before(end) && !s.wavesEnded(); {
		s.observe(time.Second)
	}
	// Tasks return and VMs come back.
	s.observe(5 * time.Second)
	s.check()
	s.depose()
}

// submitLongRunning submits jobs that take at most half of the pool, with budgets. In
// half of the schedules each VM gets more tasks of one step than may leave at a time.
func (s *wholePoolSchedule) submitLongRunning() {
	room := int64(8000*len(s.names)) / 2
	onEachVM := s.random.IntN(2) == 0
	tasks := map[string]int{}
	for i := range s.names {
		need, count, budget := 500+500*s.random.Int64N(3), 1+s.random.IntN(3), 1+s.random.IntN(2)
		if onEachVM {
			need, count, budget = 500+500*s.random.Int64N(2), 2+s.random.IntN(2), 1
		}
		if room -= need * int64(count); room < 0 {
			break
		}
		id := numberedJob(i + 1)
		s.budgets[id], tasks[id] = budget, count
		s.submit(id, workload.Step{
			Count: count, Need: workload.Resources{MilliCPU: need}, LongRunning: true, DisruptionBudget: budget, DataRack: fmt.Sprint("r", i),
		})
	}
	s.away = newAbsences(s.fixture, tasks)
}

func (s *wholePoolSchedule) startRandomWave() {
	if s.waves >= 3 {
		return
	}
	s.waves++
	count := len(s.names)
	if s.random.IntN(3) == 0 {
		count = 1 + s.random.IntN(count)
	}
	var vms []string
	for _, i := range s.random.Perm(len(s.names))[:count] {
		vms = append(vms, s.names[i])
	}
	length, limit := time.Duration(5+s.random.IntN(25))*time.Second, len(s.names)
	if s.random.IntN(2) == 0 {
		limit = 1 + s.random.IntN(limit)
	}
	s.startWave(s.waves, vms, limit, length)
	if deadline := time.Now().Add(length); deadline.After(s.last) {
		s.last = deadline
	}
}

// observe looks at the tasks for some time.
func (s *wholePoolSchedule) observe(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s.away.look()
		for job, count := range s.away.awayByJob() {
			if count > s.budgets[job] {
				s.t.Errorf("seed %d: %d tasks of job %s are away, its budget is %d", s.seed, count, job, s.budgets[job])
			}
		}
	}
}

func (s *wholePoolSchedule) wavesEnded() bool {
	for number := range s.waves {
		if s.unsettled(number+1) > 0 {
			return false
		}
	}
	return true
}

func (s *wholePoolSchedule) check() {
	for number := range s.waves {
		if left := s.unsettled(number + 1); left > 0 {
			s.t.Errorf("seed %d: %d VMs of wave %d have had no maintenance %s after the last deadline", s.seed, left, number+1, wholePoolEnd)
		}
	}
	if s.away.longest > lostAbsence {
		s.t.Errorf("seed %d: a long-running task was away for %s", s.seed, s.away.longest)
	}
}
