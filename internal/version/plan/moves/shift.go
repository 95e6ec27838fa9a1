package moves

import (
	"fmt"
	"math"
	"sort"

	"arbutusward.example/arbutusward/internal/version/fleet"
	"arbutusward.example/arbutusward/internal/version/plan"
	"arbutusward.example/arbutusward/internal/version/view"
)

const (
	// highLoad is the mean use of a pool's slots above which the pool needs
	// another VM.
	highLoad = 0.75
	// donorLoad is the maximum mean use that a pool may have after it gives up
	// a VM. The gap below highLoad prevents a VM from moving back and forth.
	donorLoad = 0.5
	// minSustain and maxSustain bound the time for which a shift of load must
	// be sustained, as multiples of the pool's minimum dwell time.
	minSustain = 0.5
	maxSustain = 2.5
)

// Load is the smoothed use of the pools. A value is immutable.
type Load struct {
	AtMS int64
	// MeanSlots is the mean use of each pool's services.
	MeanSlots map[string]float64
	// HotSinceMS is when each pool's mean use last rose above highLoad, in
	// Unix milliseconds. Pools below highLoad are absent.
	HotSinceMS map[string]int64
}

// Proposal is a change of the document in response to a sustained shift of
// load.
type Proposal struct {
	VM    string `json:"vm"`
	From  string `json:"from"`
	To    string `json:"to"`
	Cause string `json:"cause"`
}

// SustainMS returns the time for which a pool's load must stay high before a
// move is proposed, in ms. It grows with the weight of moves relative to the
// document's weights of buffer and roll-out time.
func SustainMS(document *fleet.Document, pool fleet.Pool) int64 {
	weights := document.Weights
	share := weights.Moves / (weights.Moves + weights.Buffer + weights.Rollout)
	factor := minSustain + (maxSustain-minSustain)*share
	return int64(factor * float64(pool.MinDwellS) * 1000)
}

// Observe returns the load updated with one more snapshot. The mean is an
// exponential moving average with the sustain time as its time constant, so a
// burst of a few seconds hardly affects it.
func (l Load) Observe(in *plan.Input) Load {
	next := Load{AtMS: in.NowMS, MeanSlots: map[string]float64{}, HotSinceMS: map[string]int64{}}
	if in.Document == nil {
		return next
	}
	busy := map[string]float64{}
	for _, service := range in.Document.Services {
		busy[service.Pool] += in.BusySlots[service.Name]
	}
	slots := slotsByPool(in)
	for _, pool := range in.Document.Pools {
		mean, known := l.MeanSlots[pool.Name]
		if !known {
			mean = busy[pool.Name]
		}
		alpha := 1 - math.Exp(-float64(in.NowMS-l.AtMS)/float64(SustainMS(in.Document, pool)))
		mean += alpha * (busy[pool.Name] - mean)
		next.MeanSlots[pool.Name] = mean
		if mean <= highLoad*float64(slots[pool.Name]) {
			continue
		}
		next.HotSinceMS[pool.Name] = in.NowMS
		if since, hot := l.HotSinceMS[pool.Name]; hot {
			next.HotSinceMS[pool.Name] = since
		}
	}
	return next
}

func slotsByPool(in *plan.Input) map[string]int {
	slots := map[string]int{}
	for i := range in.VMs {
		slots[in.VMs[i].Pool] += in.VMs[i].Slots
	}
	return slots
}

// Propose returns at most one move for each pool whose load has been high for
// its sustain time.
func Propose(in *plan.Input, load Load) []Proposal {
	var proposals []Proposal
	if in.Document == nil {
		return proposals
	}
	gate := plan.NewGate(in)
	slots := slotsByPool(in)
	for _, pool := range in.Document.Pools {
		since, hot := load.HotSinceMS[pool.Name]
		if !hot || in.NowMS-since < SustainMS(in.Document, pool) {
			continue
		}
		vm := donor(in, gate, load, slots, pool.Name)
		if vm == nil {
			continue
		}
		gate.TakeOut(vm)
		slots[vm.Pool] -= vm.Slots
		cause := fmt.Sprintf("mean use of pool %s has been %.0f of %d slots for %d s", pool.Name, load.MeanSlots[pool.Name], slots[pool.Name], (in.NowMS-since)/1000)
		proposals = append(proposals, Proposal{VM: vm.Name, From: vm.Pool, To: pool.Name, Cause: cause})
	}
	return proposals
}

// donor returns a VM that another pool can spare permanently: that pool's
// budgets hold without the VM, its load stays below donorLoad and the VM's
// minimum dwell time has passed.
func donor(in *plan.Input, gate *plan.Gate, load Load, slots map[string]int, to string) *plan.VM {
	dwellMS := map[string]int64{}
	for _, pool := range in.Document.Pools {
		dwellMS[pool.Name] = int64(pool.MinDwellS) * 1000
	}
	var found []*plan.VM
	for i := range in.VMs {
		vm := &in.VMs[i]
		remaining := float64(slots[vm.Pool] - vm.Slots)
		lowLoad := load.MeanSlots[vm.Pool] <= donorLoad*remaining
		dwellOver := in.NowMS-vm.SinceMS >= dwellMS[vm.Pool]
		if vm.Pool != to && vm.Phase == view.Serving && vm.Desired == vm.Pool && lowLoad && dwellOver {
			found = append(found, vm)
		}
	}
	free := func(vm *plan.VM) float64 { return float64(slots[vm.Pool]) - load.MeanSlots[vm.Pool] }
	sort.SliceStable(found, func(i, j int) bool { return free(found[i]) > free(found[j]) })
	for _, vm := range found {
		if _, ok := gate.CanTakeOut(vm); ok {
			return vm
		}
	}
	return nil
}
