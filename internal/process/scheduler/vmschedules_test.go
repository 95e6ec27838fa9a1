package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/workload"
)

// Shape of a random schedule of VMs.
const (
	vmScheduleTime = 14 * time.Second
	vmCalmTime     = 45 * time.Second
	poolVMs        = 6
	standbyVMs     = 2
	// awayTime is how long a VM is away for a move or an upkeep.
	awayTime = 1500 * time.Millisecond
	// noticeTime is how long a long-running task may be away for a cause of
	// its own before orders must take it into account.
	noticeTime = 4500 * time.Millisecond
)

// TestRandomSchedulesOfVMs plays waves, lulls and bursts with a platform that
// loses answers, is late and refuses, crashes of workers and leaders that
// follow each other: caps, disruption budgets and holders must be kept, and
// waves must end.
func TestRandomSchedulesOfVMs(t *testing.T) {
	for i := range uint64(*scheduleSeeds / 4) {
		seed := *scheduleFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { newVMSchedule(t, seed).play() })
		})
	}
}

// vmSchedule is one random course of events around VMs.
type vmSchedule struct {
	*schedule
	platform *faultyPlatform
	names    []string
	waves    int64
}

func newVMSchedule(t *testing.T, seed uint64) *vmSchedule {
	s := &vmSchedule{schedule: newBareSchedule(t, seed)}
	s.platform = &faultyPlatform{fakePlatform: s.vms, dice: s.calls.dice, holders: map[string]string{}, t: t}
	s.orders = s.platform
	s.limits.FencingEnforced = true
	s.workers.fails = nil
	s.workers.away = &awayTasks{t: t, budget: 1, since: map[workload.TaskID]time.Time{}, ordered: map[workload.TaskID]bool{}}
	s.lives(awayTime)
	for i := range poolVMs + standbyVMs {
		pool := "svc"
		if i >= poolVMs {
			pool = "spare"
		}
		s.addVM(fmt.Sprint("w", i), pool)
		s.names = append(s.names, fmt.Sprint("vm-w", i))
	}
	return s
}

func (s *vmSchedule) play() {
	s.succeed(0)
	time.Sleep(time.Second)
	lasting := workload.Step{Count: 4, Need: workload.Resources{MilliCPU: 1000}, LongRunning: true, DisruptionBudget: 1, MaxPerWorker: 1}
	s.workers.lasting = jobA
	s.submitAndTell(jobA, lasting)
	time.Sleep(2 * time.Second)
	for end := time.Now().Add(vmScheduleTime); time.Now().Before(end); {
		s.platform.faulty.Store(s.random.IntN(3) > 0)
		s.happen()
		time.Sleep(time.Duration(50+s.random.IntN(700)) * time.Millisecond)
	}
	s.platform.faulty.Store(false)
	for end := time.Now().Add(vmCalmTime); time.Now().Before(end) && !s.finished(); {
		time.Sleep(time.Second)
	}
	s.check()
	s.retire()
	s.group.Wait()
	time.Sleep(slowestOrder)
}

func (s *vmSchedule) happen() {
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.burst()
	case 3, 4:
		s.wave()
	case 5:
		s.succeed(time.Duration(s.random.IntN(1200)) * time.Millisecond)
	case 6:
		s.crashOne()
	}
}

// burst hands some jobs in at once.
func (s *vmSchedule) burst() {
	for range 1 + s.random.IntN(8) {
		id := fmt.Sprintf("%016x", len(s.jobs)+1)
		s.jobs = append(s.jobs, id)
		work := step(4)
		work.Estimate = 600 * time.Millisecond
		work.Need.MemoryMB = 1
		s.submitAndTell(id, work)
	}
}

// wave asks for the upkeep of some VMs.
func (s *vmSchedule) wave() {
	if s.waves >= 2 {
		return
	}
	s.waves++
	count := 2 + s.random.IntN(len(s.names)-2)
	var vms []string
	for _, i := range s.random.Perm(len(s.names))[:count] {
		vms = append(vms, s.names[i])
	}
	limit := 1 + s.random.IntN(3)
	s.platform.limit(s.waves, limit)
	deadline := time.Now().Add(time.Duration(10+s.random.IntN(20)) * time.Second)
	s.commit(&workstate.Command{Wave: &workstate.Wave{Number: s.waves, VMs: vms, Cap: limit, DeadlineMS: deadline.UnixMilli()}})
}

// crashOne ends a worker; the next one comes soon on the same VM.
func (s *vmSchedule) crashOne() {
	vm := s.names[s.random.IntN(poolVMs)]
	s.vms.mu.Lock()
	entry := s.vms.vms[vm]
	up, id, pool := entry.State == execution.VMUp && entry.Pool == "svc", entry.Worker, entry.Pool
	s.vms.mu.Unlock()
	if !up {
		return
	}
	s.workers.mu.Lock()
	if w := s.workers.workers[id]; w != nil {
		w.dark = true
		s.workers.lose(w)
		w.change()
	}
	s.workers.mu.Unlock()
	s.born++
	name := fmt.Sprintf("c%d", s.born)
	s.group.Go(func() {
		time.Sleep(500 * time.Millisecond)
		s.vms.mu.Lock()
		gone := entry.State != execution.VMUp || entry.Worker != id
		s.vms.mu.Unlock()
		if !gone {
			s.comeBack(vm, pool, name)
		}
	})
}

