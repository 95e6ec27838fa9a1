package capacity

import (
	"strings"
)

// loss is a set of racks that fail together. evaluate adds the worst loss of
// further VMs that the tolerance allows.
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

// losses returns the sets of racks whose loss must be tolerated. The loss of a
// single rack is covered exhaustively. For several racks, there is one set for
// each first rack, to which the rack with the most kept slots is added until
// the set is complete.
func (p *planner) losses() []loss {
	maxRacks := 0
	for _, pool := range p.order {
		maxRacks = max(maxRacks, pool.tolerance.Racks)
	}
	if maxRacks == 0 {
		return []loss{{}}
	}
	var losses []loss
	for _, first := range p.racks {
		set := []string{first}
		for len(set) < min(maxRacks, len(p.racks)) {
			set = append(set, p.fullestRack(set))
		}
		losses = append(losses, loss{racks: set})
	}
	return losses
}

// fullestRack returns the rack with the most kept slots that is not in except.
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
	for _, v := range values {
		if v == value {
			return true
		}
	}
	return false
}

// shortage describes the slots that a loss leaves uncovered.
type shortage struct {
	slots int
	// pools lists the pools that are short of slots. shared is true if more
	// reserve in the spare pool helps.
	pools  []*poolState
	shared bool
}

// tally sums the slots that the pools are short of after a loss.
type tally struct {
	// lendable is the number of slots that the spare pool has above its need;
	// a negative value means that it is short itself. borrowed is the shortage
	// of the pools that share the reserve, own that of the other pools.
	lendable, borrowed, own int
}

// short returns the shortage in slots that remains after the spare pool has
// lent its slots.
func (t tally) short() int {
	return max(0, -t.lendable) + t.own + max(0, t.borrowed-max(0, t.lendable))
}

// add returns the tally with the shortage of one pool added, or subtracted if
// sign is -1.
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

// evaluate returns the shortage after a loss and after the worst loss of
// further VMs. The further VMs are lost in a single pool.
func (p *planner) evaluate(l loss) shortage {
	var base tally
	left := make([]int, len(p.order))
	for i, pool := range p.order {
		left[i] = pool.slotsAfter(l)
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

// shortage returns the shortage of a tally together with the pools that are
// short.
func (p *planner) shortage(t tally, left []int) shortage {
	short := shortage{slots: t.short(), shared: p.spare != nil && t.borrowed > max(0, t.lendable)}
	for i, pool := range p.order {
		if pool.need > left[i] {
			short.pools = append(short.pools, pool)
		}
	}
	return short
}

// slotsAfter returns the kept slots of the pool after a loss, limited to the
// number of racks that the pool tolerates.
func (s *poolState) slotsAfter(l loss) int {
	left := s.kept
	for i, rack := range l.racks {
		if i < s.tolerance.Racks {
			left -= s.byRack[rack]
		}
	}
	return left
}
