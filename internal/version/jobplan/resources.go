package jobplan

import "arbutusward.example/arbutusward/internal/version/fleet"

// tolerance absorbs rounding errors in sums of fractions.
const tolerance = 1e-9

// Add returns the sum of two resource amounts.
func Add(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{CPUCores: a.CPUCores + b.CPUCores, MemoryGiB: a.MemoryGiB + b.MemoryGiB, Accelerators: a.Accelerators + b.Accelerators}
}

// Sub returns the difference of two resource amounts.
func Sub(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{CPUCores: a.CPUCores - b.CPUCores, MemoryGiB: a.MemoryGiB - b.MemoryGiB, Accelerators: a.Accelerators - b.Accelerators}
}

// Fits reports whether the demand fits into the available resources.
func Fits(demand, available fleet.Resources) bool {
	return demand.CPUCores <= available.CPUCores+tolerance &&
		demand.MemoryGiB <= available.MemoryGiB+tolerance &&
		demand.Accelerators <= available.Accelerators
}

// dominantShare returns the largest share of any resource of the total that
// the amount takes (Ghodsi et al., "Dominant Resource Fairness", 2011).
func dominantShare(amount, total fleet.Resources) float64 {
	share := 0.0
	if total.CPUCores > 0 {
		share = max(share, amount.CPUCores/total.CPUCores)
	}
	if total.MemoryGiB > 0 {
		share = max(share, amount.MemoryGiB/total.MemoryGiB)
	}
	if total.Accelerators > 0 {
		share = max(share, float64(amount.Accelerators)/float64(total.Accelerators))
	}
	return share
}
