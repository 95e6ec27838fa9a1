package rebalance

import "math"

// Level is a class of load by what it is worth to serve it soon. Lower levels go first.
type Level uint8

// Levels of load.
const (
	// InTime is the load that executes, and that which can still be in time.
	InTime Level = iota
	// Late is the load that will be late, but of some use.
	Late
	// OverRate is the load beyond what its accounts are entitled to.
	OverRate
	// Useless is the load that will be of no use.
	Useless
	levelCount
)

// Demand is the load of a pool by level.
type Demand [levelCount]Load

// Total returns the load of all levels.
func (d Demand) Total() Load {
	sum := Load(0)
	for _, load := range d {
		sum += load
	}
	return sum
}

// Scale returns the demand multiplied by a factor.
func (d Demand) Scale(factor Load) Demand {
	for level := range d {
		d[level] *= factor
	}
	return d
}

// yieldMargin is the share of its desired number of VMs that a pool may have beyond it
// before it yields VMs. A VM that changes its pool serves nobody for seconds.
const yieldMargin = 0.1

// Apportion lowers the desired numbers of VMs of pools that need more than the given
// number of VMs together, and marks the pools that have to yield VMs to others. It
// answers turns and bursts in which pools with a backlog hold all VMs while the jobs of
// another one could still be in time: the VMs are shared in proportion to the load that is
// of use, in which late load weighs less, and only what is left goes to the other levels.
func Apportion(pools []Pool, vms int) {
	if TotalDesired(pools) <= vms {
		return
	}
	granted := grantAtLeast(pools, float64(vms))
	for i := range pools {
		pool := &pools[i]
		if granted[i] >= float64(pool.Demand.Total())-roundingError {
			continue
		}
		if share := max(pool.Least, int(granted[i]+roundingError)); !pool.Standby && share < pool.Desired {
			pool.Desired, pool.Yields = share, true
		}
	}
}

// TotalDesired returns the number of VMs that the pools desire together.
func TotalDesired(pools []Pool) int {
	sum := 0
	for i := range pools {
		sum += pools[i].Desired
	}
	return sum
}

const (
	// lateWeight is the weight of late load against load that can be in time where both
	// compete for VMs.
	lateWeight = 0.5
	// roundingError bounds the error of sums of shares, in VMs.
	roundingError = 1e-6
)

// grantAtLeast shares VMs among pools. Pools whose part would be less than their least
// number keep that number, and the others share what is left.
func grantAtLeast(pools []Pool, vms float64) []float64 {
	demands := make([]Demand, len(pools))
	for i := range pools {
		demands[i] = pools[i].Demand
	}
	kept := make([]float64, len(pools))
	for {
		granted := grant(demands, vms)
		isFinal := true
		for i := range pools {
			if least := float64(pools[i].Least); granted[i]+kept[i] < least {
				kept[i], demands[i], isFinal = least, Demand{}, false
				vms -= least
			}
		}
		if isFinal {
			for i := range granted {
				granted[i] += kept[i]
			}
			return granted
		}
	}
}

// grant shares VMs among pools: to the load that is of use, and then to the rest.
func grant(demands []Demand, left float64) []float64 {
	granted := make([]float64, len(demands))
	useful := func(d *Demand) (wanted, weight Load) { return d[InTime] + d[Late], d[InTime] + lateWeight*d[Late] }
	overRate := func(d *Demand) (wanted, weight Load) { return d[OverRate], d[OverRate] }
	useless := func(d *Demand) (wanted, weight Load) { return d[Useless], d[Useless] }
	for _, of := range []func(*Demand) (wanted, weight Load){useful, overRate, useless} {
		left -= share(demands, granted, left, of)
	}
	return granted
}

// share adds to what the pools are granted up to the given number of VMs in proportion to
// the weights of what they want, but to none more than it wants, and returns how many VMs
// it has shared.
func share(demands []Demand, granted []float64, left float64, of func(*Demand) (wanted, weight Load)) float64 {
	shared := 0.0
	wants, weights := make([]float64, len(demands)), make([]float64, len(demands))
	for i := range demands {
		wanted, weight := of(&demands[i])
		wants[i], weights[i] = max(0, float64(wanted)), max(0, float64(weight))
	}
	for left-shared > 0 {
		sum := 0.0
		for i := range demands {
			if wants[i] > 0 {
				sum += weights[i]
			}
		}
		if sum <= 0 {
			break
		}
		// A pool that gets all that it wants leaves the rest of its part to the others.
		perWeight, satisfied := (left-shared)/sum, false
		for i := range demands {
			if wants[i] > 0 && wants[i] <= perWeight*weights[i] {
				granted[i] += wants[i]
				shared += wants[i]
				wants[i], satisfied = 0, true
			}
		}
		if satisfied {
			continue
		}
		for i := range demands {
			if wants[i] > 0 {
				granted[i] += perWeight * weights[i]
			}
		}
		return left
	}
	return shared
}

// yieldable returns how many VMs a pool may give away. A pool that yields keeps a margin, so
// that small changes of the parts of two short pools move no VMs to and fro.
func (p *Pool) yieldable(serving int) int {
	if !p.Yields {
		return serving - p.Desired
	}
	return serving - int(math.Ceil(float64(p.Desired)*(1+yieldMargin)))
}
