package fleet

import (
	"cmp"
	"slices"
)

// rackSlots is the capacity of one pool in one rack: the slots of each VM.
type rackSlots []int

func (r rackSlots) total() int {
	sum := 0
	for _, slots := range r {
		sum += slots
	}
	return sum
}

// WorstLoss returns the slots lost with the largest tolerated racks and,
// after them, the largest tolerated VMs. The capacity is given as the slots
// of each VM by rack.
func WorstLoss(racks map[string][]int, tolerance Tolerance) int {
	ordered := make([]rackSlots, 0, len(racks))
	for _, slots := range racks {
		ordered = append(ordered, slots)
	}
	slices.SortFunc(ordered, func(a, b rackSlots) int { return cmp.Compare(b.total(), a.total()) })
	cut := min(tolerance.Racks, len(ordered))
	lost := 0
	for _, rack := range ordered[:cut] {
		lost += rack.total()
	}
	return lost + largest(ordered[cut:], tolerance.VMs)
}

// largest sums the largest VMs of some racks.
func largest(racks []rackSlots, count int) int {
	if count == 0 {
		return 0
	}
	var rest []int
	for _, rack := range racks {
		rest = append(rest, rack...)
	}
	slices.SortFunc(rest, func(a, b int) int { return cmp.Compare(b, a) })
	return rackSlots(rest[:min(count, len(rest))]).total()
}
