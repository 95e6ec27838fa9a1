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

// tally sums what a loss takes from the pools.
type tally struct {
	// lendable is what the spare pool has above its need; below 0 it is
	// short itself. borrowed is what the sharing pools miss, own what the
	// others miss.
	lendable, borrowed, own int
}

func (t tally) short() int {
	return max(0, -t.lendable) + t.own + max(0, t.borrowed-max(0, t.lendable))
}

// add counts what one pool misses, or takes it out with sign -1.
func (t tally) add(p *planner, pool *poolState, left, sign int) tally {
	missing := max(0, pool.need-left)
	switch {
	case pool == p.spare:
		t.lendable += sign * (left - pool.need)
	case pool.shares:
		t.borrowed += sign * missing
	default:
		t.own += sign * missing
	}
	return t
}

// evaluate returns the shortage after a loss and the worst further VMs,
// which are lost in one pool.
func (p *planner) evaluate(l loss) shortage {
	var base tally
	left := make([]int, len(p.order))
	for i, pool := range p.order {
		left[i] = pool.left(l)
		base = base.add(p, pool, left[i], 1)
	}
	worst, further := base, -1
	for i, pool := range p.order {
		if pool.tolerance.VMs == 0 || left[i] == 0 {
			continue
		}
		after := max(0, left[i]-pool.tolerance.VMs*pool.largest)
		if t := base.add(p, pool, left[i], -1).add(p, pool, after, 1); t.short() > worst.short() {
			worst, further = t, i
		}
	}
	if worst.short() == 0 {
		return shortage{}
	}
	if further >= 0 {
		pool := p.order[further]
		left[further] = max(0, left[further]-pool.tolerance.VMs*pool.largest)
	}
	return p.shortage(worst, left)
}

// shortage names the pools that are short.
func (p *planner) shortage(t tally, left []int) shortage {
	short := shortage{slots: t.short(), shared: p.spare != nil && t.borrowed > max(0, t.lendable)}
	for i, pool := range p.order {
		if pool.need > left[i] {
			short.pools = append(short.pools, pool)
		}
	}
	return short
}

// left returns the kept slots of a pool after a loss, as far as the pool
// has to tolerate it.
func (s *poolState) left(l loss) int {
	left := s.kept
	for i, rack := range l.racks {
		if i < s.tolerance.Racks {
			left -= s.byRack[rack]
		}
	}
	return left
}
