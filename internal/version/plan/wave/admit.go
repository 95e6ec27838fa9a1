package wave

import (
	"cmp"
	"slices"
	"time"

	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

// spread counts the VMs that are out.
type spread struct {
	racks, zones, pools map[string]int
	out                 int
}

func (s *spread) add(vm *plan.VM) {
	s.racks[vm.Rack]++
	s.zones[vm.Zone]++
	s.pools[vm.Pool]++
	s.out++
}

// queue holds the VMs of one pool that are still to be taken.
type queue struct {
	pool string
	vms  []*plan.VM
}

// admit takes out further VMs, one pool after the other.
func (p *planner) admit() {
	if !p.mayAdmit() {
		return
	}
	s, queues := p.survey()
	waiting := 0
	for len(queues) > 0 && s.out < p.width() {
		next := nextQueue(queues, s)
		if !p.takeOne(next, s) || len(next.vms) == 0 {
			queues = slices.DeleteFunc(queues, func(q *queue) bool { return q == next })
		}
	}
	for _, q := range queues {
		waiting += len(q.vms)
	}
	if waiting > 0 {
		p.blocked("", "%d VMs wait: %d are out, as many as the run's width", waiting, s.out)
	}
}

// nextQueue returns the pool that comes next: one without a VM out, and
// then the one with most left to do.
func nextQueue(queues []*queue, s *spread) *queue {
	return slices.MinFunc(queues, func(a, b *queue) int {
		x, y := min(s.pools[a.pool], 1), min(s.pools[b.pool], 1)
		return cmp.Or(cmp.Compare(x, y), cmp.Compare(len(b.vms), len(a.vms)), cmp.Compare(a.pool, b.pool))
	})
}

// takeOne takes the VM of a pool that stands in the rack and zone with the
// fewest VMs out. It reports false if none may be taken.
func (p *planner) takeOne(q *queue, s *spread) bool {
	slices.SortStableFunc(q.vms, func(a, b *plan.VM) int {
		return cmp.Or(cmp.Compare(s.racks[a.Rack], s.racks[b.Rack]), cmp.Compare(s.zones[a.Zone], s.zones[b.Zone]))
	})
	for i, vm := range q.vms {
		if p.tryTake(vm) {
			s.add(vm)
			q.vms = slices.Delete(q.vms, i, i+1)
			return true
		}
	}
	return false
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

// survey returns what is out and the VMs that are still to be taken, by pool.
func (p *planner) survey() (*spread, []*queue) {
	s := &spread{racks: map[string]int{}, zones: map[string]int{}, pools: map[string]int{}}
	var queues []*queue
	byPool := map[string]*queue{}
	for _, name := range p.names() {
		vm := p.vms[name]
		if vm == nil {
			continue
		}
		switch state := p.run.VMs[name].State; {
		case state.OutOfService():
			s.add(vm)
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
	return s, queues
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
	if !zone.Responsive() {
		p.blocked(vm.Name, "entries %v of zone %s are silent", zone.Unresponsive, vm.Zone)
		return false
	}
	if vm.Health != plan.Up {
		p.blocked(vm.Name, "the VM is not live")
		return false
	}
	if reason, ok := p.gate.CanRemove(vm); !ok {
		p.blocked(vm.Name, "%s", reason)
		return false
	}
	p.gate.Remove(vm)
	p.step(vm.Name, vm.Epoch, plan.Draining, "wave "+p.run.Wave)
	return true
}
