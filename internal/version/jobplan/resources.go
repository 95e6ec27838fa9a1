package jobplan

import (
	"arbutusward.example/arbutusward/internal/version/fairshare"
	"arbutusward.example/arbutusward/internal/version/fleet"
)

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
// the amount takes.
func dominantShare(amount, total fleet.Resources) float64 {
	return fairshare.DominantShare(
		fairshare.Part{Amount: amount.CPUCores, Total: total.CPUCores},
		fairshare.Part{Amount: amount.MemoryGiB, Total: total.MemoryGiB},
		fairshare.Part{Amount: float64(amount.Accelerators), Total: float64(total.Accelerators)},
	)
}
