package moves

import (
	"fmt"
	"sort"

	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// Result holds the planner's proposals.
type Result struct {
	Steps []plan.MoveStep
	// Blocked gives the reasons why VMs that should move cannot move at
	// present.
	Blocked []plan.Blocked
}

// planner plans the moves of one snapshot.
type planner struct {
	in     *plan.Input
	gate   *plan.Gate
	dwellS map[string]int
	result Result
}

// Plan proposes the next steps of all moves. The gate is shared with the other
// planners; Plan records in it which VMs it takes out of service.
func Plan(in *plan.Input, gate *plan.Gate) Result {
	p := &planner{in: in, gate: gate, dwellS: map[string]int{}}
	if in.Document == nil {
		return p.result
	}
	for _, pool := range in.Document.Pools {
		p.dwellS[pool.Name] = pool.MinDwellS
	}
	for i := range in.VMs {
		vm := &in.VMs[i]
		if move, moving := in.Moves[vm.Name]; moving {
			p.advance(vm, move)
		}
	}
	for _, vm := range p.candidates() {
		p.start(vm)
	}
	return p.result
}

func (p *planner) addStep(kind plan.MoveKind, vm *plan.VM, pool, cause string) {
	step := plan.MoveStep{Kind: kind, VM: vm.Name, Epoch: vm.Epoch, Pool: pool, Cause: cause}
	p.result.Steps = append(p.result.Steps, step)
}

func (p *planner) addBlocked(vm *plan.VM, format string, args ...any) {
	p.result.Blocked = append(p.result.Blocked, plan.Blocked{VM: vm.Name, Reason: fmt.Sprintf(format, args...)})
}

// advance proposes the next step of a move that has started: commit, cancel or
// retire.
func (p *planner) advance(vm *plan.VM, move plan.Move) {
	switch {
	case vm.Desired != move.To:
		p.cancel(vm, "the document now names pool "+poolOrNone(vm.Desired))
	case p.gate.Margin(vm.Pool) < 0 && vm.Health == plan.Up:
		p.cancel(vm, "an unplanned loss needs the VM's slots")
	case !vm.Drained:
		p.addBlocked(vm, "draining, not confirmed by %v", vm.Unconfirmed)
	case move.To == "":
		p.addStep(plan.RetireVM, vm, "", "drained")
	default:
		p.addStep(plan.CommitMove, vm, move.To, "every entry of the zone has confirmed the drain")
	}
}

func (p *planner) cancel(vm *plan.VM, cause string) {
	p.gate.PutBack(vm)
	p.addStep(plan.CancelMove, vm, vm.Pool, cause)
}

// poolOrNone returns the name of a pool for use in a cause, or "none".
func poolOrNone(pool string) string {
	if pool == "" {
		return "none"
	}
	return pool
}

// candidates returns the serving VMs that are not in their desired pool and
// are not yet moving. VMs whose new pool has the smallest margin come first.
func (p *planner) candidates() []*plan.VM {
	var found []*plan.VM
	for i := range p.in.VMs {
		vm := &p.in.VMs[i]
		_, moving := p.in.Moves[vm.Name]
		if vm.Phase == view.Serving && vm.Desired != vm.Pool && !moving {
			found = append(found, vm)
		}
	}
	newPoolMargin := func(vm *plan.VM) int {
		if vm.Desired == "" {
			return 1 << 30
		}
		return p.gate.Margin(vm.Desired)
	}
	sort.SliceStable(found, func(i, j int) bool { return newPoolMargin(found[i]) < newPoolMargin(found[j]) })
	return found
}

// start proposes to drain a VM for its move if its old pool keeps its budgets
// without it.
func (p *planner) start(vm *plan.VM) {
	zone := p.in.Zones[vm.Zone]
	dwellMS := int64(p.dwellS[vm.Pool]) * 1000
	if remainingMS := vm.SinceMS + dwellMS - p.in.NowMS; remainingMS > 0 && vm.Desired != "" {
		p.addBlocked(vm, "came into pool %s less than its minimal dwell ago, %d s are left", vm.Pool, (remainingMS+999)/1000)
		return
	}
	if !zone.Responsive() {
		p.addBlocked(vm, "zone %s is not seen by %d entries, silent: %v", vm.Zone, zone.Entries, zone.Unresponsive)
		return
	}
	if reason, ok := p.gate.CanTakeOut(vm); !ok {
		p.addBlocked(vm, "%s", reason)
		return
	}
	p.gate.TakeOut(vm)
	p.addStep(plan.StartMove, vm, vm.Desired, "the document names pool "+poolOrNone(vm.Desired))
}
