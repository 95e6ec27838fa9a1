package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
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
	// unavailableTime is how long a VM is unavailable for a move or for
	// maintenance.
	unavailableTime = 1500 * time.Millisecond
	// detectionTime is how long a long-running task may be away for a reason
	// other than an order before the scheduler must take that into account.
	detectionTime = 4500 * time.Millisecond
)

// TestRandomSchedulesOfVMs combines waves, quiet times and bursts with crashes
// of workers, changes of the leader, and a platform that loses orders or their
// answers, executes orders late and refuses them. Caps, disruption budgets and
// holders must be respected, and waves must end.
func TestRandomSchedulesOfVMs(t *testing.T) {
	eachSeed(t, quarterOfSeeds, func(t *testing.T, seed uint64) { newVMSchedule(t, seed).run() })
}

// vmSchedule is one random sequence of events that affect VMs.
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
	s.workers.disruptions = &disruptionCheck{t: t, budget: 1, since: map[workload.TaskID]time.Time{}, ordered: map[workload.TaskID]bool{}}
	s.replaceWorkers(unavailableTime)
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

func (s *vmSchedule) run() {
	s.startLeader(0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.sendKnownHeartbeats(ctx)
	time.Sleep(time.Second)
	longRunning := workload.Step{Count: 4, Need: workload.Resources{MilliCPU: 1000}, LongRunning: true, DisruptionBudget: 1, MaxPerWorker: 1}
	s.workers.longRunningJob = jobA
	s.submitAndNotify(jobA, longRunning)
	time.Sleep(2 * time.Second)
	for end := time.Now().Add(vmScheduleTime); time.Now().Before(end); {
		s.platform.faulty.Store(s.random.IntN(3) > 0)
		s.randomEvent()
		time.Sleep(time.Duration(50+s.random.IntN(700)) * time.Millisecond)
	}
	s.platform.faulty.Store(false)
	for end := time.Now().Add(vmCalmTime); time.Now().Before(end) && !s.finished(); {
		time.Sleep(time.Second)
	}
	s.check()
	s.stopLeader()
	s.group.Wait()
	time.Sleep(slowestOrder)
}

func (s *vmSchedule) randomEvent() {
	switch s.random.IntN(8) {
	case 0, 1, 2:
		s.submitBurst()
	case 3, 4:
		s.startWave()
	case 5:
		s.startLeader(time.Duration(s.random.IntN(1200)) * time.Millisecond)
	case 6:
		s.crashOne()
	}
}

// submitBurst submits several jobs at once.
func (s *vmSchedule) submitBurst() {
	for range 1 + s.random.IntN(8) {
		id := fmt.Sprintf("%016x", len(s.jobs)+1)
		s.jobs = append(s.jobs, id)
		work := step(4)
		work.Estimate = 600 * time.Millisecond
		work.Need.MemoryMB = 1
		s.submitAndNotify(id, work)
	}
}

// startWave requests the maintenance of some VMs.
func (s *vmSchedule) startWave() {
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
	s.platform.setCap(s.waves, limit)
	deadline := time.Now().Add(time.Duration(10+s.random.IntN(20)) * time.Second)
	s.commit(&workstate.Command{Wave: &workstate.Wave{Number: s.waves, VMs: vms, Cap: limit, DeadlineMS: deadline.UnixMilli()}})
}

// crashOne crashes a worker, which is soon replaced on the same VM.
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
		w.unreachable = true
		s.workers.crash(w)
		w.notifyChanged()
	}
	s.workers.mu.Unlock()
	s.workersStarted++
	name := fmt.Sprintf("c%d", s.workersStarted)
	s.group.Go(func() {
		time.Sleep(500 * time.Millisecond)
		s.vms.mu.Lock()
		replaced := entry.State != execution.VMUp || entry.Worker != id
		s.vms.mu.Unlock()
		if !replaced {
			s.bringUp(vm, pool, name)
		}
	})
}

func (s *vmSchedule) finished() bool {
	finished := s.ended(s.jobs)
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
				s.t.Errorf("seed %d: wave %d has %d of %d VMs done", s.seed, number, len(wave.Settled), len(wave.VMs))
			}
			for _, vm := range wave.VMs {
				if !s.vms.isMaintained(vm, number) {
					s.t.Errorf("seed %d: wave %d is finished without the maintenance of %s", s.seed, number, vm)
				}
			}
		}
	})
	for _, id := range s.jobs {
		if s.outcome(id) != workstate.Succeeded && !s.workers.ledger.mayBeGivenUp(id) {
			s.t.Errorf("seed %d: job %s is %d", s.seed, id, s.outcome(id))
		}
	}
}

// faultyPlatform makes orders for VMs fail at random, checks fencing tokens
// like the platform, and reports violations of caps and holders.
type faultyPlatform struct {
	*fakePlatform
	*dice
	t      *testing.T
	faulty atomic.Bool
	// tokens holds the highest fencing token of each VM, holders the holder
	// that used each token, and caps the cap of each wave.
	tokens  map[string]uint64
	holders map[string]string
	caps    map[int64]int
}

