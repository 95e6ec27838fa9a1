package capacity

import (
	"cmp"
	"slices"
)

// chooseNeeded keeps VMs for the promised slots and the observed use, spread
// over racks.
func (p *planner) chooseNeeded(pool *poolState) {
	for pool.kept < pool.need {
		m := pool.nextSurplus()
		if m == nil {
			return
		}
		pool.keep(m, Needed, "carries the promised slots and the observed use of pool "+pool.name)
	}
}

// chooseReserve keeps further VMs until every tolerated loss is covered. It
// returns the losses that cannot be covered.
func (p *planner) chooseReserve() []string {
	var uncovered []string
	for _, loss := range p.losses() {
		for {
			short := p.evaluate(loss)
			if short.slots == 0 {
				break
			}
			pool, m := p.bestReserve(short)
			if m == nil {
				uncovered = append(uncovered, loss.String())
				break
			}
			pool.keep(m, Reserve, "kept for the loss of "+loss.String())
		}
	}
	return uncovered
}

// bestReserve selects the next VM to keep: in the spare pool if a pool that is
// short shares its reserve, otherwise in a pool that is short.
func (p *planner) bestReserve(short shortage) (*poolState, *member) {
	if short.shared {
		if m := p.spare.nextSurplus(); m != nil {
			return p.spare, m
		}
	}
	pools := slices.Clone(short.pools)
	slices.SortStableFunc(pools, func(a, b *poolState) int { return cmp.Compare(b.largest, a.largest) })
	for _, pool := range pools {
		if m := pool.nextSurplus(); m != nil {
			return pool, m
		}
	}
	return nil, nil
}

// releaseRedundant releases reserve VMs that later choices have made
// redundant.
func (p *planner) releaseRedundant() {
	losses := p.losses()
	for _, pool := range p.order {
		relevant := p.relevantLosses(pool, losses)
		for _, m := range pool.members {
			if m.role == Reserve {
				p.tryRelease(pool, m, relevant)
			}
		}
	}
}

// tryRelease releases a VM unless that increases the total shortage after the
// losses.
func (p *planner) tryRelease(pool *poolState, m *member, losses []loss) {
	reason := m.reason
	before := p.shortSlots(losses)
	pool.release(m)
	if p.shortSlots(losses) > before {
		pool.keep(m, Reserve, reason)
	}
}

// relevantLosses returns the losses that can affect the reserve of a pool. A
// pool that neither lends nor borrows is affected only by losses in its own
// racks.
func (p *planner) relevantLosses(pool *poolState, losses []loss) []loss {
	if pool == p.spare || pool.shares {
		return losses
	}
	var own []loss
	for _, l := range losses {
		if len(l.racks) == 0 || slices.ContainsFunc(l.racks, func(rack string) bool { return pool.byRack[rack] > 0 }) {
			own = append(own, l)
		}
	}
	return own
}

// shortSlots returns the sum of the shortages after the losses.
func (p *planner) shortSlots(losses []loss) int {
	total := 0
	for _, loss := range losses {
		total += p.evaluate(loss).slots
	}
	return total
}
