package wave

import (
	"sort"
	"time"

	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// spread counts the VMs that are out or still to come.
type spread struct {
	racks, zones, pools map[string]int
	// pending counts the VMs of each pool that are still to be taken.
	pending map[string]int
	out     int
}

func (s *spread) add(vm *plan.VM) {
	s.racks[vm.Rack]++
	s.zones[vm.Zone]++
	s.pools[vm.Pool]++
	s.out++
}

// admit takes out further VMs.
func (p *planner) admit() {
	if !p.mayAdmit() {
		return
	}
	s, pending := p.survey()
	for len(pending) > 0 && s.out < p.width() {
		sortCandidates(pending, s)
		vm := pending[0]
		pending = pending[1:]
		if !p.tryTake(vm) {
			continue
		}
		s.add(vm)
		s.pending[vm.Pool]--
	}
	if len(pending) > 0 && s.out >= p.width() {
		p.blocked(pending[0].Name, "and %d more wait: %d VMs are out, as many as the run's width", len(pending)-1, s.out)
	}
}

// mayAdmit says whether the run as a whole may take VMs.
func (p *planner) mayAdmit() bool {
	switch {
	case p.wave == nil:
		p.blocked("", "the document no longer declares wave %s", p.run.Wave)
	case p.run.Status != plan.Running:
		p.blocked("", "the run is %s", p.run.Status)
	case p.in.NowMS < p.run.HoldUntilMS:
		left := time.Duration(p.run.HoldUntilMS-p.in.NowMS) * time.Millisecond
		p.blocked("", "held for %s more after a loss", left.Round(time.Second))
	default:
		return true
	}
	return false
}

// width is the number of VMs that may be out at once.
func (p *planner) width() int {
	if p.wave.MaxParallel > 0 {
		return min(p.run.Width, p.wave.MaxParallel)
	}
	return p.run.Width
}

// survey returns what is out and the VMs that are still to be taken.
func (p *planner) survey() (*spread, []*plan.VM) {
	s := &spread{racks: map[string]int{}, zones: map[string]int{}, pools: map[string]int{}, pending: map[string]int{}}
	var pending []*plan.VM
	for _, name := range p.names() {
		vm := p.vms[name]
		if vm == nil {
			continue
		}
		switch state := p.run.VMs[name].State; {
		case state.Out():
			s.add(vm)
		case state == plan.Pending:
			s.pending[vm.Pool]++
			pending = append(pending, vm)
		}
	}
	return s, pending
}

// sortCandidates puts first the VM whose pool has most left to do, in the
// rack and zone with the fewest VMs out.
func sortCandidates(pending []*plan.VM, s *spread) {
	sort.SliceStable(pending, func(i, j int) bool {
		a, b := pending[i], pending[j]
		if x, y := s.pools[a.Pool] > 0, s.pools[b.Pool] > 0; x != y {
			return y
		}
		if x, y := s.pending[a.Pool], s.pending[b.Pool]; x != y {
			return x > y
		}
		if x, y := s.racks[a.Rack], s.racks[b.Rack]; x != y {
			return x < y
		}
		return s.zones[a.Zone] < s.zones[b.Zone]
	})
}

// tryTake takes a VM out if its zone is seen and the budgets allow.
func (p *planner) tryTake(vm *plan.VM) bool {
	zone := p.in.Zones[vm.Zone]
	if vm.Phase != view.Serving {
		p.blocked(vm.Name, "the VM is %s", vm.Phase)
		return false
	}
	if zone.Entries == 0 {
		p.blocked(vm.Name, "zone %s has no entry that could confirm a drain", vm.Zone)
		return false
	}
	if !zone.Visible() {
		p.blocked(vm.Name, "entries %v of zone %s are silent", zone.Silent, vm.Zone)
		return false
	}
	if vm.Health != plan.Up {
		p.blocked(vm.Name, "the VM is not live")
		return false
	}
	if reason, ok := p.gate.MayLeave(vm); !ok {
		p.blocked(vm.Name, "%s", reason)
		return false
	}
	p.gate.TakeOut(vm)
	p.step(vm.Name, vm.Epoch, plan.Draining, "wave "+p.run.Wave)
	return true
}
