package capacity

import (
	"strings"
)

// loss is one set of racks that fail together; the worst further VMs of the
// tolerance are added when it is evaluated.
type loss struct {
	racks []string
}

// String names the racks.
func (l loss) String() string {
	if len(l.racks) == 0 {
		return "the further VMs that are tolerated"
	}
	return "rack " + strings.Join(l.racks, " and rack ") + " and the further VMs that are tolerated"
}

// losses returns the sets of racks that have to be carried. One rack is
// tried exactly. More racks are tried from each rack on, always adding the
// rack with the most kept slots.
func (p *planner) losses() []loss {
	most := 0
	for _, pool := range p.order {
		most = max(most, pool.tolerance.Racks)
	}
	if most == 0 {
		return []loss{{}}
	}
	var losses []loss
	for _, first := range p.racks {
		set := []string{first}
		for len(set) < min(most, len(p.racks)) {
			set = append(set, p.fullestRack(set))
		}
		losses = append(losses, loss{racks: set})
	}
	return losses
}

func (p *planner) fullestRack(except []string) string {
	best, bestSlots := "", -1
	for _, rack := range p.racks {
		slots := 0
		for _, pool := range p.rackPools[rack] {
			slots += pool.byRack[rack]
		}
		if slots > bestSlots && !contains(except, rack) {
			best, bestSlots = rack, slots
		}
	}
	return best
}

func contains(values []string, value string) bool {
	for _, one := range values {
		if one == value {
			return true
		}
	}
	return false
}

// shortage is what a loss leaves uncovered.
type shortage struct {
	slots int
	// pools are those that are short; shared says that more reserve in the
	// spare pool helps.
	pools  []*poolState
	shared bool
}

// evaluate returns the shortage after a loss and the worst further VMs.
func (p *planner) evaluate(l loss) shortage {
	worst := p.shortageAfter(l, nil)
	for _, pool := range p.order {
		if pool.tolerance.VMs == 0 || pool.kept == 0 {
			continue
		}
		if short := p.shortageAfter(l, pool); short.slots > worst.slots {
			worst = short
		}
	}
	return worst
}

// shortageAfter returns the shortage after a loss if the further VMs are
// lost in one pool.
func (p *planner) shortageAfter(l loss, further *poolState) shortage {
	var short shortage
	lendable := 0
	if p.spare != nil {
		lendable = p.spare.left(l, further) - p.spare.need
		if lendable < 0 {
			short.slots -= lendable
			short.pools = append(short.pools, p.spare)
		}
	}
	borrowed := 0
	var borrowers []*poolState
	for _, pool := range p.order {
		missing := pool.need - pool.left(l, further)
		switch {
		case pool == p.spare || missing <= 0:
		case pool.shares:
			borrowed += missing
			borrowers = append(borrowers, pool)
		default:
			short.slots += missing
			short.pools = append(short.pools, pool)
		}
	}
	if unmet := borrowed - max(lendable, 0); unmet > 0 {
		short.slots += unmet
		short.pools = append(short.pools, borrowers...)
		short.shared = true
	}
	return short
}

// left returns the kept slots of a pool after a loss, as far as the pool
// has to tolerate it.
func (s *poolState) left(l loss, further *poolState) int {
	left := s.kept
	for i, rack := range l.racks {
		if i < s.tolerance.Racks {
			left -= s.byRack[rack]
		}
	}
	if further == s {
		left -= s.tolerance.VMs * s.largest
	}
	return max(left, 0)
}
