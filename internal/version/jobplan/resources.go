package jobplan

import "arbutusward.example/arbutusward/internal/version/fleet"

// tolerance absorbs rounding in sums of fractions.
const tolerance = 1e-9

// Add returns the sum of two amounts.
func Add(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{CPUCores: a.CPUCores + b.CPUCores, MemoryGiB: a.MemoryGiB + b.MemoryGiB, Accelerators: a.Accelerators + b.Accelerators}
}

// Sub returns the difference of two amounts.
func Sub(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{CPUCores: a.CPUCores - b.CPUCores, MemoryGiB: a.MemoryGiB - b.MemoryGiB, Accelerators: a.Accelerators - b.Accelerators}
}

// Fits says that the demand fits into the room.
func Fits(demand, room fleet.Resources) bool {
	return demand.CPUCores <= room.CPUCores+tolerance &&
		demand.MemoryGiB <= room.MemoryGiB+tolerance &&
		demand.Accelerators <= room.Accelerators
}

// dominantShare is the largest share of a total that an amount takes
// (Ghodsi et al., "Dominant Resource Fairness", 2011).
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
