package fairshare

import "arbutusward.example/arbutusward/internal/version/workload"

// shareFactor is the multiple of its weighted share above which an account comes after
// others.
const shareFactor = 1

// smallShare is the part of a pool up to which no account is above its share. The share of a
// small account among many is less than one of its jobs takes.
const smallShare = 0.04

// Part is an amount of one resource and the total of which it is a part.
type Part struct{ Amount, Total float64 }

// DominantShare returns the largest share of any resource of its total (Ghodsi et al.,
// "Dominant Resource Fairness", 2011).
func DominantShare(parts ...Part) float64 {
	share := 0.0
	for _, p := range parts {
		if p.Total > 0 {
			share = max(share, p.Amount/p.Total)
		}
	}
	return share
}

// pool is what the accounts have in one pool.
type pool struct {
	capacity workload.Resources
	// weights is the sum of the weights of the accounts in use.
	weights float64
	use     map[string]workload.Resources
}

// pool returns the pool with a name.
func (a *Accounts) pool(name string) *pool {
	p := a.pools[name]
	if p == nil {
		p = &pool{use: map[string]workload.Resources{}}
		a.pools[name] = p
	}
	return p
}

// HasCapacity adds to the whole capacity of a pool.
func (a *Accounts) HasCapacity(poolName string, capacity workload.Resources) {
	p := a.pool(poolName)
	p.capacity = p.capacity.Add(capacity)
}

// Occupies counts what an account executes in a pool, which is zero if it only waits
// there.
func (a *Accounts) Occupies(name, poolName string, charge workload.Resources) {
	p := a.pool(poolName)
	used, counted := p.use[name]
	if !counted {
		p.weights += a.of(name).effectiveWeight()
	}
	p.use[name] = used.Add(charge)
}

// effectiveWeight is 1 for accounts without one.
func (acc *account) effectiveWeight() float64 {
	if acc.weight > 0 {
		return acc.weight
	}
	return 1
}

// AboveShare reports whether the dominant share of an account in a pool is above its
// weight's part of the weights of all accounts that execute or wait there, and not small.
func (a *Accounts) AboveShare(name, poolName string) bool {
	p := a.pool(poolName)
	used, c := p.use[name], p.capacity
	share := DominantShare(
		Part{float64(used.MilliCPU), float64(c.MilliCPU)},
		Part{float64(used.MemoryMB), float64(c.MemoryMB)},
		Part{float64(used.GPU), float64(c.GPU)},
	)
	return share > smallShare && share*p.weights > shareFactor*a.of(name).effectiveWeight()
}

// Passed counts a group of an account that comes after those of others by its share.
func (a *Accounts) Passed(name string) { a.of(name).passed++ }
