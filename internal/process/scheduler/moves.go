package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"arbutusward.example/arbutusward/internal/connection/execution"
	"arbutusward.example/arbutusward/internal/process/workstate"
	"arbutusward.example/arbutusward/internal/version/placement"
	"arbutusward.example/arbutusward/internal/version/rebalance"
	"arbutusward.example/arbutusward/internal/version/workload"
)

const (
	// minPoolVMs is the minimum number of VMs in each pool, so that a new job
	// finds a VM at once and another one if that VM fails.
	minPoolVMs = 2
	// warmUpTime is how long a new leader observes arrivals before it powers
	// VMs off, since it does not know the earlier load.
	warmUpTime = 4 * time.Second
)

// loadNeeds tells which VMs the load needs, so that maintenance with time leaves them.
type loadNeeds struct {
	// short is set if pools are short of VMs even after all moves.
	short bool
	// moving holds the VMs that are to move to pools that are short.
	moving map[string]bool
}

// needsOfLoad returns the needs of the load before VMs are cordoned in this round.
func (l *loop) needsOfLoad(u *usage, pools []rebalance.Pool, now time.Time) loadNeeds {
	vms := l.rebalanceVMs(u, now)
	for i := range vms {
		if _, cordoned := l.maintenance.previously[vms[i].ID]; cordoned {
			vms[i].Serving, vms[i].Movable, vms[i].Drainable = false, false, false
		}
	}
	pools = slices.Clone(pools)
	standby := map[string]bool{}
	for i := range pools {
		pools[i].Desired, pools[i].Yields = pools[i].ForLoad, false
		standby[pools[i].Name] = pools[i].Standby
	}
	moves := rebalance.Plan(pools, vms)
	needs := loadNeeds{short: rebalance.IsShort(pools, vms, moves), moving: make(map[string]bool, len(moves))}
	for _, move := range moves {
		needs.moving[move.VM] = !standby[move.To]
	}
	return needs
}

// planMoves moves VMs between pools to follow the load.
func (l *loop) planMoves(v *workstate.View, u *usage, pools []rebalance.Pool, now time.Time) {
	l.draining = map[string]bool{}
	if !l.mayOrderVM(now) || !l.fleet.listed {
		return
	}
	l.repeatMoves(v, now)
	vms := l.rebalanceVMs(u, now)
	l.logPools(pools, vms, now)
	moves := rebalance.Plan(pools, vms)
	if rebalance.IsShort(pools, vms, moves) {
		l.excludeUnrelocatable(vms, v, u, now)
		l.drainForPools(rebalance.SelectDrains(pools, vms, moves), v, u, now)
	}
	for _, move := range moves {
		e := l.fleet.entries[move.VM]
		if !l.mayOrderVM(now) || e.refusedPools[move.To] {
			continue
		}
		if _, yields := u.yielding[move.From]; yields {
			vmsYielded.Inc()
		}
		l.orderVM(e, vmOrder{pool: move.To}, now)
	}
}

// vmsYielded counts the VMs that are ordered to leave pools that yield.
var vmsYielded = metrics.NewCounter(`arbutus_vms_yielded_total`)

// poolLogInterval is the minimum time between log lines about pools that are
// short of VMs.
const poolLogInterval = 500 * time.Millisecond

// logPools logs the state of all pools if one is short of VMs, as
// SERVING/DESIRED/RETAIN+MOVABLE. It explains why VMs are moved.
func (l *loop) logPools(pools []rebalance.Pool, vms []rebalance.VM, now time.Time) {
	if now.Before(l.demand.nextLog) {
		return
	}
	serving, movable := map[string]int{}, map[string]int{}
	for _, vm := range vms {
		if vm.Serving {
			serving[vm.Pool]++
		}
		if vm.Movable {
			movable[vm.Pool]++
		}
	}
	short := false
	var attrs []any
	for _, p := range pools {
		short = short || p.Desired > serving[p.Name]
		attrs = append(attrs, p.Name, fmt.Sprintf("%d/%d/%d+%d", serving[p.Name], p.Desired, p.Retain, movable[p.Name]))
	}
	if short {
		l.demand.nextLog = now.Add(poolLogInterval)
		l.Log.Info("pools short of VMs", attrs...)
	}
}

// desiredPools returns the pools with their desired numbers of VMs.
func (l *loop) desiredPools(v *workstate.View, u *usage, groups []*placement.Group, now time.Time) []rebalance.Pool {
	demands := l.poolDemands(v, u, groups, now)
	spread := l.vmsForSpread(v, groups)
	warmingUp := l.demand.firstArrival.IsZero() || now.Sub(l.demand.firstArrival) < warmUpTime || now.Sub(l.since) < warmUpTime
	var pools []rebalance.Pool
	for i := range v.Catalog().Services {
		service := &v.Catalog().Services[i]
		pool := rebalance.Pool{Name: service.Name, Standby: service.Standby}
		if !service.Standby {
			f := l.demand.forecast(service.Name)
			demand := demands[service.Name]
			load := demand.Total()
			predicted := f.Predict(now, load)
			demand[rebalance.InTime] += predicted - load
			pool.Demand = demand.Scale(1 / workload.PackingRatio)
			pool.ForLoad = int(math.Ceil(float64(predicted) / workload.PackingRatio))
			pool.Least = max(minPoolVMs, spread[service.Name])
			pool.Desired = max(pool.Least, pool.ForLoad)
			pool.Retain = f.RecentPeak(now, pool.Desired)
			pool.WarmingUp = warmingUp
		}
		pools = append(pools, pool)
	}
	if desired := rebalance.TotalDesired(pools); l.fleet.listed {
		rebalance.Apportion(pools, l.usableVMs(u, desired, now))
	}
	return pools
}