// setCap sets the cap of a wave.
func (p *faultyPlatform) setCap(wave int64, vms int) {
	p.fakePlatform.mu.Lock()
	defer p.fakePlatform.mu.Unlock()
	if p.caps == nil {
		p.caps = map[int64]int{}
	}
	p.caps[wave] = vms
}

// rejectToken records a fencing token and reports whether it is stale.
func (p *faultyPlatform) rejectToken(vm, holder string, token uint64) bool {
	p.fakePlatform.mu.Lock()
	defer p.fakePlatform.mu.Unlock()
	if p.tokens == nil {
		p.tokens = map[string]uint64{}
	}
	if token < p.tokens[vm] {
		return true
	}
	p.tokens[vm] = token
	key := fmt.Sprint(vm, token)
	if other := p.holders[key]; other != "" && other != holder {
		p.t.Errorf("%s and %s order %s under token %d", other, holder, vm, token)
	}
	p.holders[key] = holder
	return false
}

// VMs implements execution.Platform. Some lists fail, are late or leave out VMs.
func (p *faultyPlatform) VMs(ctx context.Context) ([]execution.VM, error) {
	vms, err := p.fakePlatform.VMs(ctx)
	if !p.faulty.Load() {
		return vms, err
	}
	draw := p.drawNext("list")
	switch draw % 6 {
	case 0:
		<-ctx.Done()
		return nil, execution.ErrNoAnswer
	case 1, 2:
		time.Sleep(time.Duration(draw >> 20 % uint64(platformTimeout)))
	case 3:
		var listed []execution.VM
		for _, vm := range vms {
			if p.draw("omit", draw, vm.ID)%6 > 0 {
				listed = append(listed, vm)
			}
		}
		return listed, nil
	}
	return vms, err
}

// Move implements execution.Platform.
func (p *faultyPlatform) Move(ctx context.Context, vm, pool, holder string, token uint64) (execution.VMRefusal, error) {
	return p.call(ctx, vm, holder, token, func() (execution.VMRefusal, error) { return p.fakePlatform.Move(ctx, vm, pool, holder, token) })
}

// StartMaintenance implements execution.Platform.
func (p *faultyPlatform) StartMaintenance(ctx context.Context, vm string, wave int64, holder string, token uint64) (execution.VMRefusal, error) {
	return p.call(ctx, vm, holder, token, func() (execution.VMRefusal, error) {
		refusal, err := p.fakePlatform.StartMaintenance(ctx, vm, wave, holder, token)
		p.checkCap(wave)
		return refusal, err
	})
}

// checkCap reports an error if more VMs are down for a wave than its cap
// allows.
func (p *faultyPlatform) checkCap(wave int64) {
	p.fakePlatform.mu.Lock()
	defer p.fakePlatform.mu.Unlock()
	down := 0
	for _, vm := range p.vms {
		if vm.State == execution.VMMaintenance && p.wave[vm.ID] == wave {
			down++
		}
	}
	if limit := p.caps[wave]; down > limit {
		p.t.Errorf("%d VMs are down for wave %d, the cap is %d", down, wave, limit)
	}
}

func (p *faultyPlatform) call(ctx context.Context, vm, holder string, token uint64, execute func() (execution.VMRefusal, error)) (execution.VMRefusal, error) {
	draw := p.drawNext("platform", vm)
	fault := noFault
	if p.faulty.Load() && draw%3 == 0 {
		fault = callFault(draw >> 8 % uint64(callFaultCount))
	}
	delay := time.Duration(draw >> 20 % uint64(platformTimeout))
	return callWithFault(ctx, fault, delay, func(bool) (execution.VMRefusal, error) {
		if p.rejectToken(vm, holder, token) {
			return execution.VMRefusedFencingToken, nil
		}
		return execute()
	})
}

// disruptionCheck reports orders that stop a long-running task while too many
// other tasks of its step are away.
type disruptionCheck struct {
	t      *testing.T
	budget int
	// since holds the time since when a task has not been at work; ordered
	// tells whether an order stopped it.
	since   map[workload.TaskID]time.Time
	ordered map[workload.TaskID]bool
}

func (c *disruptionCheck) taskStarted(task workload.TaskID) {
	delete(c.since, task)
	delete(c.ordered, task)
}

// taskEnded records that a task is away, stopped by an order or not.
func (c *disruptionCheck) taskEnded(task workload.TaskID, byOrder bool) {
	if byOrder {
		others := 0
		for other, since := range c.since {
			if other != task && (c.ordered[other] || time.Since(since) > detectionTime) {
				others++
			}
		}
		if others >= c.budget {
			c.t.Errorf("an order stops %s while %d others are away", task, others)
		}
	}
	c.since[task] = time.Now()
	c.ordered[task] = byOrder
}
