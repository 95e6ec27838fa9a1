package draft

import (
	"fmt"
	"slices"
)

// Move is a VM whose pool differs from its pool in the base document.
type Move struct {
	VM, From, To string
}

// Moves returns the VMs whose pool differs from their pool in the base document.
func (d *Draft) Moves() []Move {
	if d.baseDocument == nil {
		return nil
	}
	basePools := map[string]string{}
	for _, vm := range d.baseDocument.VMs {
		basePools[vm.Name] = vm.Pool
	}
	var moves []Move
	for _, e := range d.elements("vms") {
		pool := formatValue(e.get("pool"))
		if base, known := basePools[e.name()]; known && base != pool {
			moves = append(moves, Move{VM: e.name(), From: base, To: pool})
		}
	}
	return moves
}

// MoveVM changes the declared pool of a VM.
func (d *Draft) MoveVM(vm, pool string) (FieldProblems, error) {
	if d.final != nil {
		return nil, ErrFinished
	}
	before := d.elements("vms")
	index := indexByName(before, vm)
	if index < 0 {
		return FieldProblems{"vm": fmt.Sprintf("found %q, expected a VM of the draft", vm)}, nil
	}
	if !slices.Contains(d.Names("pools"), pool) {
		return FieldProblems{"pool": fmt.Sprintf("found %q, expected a pool of the draft", pool)}, nil
	}
	moved := before[index].clone()
	moved.set("pool", pool)
	d.setElements("vms", replaceAt(before, index, []element{moved}))
	return nil, d.validate()
}

// PoolVMs is a pool with the names of its VMs.
type PoolVMs struct {
	Pool string
	VMs  []string
}

// VMsByPool returns the VMs of each pool, in the order of the pools.
func (d *Draft) VMsByPool() []PoolVMs {
	indexes := map[string]int{}
	var groups []PoolVMs
	for _, pool := range d.Names("pools") {
		indexes[pool] = len(groups)
		groups = append(groups, PoolVMs{Pool: pool})
	}
	for _, e := range d.elements("vms") {
		if index, known := indexes[formatValue(e.get("pool"))]; known {
			groups[index].VMs = append(groups[index].VMs, e.name())
		}
	}
	return groups
}