// yieldingPools returns, by name, the number of VMs that a pool keeps which yields others.
func yieldingPools(pools []rebalance.Pool) map[string]int {
	yielding := map[string]int{}
	for i := range pools {
		if pools[i].Yields {
			yielding[pools[i].Name] = pools[i].Desired
		}
	}
	return yielding
}

// usableVMs returns the number of VMs that serve in a pool or may join one. It stops at a
// limit, so that a fleet that suffices is not counted as a whole.
func (l *loop) usableVMs(u *usage, limit int, now time.Time) int {
	cutOff := l.unresponsiveZones()
	usable := 0
	for id, e := range l.fleet.entries {
		if usable >= limit {
			break
		}
		if vm := l.rebalanceVM(u, id, e, cutOff, now); vm.Serving || vm.Movable {
			usable++
		}
	}
	return usable
}

// vmsForSpread returns the number of VMs that each pool needs because some
// steps have a limit of tasks per worker.
func (l *loop) vmsForSpread(v *workstate.View, groups []*placement.Group) map[string]int {
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
			if step := &job.Spec.Steps[s]; step.LongRunning && step.MaxPerWorker > 0 {
				need(v.ServiceOf(job), step.Count, step.MaxPerWorker)
			}
		}
	}
	return spread
}

// rebalanceVMs returns all known VMs in the form that package rebalance uses.
func (l *loop) rebalanceVMs(u *usage, now time.Time) []rebalance.VM {
	cutOff := l.unresponsiveZones()
	vms := make([]rebalance.VM, 0, len(l.fleet.entries))
	for id, e := range l.fleet.entries {
		vms = append(vms, l.rebalanceVM(u, id, e, cutOff, now))
	}
	return vms
}

// rebalanceVM returns a VM in the form that package rebalance uses. cutOff holds the
// availability zones whose workers are unresponsive.
func (l *loop) rebalanceVM(u *usage, id string, e *vmEntry, cutOff map[string]bool, now time.Time) rebalance.VM {
	w := u.workerOn[id]
	vm := rebalance.VM{ID: id, Pool: e.vm.Pool}
	paused := now.Before(e.pausedUntil) || l.maintenance.isCordoned(id) || e.calling
	switch {
	case e.order != nil && e.order.pool != "":
		vm.Pool, vm.Serving = e.order.pool, true
	case e.unavailable():
	case w == nil:
		// The VM is powered off, or its worker has not registered yet.
		vm.Serving = false
		vm.Movable = !paused && !cutOff[e.vm.Zone]
	case !w.answering():
		// The VM would be unreachable in another pool as well.
	default:
		vm.Serving = w.schedulable(now) && !l.maintenance.isCordoned(id)
		vm.Movable = !paused && !w.reg.Draining && u.load(w).runs == 0 && !u.relocation.IsReserved(w.reg.ID)
		vm.Load = float64(l.load(u.usedOn(w)))
		vm.IdleIn = u.load(w).idleIn
		vm.LongRunning = len(u.load(w).longRunning) > 0
		vm.Drainable = !paused && !w.reg.Draining
	}
	return vm
}

// excludeUnrelocatable marks the VMs as not drainable whose long-running tasks have no
// other place.
func (l *loop) excludeUnrelocatable(vms []rebalance.VM, v *workstate.View, u *usage, now time.Time) {
	for i := range vms {
		vm := &vms[i]
		if vm.Drainable && vm.LongRunning {
			vm.Drainable = l.relocationPlan(v, u, now).CanClose(u.workerOn[vm.ID].reg.ID)
		}
	}
}

// unresponsiveZones returns the availability zones in which most workers are
// unresponsive.
func (l *loop) unresponsiveZones() map[string]bool {
	balance := map[string]int{}
	for _, w := range l.workerList {
		if w.unresponsive {
			balance[w.reg.Zone]++
		} else {
			balance[w.reg.Zone]--
		}
	}
	unresponsive := map[string]bool{}
	for zone, difference := range balance {
		unresponsive[zone] = difference > 0
	}
	return unresponsive
}

// isStandby reports whether a VM is in the standby pool, where it is powered
// off.
func (e *vmEntry) isStandby(v *workstate.View) bool {
	return isStandby(v, e.vm.Pool) && e.vm.State == execution.VMUp
}

// isStandby reports whether the VMs of a pool are powered off.
func isStandby(v *workstate.View, pool string) bool {
	service := v.Catalog().Service(pool)
	return service != nil && service.Standby
}
