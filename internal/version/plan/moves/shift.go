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
	// highLoad is the mean use of a pool's slots above which it needs VMs.
	highLoad = 0.75
	// donorLoad is the mean use that a pool may have after it gave a VM. The
	// distance to highLoad keeps a VM from going back and forth.
	donorLoad = 0.5
	// leastSustain and mostSustain bound the time for which a shift must
	// last, in multiples of the pool's minimal dwell.
	leastSustain = 0.5
	mostSustain  = 2.5
)

// Load is the smoothed use of the pools. A value is never changed.
type Load struct {
	AtMS int64
	// MeanSlots is the mean use of each pool's services.
	MeanSlots map[string]float64
	// HotSinceMS is since when a pool's mean use has been high.
	HotSinceMS map[string]int64
}

// Proposal is a change of the document that a lasting shift calls for.
type Proposal struct {
	VM    string `json:"vm"`
	From  string `json:"from"`
	To    string `json:"to"`
	Cause string `json:"cause"`
}

// SustainMS returns the time for which a pool's load must have shifted before
// a VM is proposed to move, in ms. The more the document weighs moves
// against buffer and roll-out time, the longer.
func SustainMS(document *fleet.Document, pool fleet.Pool) int64 {
	weights := document.Weights
	share := weights.Moves / (weights.Moves + weights.Buffer + weights.Rollout)
	factor := leastSustain + (mostSustain-leastSustain)*share
	return int64(factor * float64(pool.MinDwellS) * 1000)
}

// Observe returns the load after one more snapshot. The mean follows the
// use with the time constant of the sustain time, so that a burst of
// seconds hardly moves it.
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
		blend := 1 - math.Exp(-float64(in.NowMS-l.AtMS)/float64(SustainMS(in.Document, pool)))
		mean += blend * (busy[pool.Name] - mean)
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

// Propose returns at most one move for each pool whose load has been high
// for its sustain time.
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
		gate.Remove(vm)
		slots[vm.Pool] -= vm.Slots
		cause := fmt.Sprintf("mean use of pool %s has been %.0f of %d slots for %d s", pool.Name, load.MeanSlots[pool.Name], slots[pool.Name], (in.NowMS-since)/1000)
		proposals = append(proposals, Proposal{VM: vm.Name, From: vm.Pool, To: pool.Name, Cause: cause})
	}
	return proposals
}

// donor returns a VM that another pool can spare for good: its budgets hold
// without it, its load stays low, and its dwell is over.
func donor(in *plan.Input, gate *plan.Gate, load Load, slots map[string]int, to string) *plan.VM {
	dwellMS := map[string]int64{}
	for _, pool := range in.Document.Pools {
		dwellMS[pool.Name] = int64(pool.MinDwellS) * 1000
	}
	var found []*plan.VM
	for i := range in.VMs {
		vm := &in.VMs[i]
		left := float64(slots[vm.Pool] - vm.Slots)
		lowLoad := load.MeanSlots[vm.Pool] <= donorLoad*left
		dwelt := in.NowMS-vm.SinceMS >= dwellMS[vm.Pool]
		if vm.Pool != to && vm.Phase == view.Serving && vm.Desired == vm.Pool && lowLoad && dwelt {
			found = append(found, vm)
		}
	}
	free := func(vm *plan.VM) float64 { return float64(slots[vm.Pool]) - load.MeanSlots[vm.Pool] }
	sort.SliceStable(found, func(i, j int) bool { return free(found[i]) > free(found[j]) })
	for _, vm := range found {
		if _, ok := gate.CanRemove(vm); ok {
			return vm
		}
	}
	return nil
}
