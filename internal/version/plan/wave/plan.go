package wave

import (
	"fmt"
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Widths and timeouts of a wave.
const (
	// InitialWidth is the width of a new run: the number of VMs that may be
	// out of service at once.
	InitialWidth = 2
	// WidthAfterLoss is the width of a run after a loss.
	WidthAfterLoss = 1
	// LossHoldTime is the time after a loss during which a run takes no
	// further VM out of service.
	LossHoldTime = 15 * time.Second
	// maxLeaseAge is the time after which every lease granted before a reboot
	// has expired.
	maxLeaseAge = 3 * time.Second
	// rebootTimeout is the time within which a VM must have returned from its
	// reboot, and after that the time within which it must be healthy.
	rebootTimeout = 5 * time.Minute
)

// Result holds the planner's proposals for all runs.
type Result struct {
	Steps []plan.WaveStep
	// Losses holds the new loss counts of runs whose count has changed.
	Losses []Losses
	// Ended lists the runs that have no work left.
	Ended []string
	// Blocked gives, by run, the reasons why VMs make no progress.
	Blocked map[string][]plan.Blocked
}

// Losses sets the number of unplanned losses in the pools of a run.
type Losses struct {
	Run   string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
}

// planner plans one run.
type planner struct {
	in     *plan.Input
	vms    map[string]*plan.VM
	gate   *plan.Gate
	run    *plan.WaveRun
	wave   *fleet.Wave
	result *Result
}

// Plan proposes the next steps of all open runs. The gate is shared with the
// other planners; Plan records in it which VMs it takes out of service.
func Plan(in *plan.Input, gate *plan.Gate) Result {
	result := Result{Blocked: map[string][]plan.Blocked{}}
	vms := in.Index()
	for i := range in.Runs {
		run := &in.Runs[i]
		if !run.Open() {
			continue
		}
		p := &planner{in: in, vms: vms, gate: gate, run: run, wave: findWave(in.Document, run.Wave), result: &result}
		p.plan()
	}
	return result
}

// findWave returns the declared wave of the given name, or nil.
func findWave(document *fleet.Document, name string) *fleet.Wave {
	if document == nil {
		return nil
	}
	for i := range document.Waves {
		if document.Waves[i].Name == name {
			return &document.Waves[i]
		}
	}
	return nil
}

func (p *planner) plan() {
	for _, name := range p.vmNames() {
		p.advance(name, p.run.VMs[name])
	}
	if p.recordLosses() {
		return
	}
	if p.finished() {
		p.result.Ended = append(p.result.Ended, p.run.ID)
		return
	}
	p.admit()
}

// vmNames returns the names of the run's VMs, sorted.
func (p *planner) vmNames() []string {
	names := make([]string, 0, len(p.run.VMs))
	for name := range p.run.VMs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (p *planner) addStep(vm string, epoch uint64, to plan.StepState, cause string) {
	p.result.Steps = append(p.result.Steps, plan.WaveStep{Run: p.run.ID, VM: vm, Epoch: epoch, To: to, Cause: cause})
}

func (p *planner) addBlocked(vm, format string, args ...any) {
	blocked := plan.Blocked{VM: vm, Reason: fmt.Sprintf(format, args...)}
	p.result.Blocked[p.run.ID] = append(p.result.Blocked[p.run.ID], blocked)
}

// advance proposes the next step of a VM that the run has taken out of
// service. A VM that is no longer in the fleet is skipped.
func (p *planner) advance(name string, progress plan.Progress) {
	vm := p.vms[name]
	if vm == nil {
		if progress.State != plan.Done && progress.State != plan.Skipped {
			p.addStep(name, 0, plan.Skipped, "the VM left the fleet")
		}
		return
	}
	switch progress.State {
	case plan.Draining:
		p.advanceDrain(vm, progress)
	case plan.Rebooting:
		p.advanceReboot(vm, progress)
	case plan.Settling:
		p.advanceSettle(vm, progress)
	case plan.Lost:
		p.advanceLost(vm, progress)
	}
}

// advanceDrain proposes to reboot a VM once it is drained. It returns the VM
// to service if the run is no longer running or if the budget no longer allows
// its absence.
func (p *planner) advanceDrain(vm *plan.VM, progress plan.Progress) {
	switch {
	case p.wave == nil:
		p.rollBack(vm, "the document no longer declares the wave")
	case p.run.Status != plan.Running:
		p.rollBack(vm, "the run is "+string(p.run.Status))
	case p.gate.Margin(vm.Pool) < 0:
		p.rollBack(vm, "an unplanned loss needs the VM's slots")
	case !vm.Drained:
		p.reportDrain(vm, progress)
	default:
		p.addStep(vm.Name, vm.Epoch, plan.Rebooting, "every entry of the zone has confirmed the drain")
	}
}

// rollBack proposes to return a draining VM to service.
func (p *planner) rollBack(vm *plan.VM, cause string) {
	p.gate.PutBack(vm)
	p.addStep(vm.Name, vm.Epoch, plan.Pending, cause)
}

// reportDrain records which confirmations a drain is waiting for. A drain is
// never forced.
func (p *planner) reportDrain(vm *plan.VM, progress plan.Progress) {
	age := time.Duration(p.in.NowMS-progress.SinceMS) * time.Millisecond
	late := ""
	if age > time.Duration(p.wave.DrainS)*time.Second {
		late = fmt.Sprintf("late by its limit of %d s: ", p.wave.DrainS)
	}
	p.addBlocked(vm.Name, "%sdraining for %s, not confirmed by %v", late, age.Round(time.Second), vm.Unconfirmed)
}

// advanceReboot moves a VM on to the settle phase after its reboot, or
// declares it lost if the reboot takes too long.
func (p *planner) advanceReboot(vm *plan.VM, progress plan.Progress) {
	if rebooted(vm, progress) {
		p.addStep(vm.Name, vm.Epoch, plan.Settling, "the platform has carried out the reboot")
		return
	}
	if p.overdue(progress) {
		p.addStep(vm.Name, vm.Epoch, plan.Lost, "the platform has not brought the VM back within "+rebootTimeout.String())
		return
	}
	p.addBlocked(vm.Name, "waiting for the platform to carry out reboot %s", progress.Order)
}

// rebooted reports whether the platform runs the VM and the reboot of this run
// was its last order.
func rebooted(vm *plan.VM, progress plan.Progress) bool {
	return vm.Platform.Known && vm.Platform.Running && vm.Platform.LastOrder == progress.Order
}

// overdue reports whether a VM has been in its state for longer than
// rebootTimeout.
func (p *planner) overdue(progress plan.Progress) bool {
	return p.in.NowMS-progress.SinceMS > rebootTimeout.Milliseconds()
}

// advanceSettle returns a VM to service once it has been healthy for its
// settle time and all leases from before the reboot have expired. A VM that
// does not become healthy in time is lost.
func (p *planner) advanceSettle(vm *plan.VM, progress plan.Progress) {
	settle := p.settleTime()
	age := p.in.NowMS - progress.SinceMS
	healthy := vm.Health == plan.Up && vm.LiveSinceMS > 0 && p.in.NowMS-vm.LiveSinceMS >= settle.Milliseconds()
	switch {
	case healthy && age >= max(settle, maxLeaseAge).Milliseconds():
		p.addStep(vm.Name, vm.Epoch, plan.Done, "healthy for its settle time")
	case p.overdue(progress):
		p.addStep(vm.Name, vm.Epoch, plan.Lost, "not healthy again within "+rebootTimeout.String())
	}
}

func (p *planner) settleTime() time.Duration {
	if p.wave == nil {
		return fleet.DefaultSettleS * time.Second
	}
	return time.Duration(p.wave.SettleS) * time.Second
}

// advanceLost moves a lost VM on to the settle phase if it has returned after
// all.
func (p *planner) advanceLost(vm *plan.VM, progress plan.Progress) {
	if rebooted(vm, progress) && vm.Health == plan.Up {
		p.addStep(vm.Name, vm.Epoch, plan.Settling, "the VM is back")
		return
	}
	p.addBlocked(vm.Name, "lost: the VM has not come back after reboot %s", progress.Order)
}

// recordLosses proposes a new loss count if the losses in the run's pools have
// changed. It returns true if the count has risen: the run then takes no
// further VM out of service in this plan.
func (p *planner) recordLosses() bool {
	count := 0
	pools := p.pools()
	for i := range p.in.VMs {
		vm := &p.in.VMs[i]
		if pools[vm.Pool] && (vm.Phase == view.Lost || vm.Phase == view.Serving && vm.Health == plan.Down) {
			count++
		}
	}
	if count == p.run.Losses {
		return false
	}
	p.result.Losses = append(p.result.Losses, Losses{Run: p.run.ID, Count: count})
	return count > p.run.Losses
}

// pools returns the set of pools that contain VMs of the run.
func (p *planner) pools() map[string]bool {
	pools := map[string]bool{}
	for name := range p.run.VMs {
		if vm := p.vms[name]; vm != nil {
			pools[vm.Pool] = true
		}
	}
	return pools
}

// finished reports whether the run is running and all of its VMs are done or
// skipped.
func (p *planner) finished() bool {
	for _, progress := range p.run.VMs {
		if progress.State != plan.Done && progress.State != plan.Skipped {
			return false
		}
	}
	return p.run.Status == plan.Running
}
