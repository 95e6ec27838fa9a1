package wave

import (
	"cmp"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// spread counts the VMs that are out of service.
type spread struct {
	racks, zones, pools map[string]int
	total               int
}

func (s *spread) add(vm *plan.VM) {
	s.racks[vm.Rack]++
	s.zones[vm.Zone]++
	s.pools[vm.Pool]++
	s.total++
}

// queue holds the VMs of one pool that are pending.
type queue struct {
	pool string
	vms  []*plan.VM
}

// admit takes pending VMs out of service, alternating between the pools.
func (p *planner) admit() {
	if !p.canAdmit() {
		return
	}
	out, queues := p.survey()
	waiting := 0
	for len(queues) > 0 && out.total < p.width() {
		next := nextQueue(queues, out)
		if !p.admitFromQueue(next, out) || len(next.vms) == 0 {
			queues = slices.DeleteFunc(queues, func(q *queue) bool { return q == next })
		}
	}
	for _, q := range queues {
		waiting += len(q.vms)
	}
	if waiting > 0 {
		p.addBlocked("", "%d VMs wait: %d are out, as many as the run's width", waiting, out.total)
	}
}

// nextQueue returns the queue to take from next: one whose pool has no VM out
// of service, then the longest.
func nextQueue(queues []*queue, out *spread) *queue {
	return slices.MinFunc(queues, func(a, b *queue) int {
		x, y := min(out.pools[a.pool], 1), min(out.pools[b.pool], 1)
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(len(b.vms), len(a.vms)), cmp.Compare(a.pool, b.pool))
	})
}

// admitFromQueue takes out of service the VM whose rack and zone have the
// fewest VMs out. It returns false if no VM of the queue may be taken.
func (p *planner) admitFromQueue(q *queue, out *spread) bool {
	slices.SortStableFunc(q.vms, func(a, b *plan.VM) int {
		return cmp.Or(cmp.Compare(out.racks[a.Rack], out.racks[b.Rack]), cmp.Compare(out.zones[a.Zone], out.zones[b.Zone]))
	})
	for i, vm := range q.vms {
		if p.tryAdmit(vm) {
			out.add(vm)
			q.vms = slices.Delete(q.vms, i, i+1)
			return true
		}
	}
	return false
}

// canAdmit reports whether the run as a whole may take VMs out of service.
func (p *planner) canAdmit() bool {
	switch {
	case p.wave == nil:
		p.addBlocked("", "the document no longer declares wave %s", p.run.Wave)
	case p.run.Status != plan.Running:
		p.addBlocked("", "the run is %s", p.run.Status)
	case p.in.NowMS < p.run.HoldUntilMS:
		left := time.Duration(p.run.HoldUntilMS-p.in.NowMS) * time.Millisecond
		p.addBlocked("", "held for %s more after a loss", left.Round(time.Second))
	default:
		return true
	}
	return false
}

// width returns the maximum number of VMs out of service at once.
func (p *planner) width() int {
	if p.wave.MaxParallel > 0 {
		return min(p.run.Width, p.wave.MaxParallel)
	}
	return p.run.Width
}

// survey returns the counts of VMs out of service and the queues of pending
// VMs by pool.
func (p *planner) survey() (*spread, []*queue) {
	out := &spread{racks: map[string]int{}, zones: map[string]int{}, pools: map[string]int{}}
	var queues []*queue
	byPool := map[string]*queue{}
	for _, name := range p.vmNames() {
		vm := p.vms[name]
		if vm == nil {
			continue
		}
		switch state := p.run.VMs[name].State; {
		case state.OutOfService():
			out.add(vm)
		case state == plan.Pending:
			q := byPool[vm.Pool]
			if q == nil {
				q = &queue{pool: vm.Pool}
				byPool[vm.Pool] = q
				queues = append(queues, q)
			}
			q.vms = append(q.vms, vm)
		}
	}
	return out, queues
}

// tryAdmit takes a VM out of service if all entries of its zone respond and
// the budgets allow it.
func (p *planner) tryAdmit(vm *plan.VM) bool {
	zone := p.in.Zones[vm.Zone]
	if vm.Phase != view.Serving {
		p.addBlocked(vm.Name, "the VM is %s", vm.Phase)
		return false
	}
	if zone.Entries == 0 {
		p.addBlocked(vm.Name, "zone %s has no entry that could confirm a drain", vm.Zone)
		return false
	}
	if !zone.Responsive() {
		p.addBlocked(vm.Name, "entries %v of zone %s are silent", zone.Unresponsive, vm.Zone)
		return false
	}
	if vm.Health != plan.Up {
		p.addBlocked(vm.Name, "the VM is not live")
		return false
	}
	if reason, ok := p.gate.CanTakeOut(vm); !ok {
		p.addBlocked(vm.Name, "%s", reason)
		return false
	}
	p.gate.TakeOut(vm)
	p.addStep(vm.Name, vm.Epoch, plan.Draining, "wave "+p.run.Wave)
	return true
}
