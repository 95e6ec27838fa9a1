package wave

import (
	"fmt"
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Times and widths of a wave.
const (
	// FirstWidth is the number of VMs that a run begins with.
	FirstWidth = 2
	// WidthAfterLoss is the width that a run falls back to.
	WidthAfterLoss = 1
	// LossHold is the time for which a run takes no further VM after a loss.
	LossHold = 15 * time.Second
	// leaseHorizon is the time after which a lease from before a reboot has
	// ended for certain.
	leaseHorizon = 3 * time.Second
	// rebootLimit is the time within which a VM must be back.
	rebootLimit = 5 * time.Minute
)

// Result is what a planner proposes for all runs.
type Result struct {
	Steps []plan.WaveStep
	// Losses are changes of the number of losses that a run reacts to.
	Losses []Losses
	// Ended names runs that have nothing left to do.
	Ended []string
	// Blocked says for each run why VMs cannot go on.
	Blocked map[string][]plan.Blocked
}

// Losses tells a run of the unplanned losses in its pools.
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

// Plan proposes the next steps of all open runs. The gate is shared with
// other planners and notes what is taken out.
func Plan(in *plan.Input, gate *plan.Gate) Result {
	result := Result{Blocked: map[string][]plan.Blocked{}}
	vms := in.Index()
	for i := range in.Runs {
		run := &in.Runs[i]
		if !run.Open() {
			continue
		}
		p := &planner{in: in, vms: vms, gate: gate, run: run, wave: declared(in.Document, run.Wave), result: &result}
		p.plan()
	}
	return result
}

func declared(document *fleet.Document, name string) *fleet.Wave {
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
	for _, name := range p.names() {
		p.advance(name, p.run.VMs[name])
	}
	if p.noteLosses() {
		return
	}
	if p.finished() {
		p.result.Ended = append(p.result.Ended, p.run.ID)
		return
	}
	p.admit()
}

// names returns the VMs of the run in a stable order.
func (p *planner) names() []string {
	names := make([]string, 0, len(p.run.VMs))
	for name := range p.run.VMs {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (p *planner) step(vm string, epoch uint64, to plan.StepState, cause string) {
	p.result.Steps = append(p.result.Steps, plan.WaveStep{Run: p.run.ID, VM: vm, Epoch: epoch, To: to, Cause: cause})
}

func (p *planner) blocked(vm, format string, args ...any) {
	blocked := plan.Blocked{VM: vm, Reason: fmt.Sprintf(format, args...)}
	p.result.Blocked[p.run.ID] = append(p.result.Blocked[p.run.ID], blocked)
}

// advance moves one VM on that the run has taken.
func (p *planner) advance(name string, progress plan.Progress) {
	vm := p.vms[name]
	if vm == nil {
		if progress.State != plan.Done && progress.State != plan.Skipped {
			p.step(name, 0, plan.Skipped, "the VM left the fleet")
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

// advanceDrain reboots a drained VM, or gives it back to its pool when the
// run is stopped or the budget no longer allows for its absence.
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
		p.step(vm.Name, vm.Epoch, plan.Rebooting, "every entry of the zone has confirmed the drain")
	}
}

func (p *planner) rollBack(vm *plan.VM, cause string) {
	p.gate.Restore(vm)
	p.step(vm.Name, vm.Epoch, plan.Pending, cause)
}

// reportDrain says what a drain waits for; it is never forced.
func (p *planner) reportDrain(vm *plan.VM, progress plan.Progress) {
	age := time.Duration(p.in.NowMS-progress.SinceMS) * time.Millisecond
	late := ""
	if age > time.Duration(p.wave.DrainS)*time.Second {
		late = fmt.Sprintf("late by its limit of %d s: ", p.wave.DrainS)
	}
	p.blocked(vm.Name, "%sdraining for %s, not confirmed by %v", late, age.Round(time.Second), vm.Unconfirmed)
}

func (p *planner) advanceReboot(vm *plan.VM, progress plan.Progress) {
	if rebooted(vm, progress) {
		p.step(vm.Name, vm.Epoch, plan.Settling, "the platform has carried out the reboot")
		return
	}
	if p.overdue(progress) {
		p.step(vm.Name, vm.Epoch, plan.Lost, "the platform has not brought the VM back within "+rebootLimit.String())
		return
	}
	p.blocked(vm.Name, "waiting for the platform to carry out reboot %s", progress.Order)
}

// rebooted says whether the platform runs the VM after this very order.
func rebooted(vm *plan.VM, progress plan.Progress) bool {
	return vm.Platform.Known && vm.Platform.Running && vm.Platform.LastOrder == progress.Order
}

func (p *planner) overdue(progress plan.Progress) bool {
	return p.in.NowMS-progress.SinceMS > rebootLimit.Milliseconds()
}

// advanceSettle counts the VM again once it was healthy for its settle time.
func (p *planner) advanceSettle(vm *plan.VM, progress plan.Progress) {
	settle := p.settleTime()
	age := p.in.NowMS - progress.SinceMS
	healthy := vm.Health == plan.Up && vm.LiveSinceMS > 0 && p.in.NowMS-vm.LiveSinceMS >= settle.Milliseconds()
	switch {
	case healthy && age >= max(settle, leaseHorizon).Milliseconds():
		p.step(vm.Name, vm.Epoch, plan.Done, "healthy for its settle time")
	case p.overdue(progress):
		p.step(vm.Name, vm.Epoch, plan.Lost, "not healthy again within "+rebootLimit.String())
	}
}

func (p *planner) settleTime() time.Duration {
	if p.wave == nil {
		return fleet.DefaultSettleS * time.Second
	}
	return time.Duration(p.wave.SettleS) * time.Second
}

// advanceLost lets a lost VM settle once it is back after all.
func (p *planner) advanceLost(vm *plan.VM, progress plan.Progress) {
	if rebooted(vm, progress) && vm.Health == plan.Up {
		p.step(vm.Name, vm.Epoch, plan.Settling, "the VM is back")
		return
	}
	p.blocked(vm.Name, "lost: the VM has not come back after reboot %s", progress.Order)
}

// noteLosses tells the run of a change in the losses of its pools. It
// reports true for a new loss: the run then takes nothing out this time.
func (p *planner) noteLosses() bool {
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

// pools returns the pools that the run's VMs are in.
func (p *planner) pools() map[string]bool {
	pools := map[string]bool{}
	for name := range p.run.VMs {
		if vm := p.vms[name]; vm != nil {
			pools[vm.Pool] = true
		}
	}
	return pools
}

func (p *planner) finished() bool {
	for _, progress := range p.run.VMs {
		if progress.State != plan.Done && progress.State != plan.Skipped {
			return false
		}
	}
	return p.run.Status == plan.Running
}
