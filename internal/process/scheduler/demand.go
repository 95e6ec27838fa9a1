package scheduler

import (
	"fmt"
	"math"
	"time"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// packing is the share of a VM that tasks of up to a third of it fill.
	packing = 0.85
	// minPoolVMs stay in each pool, so that a job finds a VM at once and
	// another when that one fails.
	minPoolVMs = 2
	// learningTime is how long a leader watches arrivals before it
	// switches VMs off: it does not know what came before.
	learningTime = 4 * time.Second
)

// demandState is what the leader learns of the load.
type demandState struct {
	forecasts map[string]*rebalance.Forecast
	// meanWork is the mean work of a queue's jobs, in core seconds.
	meanWork map[string]float64
	// firstArrival is when the first job came that does not last.
	firstArrival time.Time
	nextLog      time.Time
}

func (d *demandState) forecast(service string) *rebalance.Forecast {
	f := d.forecasts[service]
	if f == nil {
		f = &rebalance.Forecast{}
		d.forecasts[service] = f
	}
	return f
}

// arrived notes a new job.
func (l *loop) arrived(id string, now time.Time) {
	l.dirty = true
	l.Machine.Read(func(v *workstate.View) {
		job := v.Job(id)
		if job == nil {
			return
		}
		if l.demand.firstArrival.IsZero() && !job.Spec.LongRunning() {
			l.demand.firstArrival = now
		}
		l.demand.noteWork(job.Queue, coreSeconds(&job.Spec))
		l.demand.forecast(v.ServiceOf(job)).AddArrival(now, l.firstLoad(&job.Spec))
	})
}

// firstLoad is what a job takes when it begins.
func (l *loop) firstLoad(spec *workload.Spec) rebalance.Load {
	load := rebalance.Load(0)
	for i := range spec.Steps {
		if step := &spec.Steps[i]; len(step.DependsOn) == 0 {
			load += l.load(step.Charge()) * rebalance.Load(step.Count)
		}
	}
	return load
}

// coreSeconds is the estimate of a job's work.
func coreSeconds(spec *workload.Spec) float64 {
	work := 0.0
	for i := range spec.Steps {
		work += stepWork(&spec.Steps[i], spec.Steps[i].Count)
	}
	return work
}

// stepWork is the estimate of the work of some tasks of a step.
func stepWork(step *workload.Step, tasks int) float64 {
	return float64(tasks) * float64(step.Need.MilliCPU) / 1000 * step.Estimate.Seconds()
}

// meanWeight is the weight of the newest job in the mean work of a queue.
const meanWeight = 0.05

// noteWork follows the mean work of a queue's jobs.
func (d *demandState) noteWork(queue string, work float64) {
	mean, known := d.meanWork[queue]
	if !known {
		mean = work
	}
	d.meanWork[queue] = mean + meanWeight*(work-mean)
}

// load is the larger share of a VM's capacity.
func (l *loop) load(r workload.Resources) rebalance.Load {
	c := l.vmCapacity
	if c.MilliCPU == 0 || c.MemoryMB == 0 {
		return 0
	}
	return rebalance.Load(max(float64(r.MilliCPU)/float64(c.MilliCPU), float64(r.MemoryMB)/float64(c.MemoryMB)))
}

// noteCapacity keeps the mean capacity of the workers.
func (l *loop) noteCapacity() {
	var sum workload.Resources
	count := int64(0)
	for _, w := range l.workers {
		if w.reg.Capacity.MilliCPU > 0 && w.reg.Capacity.MemoryMB > 0 {
			sum = sum.Add(w.reg.Capacity)
			count++
		}
	}
	if count > 0 {
		l.vmCapacity = workload.Resources{MilliCPU: sum.MilliCPU / count, MemoryMB: sum.MemoryMB / count}
	}
}

// planMoves moves VMs to where the load is.
func (l *loop) planMoves(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) {
	l.vacating = map[string]bool{}
	if !l.mayOrder(now) || l.fleet.listedAt.IsZero() {
		return
	}
	l.noteCapacity()
	pools := l.wantedPools(v, u, groups, now)
	vms := l.movableVMs(u, now)
	l.logPools(pools, vms, now)
	moves := rebalance.Plan(pools, vms)
	l.vacate(rebalance.SelectDrains(pools, vms, moves), u, now)
	for _, move := range moves {
		e := l.fleet.entries[move.VM]
		if !l.mayOrder(now) || e.barred[move.To] {
			continue
		}
		l.orderVM(e, vmOrder{pool: move.To}, now)
	}
}

// poolLogInterval is the time between lines on pools that lack VMs.
const poolLogInterval = 500 * time.Millisecond