func (s *vmSchedule) finished() bool {
	finished := s.ended()
	s.machine.Read(func(v *workstate.View) {
		for _, wave := range v.Waves() {
			finished = finished && wave.Finished()
		}
	})
	return finished
}

func (s *vmSchedule) check() {
	s.machine.Read(func(v *workstate.View) {
		for number, wave := range v.Waves() {
			if !wave.Finished() {
				s.t.Errorf("seed %d: wave %d has %d of %d VMs done", s.seed, number, len(wave.Started), len(wave.VMs))
			}
			for _, vm := range wave.VMs {
				if !s.vms.isDone(vm, number) {
					s.t.Errorf("seed %d: wave %d is finished without the upkeep of %s", s.seed, number, vm)
				}
			}
		}
	})
	for _, id := range s.jobs {
		if s.outcome(id) != workstate.Succeeded {
			s.t.Errorf("seed %d: job %s is %d", s.seed, id, s.outcome(id))
		}
	}
}

// faultyPlatform lets orders for VMs go wrong, checks fences as the platform
// does, and finds caps and holders that are not kept.
type faultyPlatform struct {
	*fakePlatform
	*dice
	t      *testing.T
	faulty atomic.Bool
	// fences holds the highest fence of each VM, holders who used a fence.
	fences  map[string]uint64
	holders map[string]string
	limits  map[int64]int
}

// limit notes the cap of a wave.
func (p *faultyPlatform) limit(wave int64, vms int) {
	p.fakePlatform.mu.Lock()
	defer p.fakePlatform.mu.Unlock()
	if p.limits == nil {
		p.limits = map[int64]int{}
	}
	p.limits[wave] = vms
}

// fenced takes a fence, and says whether it is too low.
func (p *faultyPlatform) fenced(vm, holder string, fence uint64) bool {
	p.fakePlatform.mu.Lock()
	defer p.fakePlatform.mu.Unlock()
	if p.fences == nil {
		p.fences = map[string]uint64{}
	}
	if fence < p.fences[vm] {
		return true
	}
	p.fences[vm] = fence
	key := fmt.Sprint(vm, fence)
	if other := p.holders[key]; other != "" && other != holder {
		p.t.Errorf("%s and %s order %s under fence %d", other, holder, vm, fence)
	}
	p.holders[key] = holder
	return false
}

// Move implements execution.Platform.
func (p *faultyPlatform) Move(ctx context.Context, vm, pool, holder string, fence uint64) (execution.VMRefusal, error) {
	return p.call(ctx, vm, holder, fence, func() (execution.VMRefusal, error) { return p.fakePlatform.Move(ctx, vm, pool, holder, fence) })
}

// StartMaintenance implements execution.Platform.
func (p *faultyPlatform) StartMaintenance(ctx context.Context, vm string, wave int64, holder string, fence uint64) (execution.VMRefusal, error) {
	return p.call(ctx, vm, holder, fence, func() (execution.VMRefusal, error) {
		refusal, err := p.fakePlatform.StartMaintenance(ctx, vm, wave, holder, fence)
		p.checkCap(wave)
		return refusal, err
	})
}

// checkCap finds more VMs down for a wave than it allows.
func (p *faultyPlatform) checkCap(wave int64) {
	p.fakePlatform.mu.Lock()
	defer p.fakePlatform.mu.Unlock()
	down := 0
	for _, vm := range p.vms {
		if vm.State == execution.VMMaintenance && p.wave[vm.ID] == wave {
			down++
		}
	}
	if limit := p.limits[wave]; down > limit {
		p.t.Errorf("%d VMs are down for wave %d, the cap is %d", down, wave, limit)
	}
}

func (p *faultyPlatform) call(ctx context.Context, vm, holder string, fence uint64, carryOut func() (execution.VMRefusal, error)) (execution.VMRefusal, error) {
	draw := p.next("platform", vm)
	fault := callPasses
	if p.faulty.Load() && draw%3 == 0 {
		fault = callFault(draw >> 8 % uint64(callFaults))
	}
	delay := time.Duration(draw >> 20 % uint64(platformTimeout))
	return pass(ctx, fault, delay, func(bool) (execution.VMRefusal, error) {
		if p.fenced(vm, holder, fence) {
			return execution.VMRefusedFencingToken, nil
		}
		return carryOut()
	})
}

// awayTasks finds orders that end a long-running task while too many others
// of its step are away.
type awayTasks struct {
	t      *testing.T
	budget int
	// since holds since when a task is not at work, ordered whether an order
	// ended it.
	since   map[workload.TaskID]time.Time
	ordered map[workload.TaskID]bool
}

func (a *awayTasks) back(task workload.TaskID) {
	delete(a.since, task)
	delete(a.ordered, task)
}

// gone notes that a task is away, ended by an order or not.
func (a *awayTasks) gone(task workload.TaskID, byOrder bool) {
	if byOrder {
		others := 0
		for other, since := range a.since {
			if other != task && (a.ordered[other] || time.Since(since) > noticeTime) {
				others++
			}
		}
		if others >= a.budget {
			a.t.Errorf("an order ends %s while %d others are away", task, others)
		}
	}
	a.since[task] = time.Now()
	a.ordered[task] = byOrder
}
