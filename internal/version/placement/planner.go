package placement

import "arbutusward.example/arbutusward/internal/version/fairshare"

// planner places groups in the order in which it is given them.
type planner struct {
	pools map[string]*pool
	// accounts is nil if there are no client accounts.
	accounts *fairshare.Accounts
	// reserved holds the groups before which nothing else of their accounts starts.
	reserved map[string]*Group
	plan     []Placement
	// maxStarts limits the starts, but for those of gangs.
	maxStarts int
}

func (p *planner) poolOf(service string) *pool {
	found := p.pools[service]
	if found == nil {
		found = &pool{}
		p.pools[service] = found
	}
	return found
}

// tierSize returns the number of first groups that have the same priority and tier.
func tierSize(groups []*Group) int {
	first := groups[0]
	for i, g := range groups {
		if g.Suspect != first.Suspect || g.Priority != first.Priority || g.Tier != first.Tier {
			return i
		}
	}
	return len(groups)
}

func (p *planner) placeAll(groups []*Group) {
	for _, g := range groups {
		p.place(g)
	}
}

// placeTier places the groups of one tier. Those of accounts that are above their share
// when it is their turn come last, so that idle shares are lent.
func (p *planner) placeTier(groups []*Group) {
	var last []*Group
	for _, g := range groups {
		if !g.LongRunning && p.accounts.AboveShare(g.Account, g.Service) {
			last = append(last, g)
			continue
		}
		p.place(g)
	}
	for _, g := range last {
		if p.place(g) < len(g.Indexes) {
			p.accounts.Passed(g.Account)
		}
	}
}

// place places the tasks of a group that fit into the free capacity and the quota of its
// account, and returns their number.
func (p *planner) place(g *Group) int {
	pool := p.pools[g.Service]
	if pool == nil || !g.Suspect && pool.knownNotToFit(g.Charge) {
		return 0
	}
	if g.Gang && len(g.Indexes) < g.Total {
		return 0
	}
	waiting := g.Indexes
	if p.accounts != nil {
		g.Indexes = waiting[:p.startable(g)]
	}
	if left := max(0, p.maxStarts-len(p.plan)); !g.Gang && len(g.Indexes) > left {
		g.Indexes = g.Indexes[:left]
	}
	placed := p.placeStartable(pool, g)
	g.Indexes = waiting
	if p.accounts != nil {
		p.accounts.Starts(g.Account, g.Service, g.Need(), g.Charge, len(placed))
	}
	p.plan = append(p.plan, placed...)
	return len(placed)
}

// reserve reserves the quota of each account that uses little of it for the first large group
// that has room in its pool. Else groups that go before it would take the quota for as long as
// there are any, though most of it is free.
func (p *planner) reserve(groups []*Group) {
	if p.accounts == nil || !p.accounts.MayDrain {
		return
	}
	p.reserved = map[string]*Group{}
	for _, g := range groups {
		if g.Suspect || g.Gang && len(g.Indexes) < g.Total || !p.accounts.MayDrainFor(g.Account, g.Need(), len(g.Indexes), g.Gang) {
			continue
		}
		if p.accounts.Underused(g.Account) && p.hasRoom(g) {
			p.reserved[g.Account] = g
			p.accounts.Drain(g.Account)
		}
	}
}

// hasRoom reports whether a pool has the free capacity for one task of a group, or for a whole
// gang.
func (p *planner) hasRoom(g *Group) bool {
	pool := p.pools[g.Service]
	if pool == nil || pool.knownNotToFit(g.Charge) {
		return false
	}
	if pool.hasRoom(g) {
		return true
	}
	if g.unconstrained() {
		pool.misfits = append(pool.misfits, g.Charge)
	}
	return false
}

// startable returns how many tasks of a group the quota of its account lets start.
func (p *planner) startable(g *Group) int {
	if p.reserved[g.Account] == g {
		p.accounts.Resume(g.Account)
	}
	startable := p.accounts.Startable(g.Account, g.Need(), len(g.Indexes), g.Gang)
	if startable == 0 && p.accounts.MayDrainFor(g.Account, g.Need(), len(g.Indexes), g.Gang) && p.hasRoom(g) {
		p.accounts.Drain(g.Account)
	}
	return startable
}

// placeStartable places the tasks of a group, of which a quota has left some, or none.
func (p *planner) placeStartable(pool *pool, g *Group) []Placement {
	if len(g.Indexes) == 0 {
		return nil
	}
	if g.Suspect {
		return pool.placeSuspects(g)
	}
	placed := pool.place(g)
	if g.unconstrained() && len(placed) < len(g.Indexes) {
		pool.misfits = append(pool.misfits, g.Charge)
	}
	return placed
}