// logPools says why VMs move: what each pool wants and has, as
// SERVING/WANT/KEEP+FREE.
func (l *loop) logPools(pools []rebalance.Pool, vms []rebalance.VM, now time.Time) {
	if now.Before(l.demand.nextLog) {
		return
	}
	serving, free := map[string]int{}, map[string]int{}
	for _, vm := range vms {
		if vm.Serving {
			serving[vm.Pool]++
		}
		if vm.Movable {
			free[vm.Pool]++
		}
	}
	lacks := false
	var attrs []any
	for _, p := range pools {
		lacks = lacks || p.Desired > serving[p.Name]
		attrs = append(attrs, p.Name, fmt.Sprintf("%d/%d/%d+%d", serving[p.Name], p.Desired, p.Retain, free[p.Name]))
	}
	if lacks {
		l.demand.nextLog = now.Add(poolLogInterval)
		l.Log.Info("pools lack VMs", attrs...)
	}
}

// wantedPools returns what each pool wants.
func (l *loop) wantedPools(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) []rebalance.Pool {
	busy := l.poolLoads(u)
	for _, g := range groups {
		busy[g.Service] += l.load(g.Charge) * rebalance.Load(len(g.Indexes))
	}
	spread := l.spreadOver(v, groups)
	learning := l.demand.firstArrival.IsZero() || now.Sub(l.demand.firstArrival) < learningTime || now.Sub(l.since) < learningTime
	var pools []rebalance.Pool
	for i := range v.Catalog().Services {
		service := &v.Catalog().Services[i]
		pool := rebalance.Pool{Name: service.Name, Standby: service.Standby}
		if !service.Standby {
			f := l.demand.forecast(service.Name)
			load := f.Predict(now, busy[service.Name])
			pool.Desired = max(minPoolVMs, int(math.Ceil(float64(load)/packing)), spread[service.Name])
			pool.Retain = f.RecentPeak(now, pool.Desired)
			pool.WarmingUp = learning
		}
		pools = append(pools, pool)
	}
	return pools
}

// spreadOver returns the number of VMs that each pool needs because some
// steps may have only a few tasks on one worker.
func (l *loop) spreadOver(v *workstate.View, groups []*placement.Group) map[string]int {
	spread := map[string]int{}
	need := func(service string, tasks, perWorker int) {
		if perWorker > 0 {
			spread[service] = max(spread[service], (tasks+perWorker-1)/perWorker)
		}
	}
	for _, g := range groups {
		need(g.Service, len(g.Indexes), g.MaxPerWorker)
	}
	for _, job := range v.Active() {
		if job.Outcome != workstate.Open {
			continue
		}
		for s := range job.Spec.Steps {
			if step := &job.Spec.Steps[s]; step.LongRunning {
				need(v.ServiceOf(job), step.Count, step.MaxPerWorker)
			}
		}
	}
	return spread
}

// poolLoads sums what executes in each pool.
func (l *loop) poolLoads(u *usage) map[string]rebalance.Load {
	busy := map[string]rebalance.Load{}
	for id, taken := range u.taken {
		if w := l.workers[id]; w != nil {
			busy[w.reg.Service] += l.load(taken)
		}
	}
	return busy
}

// movableVMs returns all VMs that take part in the plan.
func (l *loop) movableVMs(u *usage, now time.Time) []rebalance.VM {
	cutOff := l.silentZones()
	var vms []rebalance.VM
	for id, e := range l.fleet.entries {
		w := u.workerOn[id]
		vm := rebalance.VM{ID: id, Pool: e.vm.Pool}
		paused := now.Before(e.pausedUntil) || l.upkeep.holds(id) || e.calling
		switch {
		case e.order != nil && e.order.pool != "":
			vm.Pool, vm.Serving = e.order.pool, true
		case e.away():
		case w == nil:
			// Switched off, or not heard yet.
			vm.Serving = false
			vm.Movable = !paused && !cutOff[e.vm.Zone]
		case w.silent || !w.contact:
			// Elsewhere it would be out of reach as well.
		default:
			vm.Serving = w.usable(now) && !l.upkeep.holds(id)
			vm.Movable = !paused && !w.reg.Draining && u.runs[w.reg.ID] == 0
			vm.Load = float64(l.load(u.taken[w.reg.ID]))
			vm.LongRunning = u.lastingRuns[w.reg.ID] > 0
			vm.Drainable = !paused && !w.reg.Draining && (!vm.LongRunning || l.canRehome(u, w, now))
		}
		vms = append(vms, vm)
	}
	return vms
}

// silentZones returns the availability zones in which most workers do not
// answer.
func (l *loop) silentZones() map[string]bool {
	balance := map[string]int{}
	for _, w := range l.workers {
		if w.silent {
			balance[w.reg.Zone]++
		} else {
			balance[w.reg.Zone]--
		}
	}
	silent := map[string]bool{}
	for zone, difference := range balance {
		silent[zone] = difference > 0
	}
	return silent
}

// isStandby says whether a VM is switched off.
func (e *vmEntry) isStandby(v *workstate.View) bool {
	service := v.Catalog().Service(e.vm.Pool)
	return service != nil && service.Standby && e.vm.State == execution.VMUp
}
