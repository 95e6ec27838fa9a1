package fleet

import (
	"cmp"
	"slices"
)

// rackSlots holds the slots of each VM that one pool has in one rack.
type rackSlots []int

func (r rackSlots) total() int {
	sum := 0
	for _, slots := range r {
		sum += slots
	}
	return sum
}

// WorstLoss returns the slots that are lost with the largest tolerated racks
// and the largest tolerated VMs in the remaining racks. The racks map holds
// the slots of each VM by rack.
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

// largest returns the sum of the slots of the largest VMs in the racks.
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
